#include "Load/LocalPacing.h"

#include <algorithm>

namespace cactusrail {

namespace {

/** Time without orders, or without an answer to a report, after which the
 * leader counts as unresponsive. Users accept 4.5 s above the objective, of
 * which the reductions of the cap take 1.5 s. */
constexpr Millis kLeaderResponseTimeout{ 1000 };
/** Pressure above which the cap is lowered. */
constexpr double kOverloadedPressure = 1;
/** Pressure below which the cap is raised. Between the two the cap is kept, so
 * that it does not oscillate. */
constexpr double kRecoveredPressure = 0.75;
/** Time above kOverloadedPressure after which backfill is paused. */
constexpr Millis kPauseTimeout{ 1500 };
/** Shortest interval between two reductions to half. A new pace is in force
 * after 100 ms, and latencies are measured over half a second. */
constexpr Millis kHalvingInterval{ 500 };
/** Time below kRecoveredPressure, and since the last change, after which the
 * cap is raised by one step. */
constexpr Millis kRaiseInterval{ 1000 };
constexpr std::uint32_t kRaiseStep = 10;
/** Longest interval between two readings of one period of recovery. The worker
 * is read every half second, and a longer silence shows nothing. */
constexpr Millis kMaxReadingGap{ 1000 };

}

void
LocalPacing::OnReading(const PressureReading& aReading)
{
  const Instant now = aReading.at_;
  const bool gap = readAt_.has_value() && now - *readAt_ > kMaxReadingGap;
  readAt_ = now;
  if (gap || aReading.pressure_ >= kRecoveredPressure) {
    recoveredSince_.reset();
  }
  if (aReading.pressure_ < kRecoveredPressure) {
    recoveredSince_ = recoveredSince_.value_or(now);
  }
  if (aReading.pressure_ > kOverloadedPressure) {
    overloadedSince_ = overloadedSince_.value_or(now);
  } else {
    overloadedSince_.reset();
  }
  if (!inForce_) {
    return;
  }
  if (overloadedSince_.has_value()) {
    Lower(aReading);
  } else if (recoveredSince_.has_value()) {
    Raise(now);
  }
}

void
LocalPacing::Lower(const PressureReading& aReading)
{
  const Instant now = aReading.at_;
  std::uint32_t next = cap_;
  if (now - *overloadedSince_ >= kPauseTimeout) {
    next = 0;
  } else if (!changedAt_.has_value() || now - *changedAt_ >= kHalvingInterval) {
    // The cap may be above all paces that the leader ordered. Half of it would
    // then have no effect.
    next = std::min(cap_, aReading.highestPace_) / 2;
  }
  if (next < cap_) {
    cap_ = next;
    changedAt_ = now;
    ++reductions_;
  }
}

void
LocalPacing::Raise(Instant aNow)
{
  const bool steady =
    !changedAt_.has_value() || aNow - *changedAt_ >= kRaiseInterval;
  if (cap_ < kUncappedPace && steady &&
      aNow - *recoveredSince_ >= kRaiseInterval) {
    cap_ = std::min(kUncappedPace, cap_ + kRaiseStep);
    changedAt_ = aNow;
  }
}

void
LocalPacing::OnLinked()
{
  linked_ = true;
  // Reports of the previous link get no answer.
  unanswered_.clear();
}

void
LocalPacing::OnReportSent(Instant aNow, bool aShowsPaces)
{
  if (!inForce_ || aShowsPaces) {
    unanswered_.push_back(aNow);
  }
}

void
LocalPacing::OnOrders(Instant aEcho, Instant aNow)
{
  OnTime(aNow);
  lastOrdersAt_ = aNow;
  const bool answered = !unanswered_.empty() && unanswered_.front() <= aEcho;
  std::erase_if(unanswered_,
                [aEcho](Instant aReport) { return aReport <= aEcho; });
  if (inForce_ && linked_ && answered) {
    inForce_ = false;
    cap_ = kUncappedPace;
    changedAt_.reset();
  }
}

void
LocalPacing::OnTime(Instant aNow)
{
  if (inForce_) {
    std::erase_if(unanswered_, [aNow](Instant aReport) {
      return aNow - aReport > kLeaderResponseTimeout;
    });
  } else if (IsUnresponsive(aNow)) {
    inForce_ = true;
    unanswered_.clear();
  }
}

bool
LocalPacing::IsUnresponsive(Instant aNow) const
{
  return !linked_ || !lastOrdersAt_.has_value() ||
         aNow - *lastOrdersAt_ > kLeaderResponseTimeout ||
         (!unanswered_.empty() &&
          aNow - unanswered_.front() > kLeaderResponseTimeout);
}

}
