#pragma once

#include "Connection/WireMessages.h"
#include "Request/RetryBudget.h"
#include "Request/Routing.h"
#include "Version/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace cactusrail {

/**
 * The sides of one service to which an entry may send, and the retry budget of
 * the service. Combines heartbeats with the Router's choice. Performs no I/O;
 * owned by an EntryCore.
 */
class ServiceSides
{
public:
  /** Sides that were tried, each with the incarnation of its upstream. */
  using Tried = std::set<std::pair<std::string, std::uint64_t>>;

  /** Destination of an attempt. */
  struct Choice
  {
    std::string sideId_;
    std::uint64_t incarnation_ = 0;
    Router::Runner runner_ = 0;
  };

  explicit ServiceSides(std::string aDataCentre);

  /** Applies the side's latest heartbeat. A ready side stays usable until
   * aUsableUntil, in the entry's awake time. */
  void Observe(const HeartbeatMessage& aHeartbeat,
               Instant aUsableUntil,
               Instant aNow);

  /** Removes a side that serves another service now or has expired. */
  void Remove(const std::string& aSideId);

  bool AnyUsable(Instant aAwake) const;

  /** Chooses a usable side that is not in aTried. aAwake is the entry's awake
   * time, for heartbeat timeouts; aNow is the time for the router's estimates.
   */
  std::optional<Choice> Choose(const Tried& aTried,
                               std::uint64_t aRandom,
                               Instant aAwake,
                               Instant aNow) const;

  /** An attempt is sent; exactly one of the three calls below must end it. */
  void OnSent(const Choice& aChoice, Instant aNow);
  void OnAnswer(const Choice& aChoice, Micros aLatency, Instant aNow);
  void OnFailure(const Choice& aChoice, Instant aNow);
  void OnCancelled(const Choice& aChoice, Instant aNow);

  RetryBudget& Budget();

private:
  struct Member
  {
    Router::Runner runner_ = 0;
    std::uint64_t incarnation_ = 0;
    /** In the entry's awake time. */
    Instant usableUntil_;
  };

  bool IsCurrent(const Choice& aChoice) const;

  std::string dataCentre_;
  Router router_;
  RetryBudget budget_;
  std::map<std::string, Member> members_;
  std::map<Router::Runner, std::string> names_;
};

}
