#pragma once

#include "Process/Instant.h"
#include "Version/InterferenceHistory.h"
#include "Version/InterferenceModel.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusrail {

/** A task that serves its own users, as last reported. */
struct ServingSample
{
  /** Which run it is, "TASK/RUN"; a run's figure counts once each half second.
   */
  std::string run_;
  std::string image_;
  /** Its tail latency over its objective. */
  double pressure_ = 0;
};

/** A backfill task beside it. */
struct BackfillSample
{
  std::string image_;
  /** Share of its speed at which it works. */
  double pace_ = 1;
};

/** What one more backfill task does to one that serves. */
struct BackfillImpact
{
  /** Slowdown that it adds to the one it disturbs most; 0 is none. */
  double cost_ = 0;
  /** The same with all backfill that is there already. */
  double total_ = 0;
  /** The pair has been seen together long enough. */
  bool known_ = true;
};

/**
 * What backfill costs the tasks beside it that serve, learned from their tail
 * latencies while both run. Most pairs of images don't disturb each other at
 * all, a few make the latency several times as long: so pairs are learned, not
 * images. Owned by the scheduler; its memory ends with it. Pure.
 */
class BackfillInterference
{
public:
  BackfillInterference();

  /** What runs on a worker from now on. */
  void Record(std::string_view aWorker,
              std::span<const BackfillSample> aBackfill,
              Instant aNow);

  /** Tail latencies as they were measured at that time. */
  void Measure(std::string_view aWorker,
               std::span<const ServingSample> aServing,
               Instant aMeasuredAt);

  BackfillImpact Impact(std::string_view aServingImage,
                        std::string_view aBackfillImage) const;

  /** The pressure of a serving task with no backfill beside it, as learned. */
  double PressureAlone(const ServingSample& aServing) const;

  /** What has been learned, for the next leader, and from the last one. */
  const InterferenceModel& Model() const { return model_; }
  InterferenceModel& Model() { return model_; }

private:
  InterferenceModel model_;
  InterferenceHistory history_;
  /** When a run's figure was last taken. */
  std::map<std::string, Instant, std::less<>> taken_;
};

}
