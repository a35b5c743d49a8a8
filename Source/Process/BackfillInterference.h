#pragma once

#include "Version/ContentionModel.h"
#include "Version/Instant.h"
#include "Version/InterferenceHistory.h"

#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cactusrail {

/** A task that serves users of its own, as last reported. */
struct ServingSample
{
  /** Run, as "TASK/RUN"; the figure of a run counts once per half second. */
  std::string run_;
  /** Job of the task; all tasks of a job share the load of its users. */
  std::string job_;
  std::string image_;
  /** Ratio of its tail latency to its objective. */
  double pressure_ = 0;
};

/** A backfill task on the same worker. */
struct BackfillSample
{
  std::string image_;
  /** CPU that the task may use at full pace, in tenths of its worker's
   * processors. */
  double size_ = 1;
  /** Share of its full speed at which the task runs. */
  double pace_ = 1;
};

/** Predicted effect of one more backfill task on a worker's serving tasks. */
struct BackfillFit
{
  /** Amount of backfill that may run at full speed while the serving tasks keep
   * their objective, in tenths of the worker's processors. */
  double tenths_ = std::numeric_limits<double>::infinity();
  /** Resulting speed, 0 to 1, for a task of a given size; set by the caller of
   * FitOfAdditionalTask(). */
  double speed_ = 1;
  /** The cost to each serving task is low; see kHarmlessCost. */
  bool harmless_ = true;
  /** The cost to each serving task has been measured. */
  bool known_ = true;
};

/** Serving tasks of one job and image on a worker. */
struct ServingGroup
{
  std::string job_;
  std::string image_;

  bool operator<(const ServingGroup& aOther) const
  {
    return std::tie(job_, image_) < std::tie(aOther.job_, aOther.image_);
  }
};

/**
 * Measures how much backfill slows the serving tasks beside it, and limits its
 * speed so that they keep their objective. Owned by the scheduler. Pure.
 */
class BackfillInterference
{
public:
  /** Records the backfill that runs on a worker from aNow on. */
  void Record(std::string_view aWorker,
              std::span<const BackfillSample> aBackfill,
              Instant aNow);

  /** Applies tail latencies that were measured at aMeasuredAt. */
  void Measure(std::string_view aWorker,
               std::span<const ServingSample> aServing,
               Instant aMeasuredAt);

  /**
   * Returns the fit, without its speed, of one more backfill task of an image
   * beside the given serving tasks and backfill (total size of its tasks by
   * image, in tenths of the worker's processors). aAhead is the interval for
   * which the load of the serving tasks is predicted.
   */
  BackfillFit FitOfAdditionalTask(
    const std::map<ServingGroup, std::uint32_t>& aServing,
    const std::map<std::string, double>& aBackfill,
    const std::string& aImage,
    Millis aAhead);

  /**
   * Returns the speeds at which the backfill of one worker may run until the
   * next report, in the given order. The tasks of the lowest cost get theirs
   * first.
   */
  std::vector<double> Speeds(std::span<const ServingSample> aServing,
                             std::span<const BackfillSample> aBackfill);

  /** The model, which one leader stores for the next one. */
  const ContentionModel& Model() const { return model_; }
  ContentionModel& Model() { return model_; }

private:
  /** Last figure of a run; the next figure still contains a part of it. */
  struct Figure
  {
    Instant takenAt_;
    double pressure_ = 0;
  };

  /** Figures of the tasks of one job and image, which backfill slows alike; the
   * median of them is used. */
  struct Group
  {
    std::string job_;
    ContentionModel::Image image_ = 0;
    std::vector<double> pressures_;
  };
  std::vector<Group> TakeNewFigures(std::span<const ServingSample> aServing,
                                    Instant aMeasuredAt);
  static double SubtractLast(const Figure& aLast,
                             double aPressure,
                             Instant aMeasuredAt);
  double CapacityLeft(const ServingSample& aServing,
                      std::span<const BackfillSample> aBackfill);

  ContentionModel model_;
  InterferenceHistory history_;
  std::map<std::string, Figure, std::less<>> figures_;
  Instant cleanedAt_;
};

}
