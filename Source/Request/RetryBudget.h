#pragma once

#include "Process/Instant.h"

#include <cstdint>

namespace cactusrail {

/**
 * Bounds retries to a part of the requests, so that an outage is not amplified:
 * when all fails, retries add a tenth to the load and not twice the load. Pure;
 * one per service in each lane.
 */
class RetryBudget
{
public:
  struct Rules
  {
    /** Retries that each request pays for. */
    double perRequest_ = 0.1;
    /** Retries that are free in a second, so that a quiet service can retry. */
    double perSecond_ = 2;
    double most_ = 20;
  };

  explicit RetryBudget(const Rules& aRules);

  void OnRequest(Instant aNow);
  /** Takes one retry if the budget has it. */
  bool TryTake(Instant aNow);
  /** When the next retry will be there at the latest. */
  Instant NextAt(Instant aNow) const;

private:
  void Refill(Instant aNow);

  Rules rules_;
  double tokens_;
  Instant refilledAt_;
};

}
