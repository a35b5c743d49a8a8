#pragma once

#include "Connection/WireMessages.h"
#include "Process/Instant.h"
#include "Request/RetryBudget.h"
#include "Request/Routing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace cactusrail {

/**
 * The sides of one service that an entry may send to, and its budget for
 * retries there. Joins what heartbeats say with the Router's choice. Pure;
 * owned by an EntryCore.
 */
class ServiceSides
{
public:
  /** Sides, each with the incarnation of its upstream. */
  using Tried = std::set<std::pair<std::string, std::uint64_t>>;

  /** Where an attempt goes. */
  struct Choice
  {
    std::string sideId_;
    std::uint64_t incarnation_ = 0;
    Router::Runner runner_ = 0;
  };

  explicit ServiceSides(std::string aDataCentre);

  /** A heartbeat that is the side's newest; usable if it is ready, until then
   * by the entry's awake time. */
  void Observe(const HeartbeatMessage& aHeartbeat,
               Instant aUsableUntil,
               Instant aNow);

  /** The side serves another service now, or was forgotten. */
  void Remove(const std::string& aSideId);

  bool AnyUsable(Instant aAwake) const;

  /** A usable side beside those tried. The entry's awake time says who is
   * silent, the other one what the router has learned of late. */
  std::optional<Choice> Choose(const Tried& aTried,
                               std::uint64_t aRandom,
                               Instant aAwake,
                               Instant aNow) const;

  /** Each attempt that is sent ends by one of the three that follow. */
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

  bool Knows(const Choice& aChoice) const;

  std::string dataCentre_;
  Router router_;
  RetryBudget budget_;
  std::map<std::string, Member> members_;
  std::map<Router::Runner, std::string> names_;
};

}
