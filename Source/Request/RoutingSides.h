#pragma once

#include "Connection/WireMessages.h"
#include "Process/Instant.h"
#include "Request/RetryBudget.h"
#include "Request/Routing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace cactusrail {

/** A side and its upstream's incarnation. */
using SideIncarnation = std::pair<std::string, std::uint64_t>;

/** How an attempt ended, for what it says of the side. */
enum class AttemptEnd : std::uint8_t
{
  Answered,
  Failed,
  /** Nobody waits for it any more. */
  Cancelled,
};

/**
 * A router and a retry budget for each service, fed by heartbeats and by the
 * ends of attempts. Pure but for its seeded random numbers; each lane of an
 * entry owns one, with a seed of its own: lanes with the same numbers would
 * send to the same sides at the same time.
 */
class RoutingSides
{
public:
  RoutingSides(std::string aDataCentre, std::uint64_t aSeed);

  void OnHeartbeat(const HeartbeatMessage& aHeartbeat, Instant aNow);
  /** The side is silent or leaving: nothing new goes there. */
  void Remove(std::string_view aSideId);

  /** A side of the service that was not tried yet in this incarnation. */
  std::optional<std::string> Choose(std::string_view aService,
                                    const std::set<SideIncarnation>& aTried,
                                    Instant aNow);
  void OnSent(std::string_view aSideId, Instant aNow);
  void OnEnd(std::string_view aSideId,
             AttemptEnd aEnd,
             Instant aSentAt,
             Instant aNow);

  void OnRequest(std::string_view aService, Instant aNow);
  bool TryRetry(std::string_view aService, Instant aNow);

private:
  struct Service
  {
    Router router_{ Router::Rules{} };
    RetryBudget budget_{ RetryBudget::Rules{} };
  };

  struct Side
  {
    std::string service_;
    std::uint64_t incarnation_ = 0;
    Router::Runner runner_ = 0;
    Instant addedAt_;
  };

  Service& ServiceNamed(std::string_view aService);

  std::string dataCentre_;
  bool draws_;
  std::mt19937_64 random_;
  std::map<std::string, Service, std::less<>> services_;
  std::map<std::string, Side, std::less<>> sides_;
  /** Side ids by service and the router's number. */
  std::map<std::pair<const Service*, Router::Runner>, std::string> names_;
};

}
