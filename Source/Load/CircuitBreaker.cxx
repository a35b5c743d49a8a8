#include "Load/CircuitBreaker.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

namespace {

/** One call may fail by chance. */
constexpr std::uint32_t kMinFailures = 2;
/** A store that restarts is back sooner than that. */
constexpr Millis kMinFailingTime{ 500 };
constexpr Millis kFirstInterval{ 300 };
constexpr Millis kMaxInterval{ 2000 };
constexpr Millis kMinRetryAfter{ 300 };
/** Successive multiples of the golden ratio modulo 1 are spread evenly over the
 * range, however many there are. */
constexpr double kGoldenRatio = 0.6180339887498949;

}

CircuitBreaker::CircuitBreaker(double aSpreadStart)
  : interval_(kFirstInterval)
  , spread_(aSpreadStart)
{
}

void
CircuitBreaker::OnSuccess(Instant aAt)
{
  if (aAt <= succeededAt_ || (Rejects() && aAt < openedAt_)) {
    return;
  }
  succeededAt_ = aAt;
  state_ = State::Closed;
  failures_ = 0;
  interval_ = kFirstInterval;
}

void
CircuitBreaker::OnFailure(Instant aSentAt, Instant aNow)
{
  // A call that was in flight during a success shows only that the service
  // failed after that.
  const Instant since = std::max(aSentAt, succeededAt_);
  failingSince_ = failures_ == 0 ? since : std::min(failingSince_, since);
  ++failures_;
  if (state_ == State::Closed && failures_ >= kMinFailures &&
      aNow - failingSince_ >= kMinFailingTime) {
    state_ = State::Open;
    openedAt_ = aNow;
    ScheduleProbe(aNow);
  }
}

void
CircuitBreaker::ScheduleProbe(Instant aNow)
{
  probeAt_ = aNow + interval_;
}

bool
CircuitBreaker::TakeProbe(Instant aNow)
{
  if (state_ != State::Open || aNow < probeAt_) {
    return false;
  }
  state_ = State::HalfOpen;
  interval_ = std::min(2 * interval_, kMaxInterval);
  ScheduleProbe(aNow);
  return true;
}

void
CircuitBreaker::OnProbeFailure(Instant aNow)
{
  if (state_ != State::HalfOpen) {
    return;
  }
  ++failures_;
  state_ = State::Open;
  ScheduleProbe(aNow);
}

Millis
CircuitBreaker::RetryAfter(Instant aNow)
{
  spread_ = std::fmod(spread_ + kGoldenRatio, 1.0);
  const auto untilProbe =
    std::chrono::ceil<Millis>(std::max(probeAt_ - aNow, Micros(0)));
  const auto offset = std::chrono::duration_cast<Millis>(interval_ * spread_);
  return std::max(untilProbe, kMinRetryAfter) + offset;
}

}
