#pragma once

#include "Load/CircuitBreaker.h"
#include "Version/Instant.h"

#include <string_view>

namespace cactusrail {

/**
 * Circuit breaker of an entry for its calls to the store, with its log events
 * and metrics. While it is disabled, it rejects nothing. Owned by the entry.
 */
class StoreBreaker
{
public:
  /** Entries with different names spread their callers differently. */
  explicit StoreBreaker(std::string_view aNode);

  void SetEnabled(bool aEnabled);
  bool Enabled() const { return enabled_; }

  /** Handles the time at which the store last answered any call. */
  void OnAnswered(Instant aAt);
  /** Handles a write that was sent at aSentAt and ended now without success.
   * Returns whether the breaker has opened. */
  bool OnFailed(Instant aSentAt, Instant aNow);

  bool Rejects() const { return enabled_ && breaker_.Rejects(); }
  /** Returns whether a probe must be sent now. */
  bool TakeProbe(Instant aNow);
  void OnProbeEnded(bool aSuccess, Instant aNow);

  /** Returns the delay after which a caller should repeat a request that the
   * store did not accept. */
  Millis RetryAfter(Instant aNow);

private:
  void LogClosed(Instant aNow) const;

  CircuitBreaker breaker_;
  bool enabled_ = false;
};

}
