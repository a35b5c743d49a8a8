#pragma once

#include "Version/InterferenceModel.h"
#include "Version/ServingLoad.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace cactusrail {

/** Share of a serving task's capacity, 0 to 1, that backfill takes for each
 * tenth of the worker's processors that it may use. */
struct ContentionCost
{
  double mean_ = 0;
  /** Standard deviation of mean_. */
  double deviation_ = 0;
};

/** Learned state that one scheduler process hands to the next. Images are
 * identified by name, because their numbers are valid in one process only. */
struct LearnedContention
{
  struct Pair
  {
    std::string serving_;
    std::string backfill_;
    double mean_ = 0;
    double variance_ = 0;

    template<class Archive>
    void serialize(Archive& ar)
    {
      ar(serving_, backfill_, mean_, variance_);
    }
  };
  struct Base
  {
    std::string serving_;
    double lowestPressure_ = 0;
    std::uint32_t reportCount_ = 0;

    template<class Archive>
    void serialize(Archive& ar)
    {
      ar(serving_, lowestPressure_, reportCount_);
    }
  };

  std::vector<Pair> pairs_;
  std::vector<Base> bases_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(pairs_, bases_);
  }
};

/**
 * Estimates how much capacity backfill takes from the serving tasks on the same
 * worker, from the tail latencies of the serving tasks. Owned by
 * BackfillInterference. Does no I/O and reads no clock.
 *
 * Tail latency is modelled as that of a queue, 1 / (1 - utilisation). A
 * neighbour that adds a tenth to the latency at low load makes it ten times as
 * long at high load, and the load changes within seconds. Costs expressed as
 * latencies are therefore wrong by up to that factor in either direction. Costs
 * expressed as shares of capacity do not depend on the load and can be summed:
 *
 *   pressure = base / (1 - load - sum of costs)
 *
 * The load is estimated per job and the cost per pair of images, by a Kalman
 * filter without covariance terms.
 */
class ContentionModel
{
public:
  using Image = std::uint32_t;

  /** Returns the number of an image and assigns one to a new name. */
  Image Number(std::string_view aName);

  /** Updates the lowest pressure of an image. aPressure is the reported tail
   * latency of a serving task divided by its objective. */
  void OnReported(Image aServing, double aPressure);

  /** Updates the load of the job and the costs of its neighbours with the
   * pressure measured at one time. aNeighbours holds the backfill tasks that
   * ran on the worker at that time, weighted by their pace. */
  void OnMeasured(Image aServing,
                  const std::string& aJob,
                  double aPressure,
                  std::span<const Neighbour> aNeighbours,
                  Instant aMeasuredAt);

  /** Returns the share of its capacity that a serving task uses at this
   * pressure. */
  double Utilisation(Image aServing, double aPressure) const;
  /** Returns the highest utilisation, by load and neighbours together, at which
   * a serving task meets its objective. */
  double Limit(Image aServing) const;
  /** Returns the highest utilisation by the job's own requests that is expected
   * within this time. */
  double LoadWithin(const std::string& aJob, Millis aAhead) const;
  /** Returns the learned cost of a pair, or the prior for an unknown pair. */
  ContentionCost CostOf(Image aServing, Image aBackfill) const;

  /** Sets the cost of a pair to a known value with zero variance. */
  void SetKnownCost(Image aServing,
                    Image aBackfill,
                    double aCost,
                    Instant aNow);

  LearnedContention Export() const;
  /** Merges the state of another model: keeps the lower of the lowest pressures
   * of an image and adds up its report counts; pairs known here are unchanged.
   */
  void Import(const LearnedContention& aLearned, Instant aNow);

  /** Removes the loads of jobs that have no measurement since aTime. */
  void ForgetBefore(Instant aTime);

private:
  struct Serving
  {
    /** Lowest pressure reported, taken as that of the lowest load. */
    double lowestPressure_ = 0;
    std::uint32_t reportCount_ = 0;
    std::map<Image, ScalarEstimate> costs_;
  };

  double BasePressureOf(Image aServing) const;
  ScalarEstimate& CostAt(Image aServing, Image aBackfill, Instant aNow);
  Serving& ServingAt(Image aServing);
  const ScalarEstimate* FindCost(Image aServing, Image aBackfill) const;

  std::map<std::string, Image, std::less<>> numbers_;
  std::vector<Serving> servings_;
  std::map<std::string, ServingLoad, std::less<>> loads_;
};

}
