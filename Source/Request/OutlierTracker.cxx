#include "Request/OutlierTracker.h"

#include <algorithm>

namespace cactusrail {

namespace {

constexpr double kRunnerSmoothing = 0.05;
constexpr double kFleetSmoothing = 0.005;

double
Smooth(double aOld, double aNew, double aPart)
{
  return aOld == 0 ? aNew : aOld + aPart * (aNew - aOld);
}

}

OutlierTracker::OutlierTracker(const Rules& aRules)
  : rules_(aRules)
{
}

void
OutlierTracker::Reset(std::size_t aRunner)
{
  if (aRunner >= entries_.size()) {
    entries_.resize(aRunner + 1);
  }
  Forget(aRunner);
  entries_[aRunner].known_ = true;
  ++known_;
}

void
OutlierTracker::Forget(std::size_t aRunner)
{
  Entry& entry = entries_[aRunner];
  known_ -= entry.known_ ? 1 : 0;
  ejected_ -= entry.ejected_ ? 1 : 0;
  entry = Entry{};
}

void
OutlierTracker::Eject(Entry& aEntry, Instant aNow)
{
  if (!aEntry.ejected_) {
    // A fleet that is slow as a whole needs all of its runners.
    const double limit =
      rules_.maxEjectedFraction_ * static_cast<double>(known_);
    if (static_cast<double>(ejected_ + 1) > limit) {
      return;
    }
    ++ejected_;
    aEntry.ejected_ = true;
  }
  aEntry.ejectionTime_ = std::clamp(
    aEntry.ejectionTime_ * 2, rules_.minEjectionTime_, rules_.maxEjectionTime_);
  aEntry.probeAt_ = aNow + aEntry.ejectionTime_;
  aEntry.probing_ = false;
  aEntry.samples_ = 0;
  aEntry.meanMicros_ = 0;
}

void
OutlierTracker::OnAnswer(std::size_t aRunner, Micros aLatency, Instant aNow)
{
  Entry& entry = entries_[aRunner];
  const auto micros = static_cast<double>(aLatency.count());
  entry.failures_ = 0;
  if (entry.ejected_) {
    // Answers to requests sent before the ejection don't count as probes.
    if (!entry.probing_) {
      return;
    }
    entry.probing_ = false;
    if (fleetMicros_ > 0 && micros > rules_.latencyRatio_ * fleetMicros_) {
      Eject(entry, aNow);
      return;
    }
    entry.ejected_ = false;
    --ejected_;
    entry.samples_ = 0;
    entry.meanMicros_ = 0;
    return;
  }
  fleetMicros_ = Smooth(fleetMicros_, micros, kFleetSmoothing);
  entry.meanMicros_ = Smooth(entry.meanMicros_, micros, kRunnerSmoothing);
  ++entry.samples_;
  if (entry.samples_ >= rules_.minSamples_ &&
      entry.meanMicros_ > rules_.latencyRatio_ * fleetMicros_) {
    Eject(entry, aNow);
  }
}

void
OutlierTracker::OnFailure(std::size_t aRunner, Instant aNow)
{
  Entry& entry = entries_[aRunner];
  ++entry.failures_;
  if (entry.ejected_ || entry.failures_ >= rules_.consecutiveFailures_) {
    Eject(entry, aNow);
  }
}

void
OutlierTracker::OnSent(std::size_t aRunner, Instant aNow)
{
  Entry& entry = entries_[aRunner];
  if (entry.ejected_ && entry.probeAt_ <= aNow) {
    // Sends one probe per ejection period, so that a runner that never answers
    // receives few requests.
    entry.probeAt_ = aNow + entry.ejectionTime_;
    entry.probing_ = true;
  }
}

bool
OutlierTracker::AcceptsRequest(std::size_t aRunner, Instant aNow) const
{
  const Entry& entry = entries_[aRunner];
  return entry.known_ && (!entry.ejected_ || entry.probeAt_ <= aNow);
}

bool
OutlierTracker::IsEjected(std::size_t aRunner) const
{
  return entries_[aRunner].ejected_;
}

}
