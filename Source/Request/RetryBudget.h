#pragma once

#include "Version/Instant.h"

#include <cstdint>

namespace cactusrail {

/**
 * Limits retries to a fraction of the requests, so that an outage is not
 * amplified: if all requests fail, retries add a tenth to the load instead of
 * twice the load. Performs no I/O; one per service in each lane.
 */
class RetryBudget
{
public:
  struct Rules
  {
    /** Retries added to the budget by each request. */
    double perRequest_ = 0.1;
    /** Retries added per second, so that a service with few requests can retry.
     */
    double perSecond_ = 2;
    double maxTokens_ = 20;
  };

  explicit RetryBudget(const Rules& aRules);

  void OnRequest(Instant aNow);
  /** Consumes one retry; returns false if the budget has none. */
  bool TryTake(Instant aNow);
  /** Latest time at which the next retry becomes available. */
  Instant NextAt(Instant aNow) const;

private:
  void Refill(Instant aNow);

  Rules rules_;
  double tokens_;
  Instant refilledAt_;
};

}
