#pragma once

#include "Process/Instant.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cactusrail {

/**
 * Sets runners aside that fail or answer far slower than their peers, and lets
 * them back by single probes. Pure; owned by a Router. Never sets aside more
 * than a fixed part of the fleet: if all are slow, none is an outlier.
 */
class OutlierTracker
{
public:
  struct Rules
  {
    std::uint32_t failuresInARow_ = 5;
    /** An outlier's mean latency is this many times the fleet's. */
    double latencyRatio_ = 2.5;
    std::uint32_t minSamples_ = 20;
    double maxSetAsidePart_ = 0.3;
    Millis firstPause_{ 1000 };
    Millis longestPause_{ 30000 };
  };

  explicit OutlierTracker(const Rules& aRules);

  /** A new runner with this number; nothing known of it. */
  void Reset(std::size_t aRunner);
  void Forget(std::size_t aRunner);
  void OnAnswer(std::size_t aRunner, Micros aLatency, Instant aNow);
  void OnFailure(std::size_t aRunner, Instant aNow);
  /** A request goes there: if the runner is on trial, that is its probe. */
  void OnSent(std::size_t aRunner, Instant aNow);

  /** Whether the runner may get a request now, a probe included. */
  bool MayUse(std::size_t aRunner, Instant aNow) const;

  /** Set aside, or on trial and not yet back. */
  bool IsSetAside(std::size_t aRunner) const;

private:
  struct Entry
  {
    bool known_ = false;
    bool setAside_ = false;
    bool probing_ = false;
    std::uint32_t failures_ = 0;
    std::uint32_t samples_ = 0;
    double meanMicros_ = 0;
    Millis pause_{ 0 };
    /** No probe before this. */
    Instant probeAt_;
  };

  void SetAside(Entry& aEntry, Instant aNow);

  Rules rules_;
  std::vector<Entry> entries_;
  std::size_t known_ = 0;
  std::size_t setAside_ = 0;
  /** Moving mean over the answers of runners that are not set aside. */
  double fleetMicros_ = 0;
};

}
