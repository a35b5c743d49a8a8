#pragma once

#include "Version/Instant.h"

#include <cstdint>

namespace cactusrail {

/**
 * Circuit breaker for calls to a service that may become unavailable.
 *
 * Performs no I/O and reads no clock: the caller passes in the results of calls
 * with their times. The breaker opens after consecutive calls without success
 * and then allows single probes at increasing intervals. The success of any
 * call closes it.
 */
class CircuitBreaker
{
public:
  enum class State : std::uint8_t
  {
    Closed,
    /** Requests are rejected until the next probe succeeds. */
    Open,
    /** A probe is in flight; requests are still rejected. */
    HalfOpen,
  };

  /**
   * aSpreadStart, from 0 to 1, is where the spread of RetryAfter() begins.
   * Processes with different values return their callers at different times.
   */
  explicit CircuitBreaker(double aSpreadStart = 0);

  /** Handles a call that succeeded at aAt. Calls must be reported in the order
   * of their ends; a success from before the breaker opened is ignored. */
  void OnSuccess(Instant aAt);
  /** Handles a call that was sent at aSentAt and ended at aNow without success,
   * whether it had an effect or not. */
  void OnFailure(Instant aSentAt, Instant aNow);

  /** Returns whether the caller must send a probe now, and counts it as sent.
   * Its end is reported with OnSuccess() or OnProbeFailure(). */
  bool TakeProbe(Instant aNow);
  void OnProbeFailure(Instant aNow);

  State Current() const { return state_; }
  /** Returns whether requests must be rejected. */
  bool Rejects() const { return state_ != State::Closed; }

  /** Returns the delay after which a caller that was rejected by the open
   * breaker should return. Successive values are spread over one interval after
   * the next probe, so that few attempts of a caller suffice for a long outage.
   */
  Millis RetryAfter(Instant aNow);

  /** Number of consecutive calls without success. */
  std::uint32_t Failures() const { return failures_; }
  /** Time of the transition to Open from Closed. */
  Instant OpenedAt() const { return openedAt_; }

private:
  void ScheduleProbe(Instant aNow);

  State state_ = State::Closed;
  std::uint32_t failures_ = 0;
  /** Time since which no call has succeeded, as far as the failed calls show.
   */
  Instant failingSince_;
  Instant succeededAt_;
  Instant openedAt_;
  Instant probeAt_;
  Millis interval_;
  double spread_;
};

}
