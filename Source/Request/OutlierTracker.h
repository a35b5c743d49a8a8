#pragma once

#include "Version/Instant.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cactusrail {

/**
 * Outlier detection: ejects runners that fail or answer far slower than their
 * peers, and readmits them after a successful single probe. Never ejects more
 * than a fixed fraction of the fleet: if all runners are slow, none is an
 * outlier. Performs no I/O; owned by a Router.
 */
class OutlierTracker
{
public:
  struct Rules
  {
    std::uint32_t consecutiveFailures_ = 5;
    /** Ratio of an outlier's mean latency to the fleet's mean latency. */
    double latencyRatio_ = 2.5;
    std::uint32_t minSamples_ = 20;
    double maxEjectedFraction_ = 0.3;
    Millis minEjectionTime_{ 1000 };
    Millis maxEjectionTime_{ 30000 };
  };

  explicit OutlierTracker(const Rules& aRules);

  /** Starts tracking a new runner with this index, without history. */
  void Reset(std::size_t aRunner);
  void Forget(std::size_t aRunner);
  void OnAnswer(std::size_t aRunner, Micros aLatency, Instant aNow);
  void OnFailure(std::size_t aRunner, Instant aNow);
  /** A request is sent; if the runner is ejected and a probe is due, the
   * request is its probe. */
  void OnSent(std::size_t aRunner, Instant aNow);

  /** Whether the runner may get a request now, including a probe. */
  bool AcceptsRequest(std::size_t aRunner, Instant aNow) const;

  /** Whether the runner is ejected, including while it is probed. */
  bool IsEjected(std::size_t aRunner) const;

private:
  struct Entry
  {
    bool known_ = false;
    bool ejected_ = false;
    bool probing_ = false;
    std::uint32_t failures_ = 0;
    std::uint32_t samples_ = 0;
    double meanMicros_ = 0;
    Millis ejectionTime_{ 0 };
    /** Earliest time of the next probe. */
    Instant probeAt_;
  };

  void Eject(Entry& aEntry, Instant aNow);

  Rules rules_;
  std::vector<Entry> entries_;
  std::size_t known_ = 0;
  std::size_t ejected_ = 0;
  /** Moving average of the latency of runners that are not ejected. */
  double fleetMicros_ = 0;
};

}
