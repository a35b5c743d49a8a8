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
  setAside_ -= entry.setAside_ ? 1 : 0;
  entry = Entry{};
}

void
OutlierTracker::SetAside(Entry& aEntry, Instant aNow)
{
  if (!aEntry.setAside_) {
    // A fleet that is slow as a whole needs all of its runners.
    const double limit = rules_.maxSetAsidePart_ * static_cast<double>(known_);
    if (static_cast<double>(setAside_ + 1) > limit) {
      return;
    }
    ++setAside_;
    aEntry.setAside_ = true;
  }
  aEntry.pause_ =
    std::clamp(aEntry.pause_ * 2, rules_.firstPause_, rules_.longestPause_);
  aEntry.probeAt_ = aNow + aEntry.pause_;
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
  if (entry.setAside_) {
    // Answers to requests sent before the ejection don't count as probes.
    if (!entry.probing_) {
      return;
    }
    entry.probing_ = false;
    if (fleetMicros_ > 0 && micros > rules_.latencyRatio_ * fleetMicros_) {
      SetAside(entry, aNow);
      return;
    }
    entry.setAside_ = false;
    --setAside_;
    entry.samples_ = 0;
    entry.meanMicros_ = 0;
    return;
  }
  fleetMicros_ = Smooth(fleetMicros_, micros, kFleetSmoothing);
  entry.meanMicros_ = Smooth(entry.meanMicros_, micros, kRunnerSmoothing);
  ++entry.samples_;
  if (entry.samples_ >= rules_.minSamples_ &&
      entry.meanMicros_ > rules_.latencyRatio_ * fleetMicros_) {
    SetAside(entry, aNow);
  }
}

void
OutlierTracker::OnFailure(std::size_t aRunner, Instant aNow)
{
  Entry& entry = entries_[aRunner];
  ++entry.failures_;
  if (entry.setAside_ || entry.failures_ >= rules_.failuresInARow_) {
    SetAside(entry, aNow);
  }
}

void
OutlierTracker::OnSent(std::size_t aRunner, Instant aNow)
{
  Entry& entry = entries_[aRunner];
  if (entry.setAside_ && entry.probeAt_ <= aNow) {
    // Sends one probe per ejection period, so that a runner that never answers
    // receives few requests.
    entry.probeAt_ = aNow + entry.pause_;
    entry.probing_ = true;
  }
}

bool
OutlierTracker::MayUse(std::size_t aRunner, Instant aNow) const
{
  const Entry& entry = entries_[aRunner];
  return entry.known_ && (!entry.setAside_ || entry.probeAt_ <= aNow);
}

bool
OutlierTracker::IsSetAside(std::size_t aRunner) const
{
  return entries_[aRunner].setAside_;
}

}
