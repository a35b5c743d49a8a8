#pragma once

#include "Version/Instant.h"

#include <cstdint>

namespace cactusrail {

/**
 * Limits the rate of a process's writes to the table service after an outage.
 * If all processes sent their deferred writes at once, the service would be
 * overloaded again. Each process waits for a random time up to maxWait_,
 * starts at a low rate, doubles it while writes succeed and halves it when one
 * fails. Does no I/O and reads no clock; the caller supplies random numbers.
 */
class RecoveryRateLimiter
{
public:
  struct Rules
  {
    double initialPerSecond_ = 2;
    double maxPerSecond_ = 50;
    Millis doublingInterval_{ 1000 };
    Millis maxWait_{ 2000 };
  };

  explicit RecoveryRateLimiter(const Rules& aRules);

  /** Starts rate limiting after the service became unreachable, or starts it
   * anew: allows no write for a random time up to maxWait_, then at most
   * initialPerSecond_ writes per second, evenly spaced, until OnSuccess() or
   * OnFailure() changes the rate. */
  void OnOutage(Instant aNow, std::uint64_t aRandom);
  /** Doubles the rate at intervals of doublingInterval_; ends rate limiting
   * above maxPerSecond_. */
  void OnSuccess(Instant aNow);
  /** Halves the rate and adds a random wait; starts rate limiting if it is off.
   */
  void OnFailure(Instant aNow, std::uint64_t aRandom);

  /** Returns whether one write may be sent now, and counts it if so. */
  bool TryTake(Instant aNow);
  /** Returns the earliest time at which TryTake() can succeed. */
  Instant NextAt() const;
  /** Returns whether rate limiting is on. */
  bool IsLimited() const;

private:
  Instant RandomDelayFrom(Instant aNow, std::uint64_t aRandom) const;

  Rules rules_;
  bool limited_ = false;
  double perSecond_ = 0;
  Instant nextAt_;
  Instant rateChangedAt_;
};

}
