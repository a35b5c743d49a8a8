#pragma once

#include "Process/Instant.h"
#include "Version/ContentionModel.h"
#include "Version/InterferenceHistory.h"

#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cactusrail {

/** A task that serves its own users, as last reported. */
struct ServingSample
{
  /** Which run it is, "TASK/RUN"; a run's figure counts once each half second.
   */
  std::string run_;
  /** Its job: all of a job's tasks share the load of its users. */
  std::string job_;
  std::string image_;
  /** Its tail latency over its objective. */
  double pressure_ = 0;
};

/** A backfill task beside it. */
struct BackfillSample
{
  std::string image_;
  /** What it may use, in tenths of its worker's processors, at full pace. */
  double size_ = 1;
  /** Share of its speed at which it works. */
  double pace_ = 1;
};

/** How one more backfill task would do beside those that serve on a worker. */
struct BackfillFit
{
  /** How much of it may work at full speed so that they keep their objective,
   * in tenths of the worker's processors. */
  double tenths_ = std::numeric_limits<double>::infinity();
  /** The speed, 0 to 1, at which a task of a given size may work therefore. */
  double speed_ = 1;
  /** It costs none of them more than noise. */
  bool harmless_ = true;
  /** All its pairs with them have been measured. */
  bool known_ = true;
};

/** Tasks of one job that serve on a worker. */
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
 * What backfill costs the tasks beside it that serve, and how fast it may work
 * so that they keep their objective. Owned by the scheduler. Pure.
 */
class BackfillInterference
{
public:
  /** What runs on a worker from now on. */
  void Record(std::string_view aWorker,
              std::span<const BackfillSample> aBackfill,
              Instant aNow);

  /** Tail latencies as they were measured at that time. */
  void Measure(std::string_view aWorker,
               std::span<const ServingSample> aServing,
               Instant aMeasuredAt);

  /**
   * How more backfill of an image would do beside these serving tasks and this
   * backfill (image and size of all its tasks) for this time.
   */
  BackfillFit FitOfOneMore(
    const std::map<ServingGroup, std::uint32_t>& aServing,
    const std::map<std::string, double>& aBackfill,
    const std::string& aImage,
    Millis aAhead);

  /**
   * The speeds at which the backfill of one worker may work until the next
   * report, in the given order: those that cost least get theirs first.
   */
  std::vector<double> Speeds(std::span<const ServingSample> aServing,
                             std::span<const BackfillSample> aBackfill);

  /** What has been learned, for the next leader, and from the last one. */
  const ContentionModel& Model() const { return model_; }
  ContentionModel& Model() { return model_; }

private:
  /** The last figure of a run, which the next one still contains a part of. */
  struct Figure
  {
    Instant takenAt_;
    double pressure_ = 0;
  };

  /** The middle figure of tasks of one job and image; they are disturbed alike.
   */
  struct Group
  {
    std::string job_;
    ContentionModel::Image image_ = 0;
    std::vector<double> pressures_;
  };
  std::vector<Group> FreshFigures(std::span<const ServingSample> aServing,
                                  Instant aMeasuredAt);
  static double WithoutLast(const Figure& aLast,
                            double aPressure,
                            Instant aMeasuredAt);
  double RoomLeft(const ServingSample& aServing,
                  std::span<const BackfillSample> aBackfill);

  ContentionModel model_;
  InterferenceHistory history_;
  std::map<std::string, Figure, std::less<>> figures_;
  Instant forgotAt_;
};

}
