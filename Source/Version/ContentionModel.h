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

/** What backfill takes of a serving task's capacity, 0 to 1, for each tenth of
 * the worker's processors that it may use. */
struct ContentionCost
{
  double mean_ = 0;
  /** Its standard deviation. */
  double doubt_ = 0;
};

/** What was learned, for a successor; by names, as numbers end with a process.
 */
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
    double leastPressure_ = 0;
    std::uint32_t figures_ = 0;

    template<class Archive>
    void serialize(Archive& ar)
    {
      ar(serving_, leastPressure_, figures_);
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
 * How much backfill takes of the serving tasks beside it, learned from their
 * tail latencies. Owned by BackfillInterference. Pure.
 *
 * A tail latency grows as that of a queue, as 1 / (1 - utilisation): the same
 * neighbour that adds a tenth to the latency at a low load makes it ten times
 * as long at a high one. Costs that are summed as latencies were therefore
 * wrong by that factor either way, as the load moves within seconds. As shares
 * of capacity they are the same at all loads, and add up:
 *
 *   pressure = base / (1 - load - sum of costs)
 *
 * The load is learned for each job, the costs for each pair of images, by a
 * Kalman filter without cross terms.
 */
class ContentionModel
{
public:
  using Image = std::uint32_t;

  /** The number of an image; the same name always has the same one. */
  Image Number(std::string_view aName);

  /** The tail latency over its objective that was reported of a serving task;
   * it tells the least one of its image. */
  void OnReported(Image aServing, double aPressure);

  /** Its pressure at one moment, beside these backfill tasks, weighted by their
   * pace. */
  void OnMeasured(Image aServing,
                  const std::string& aJob,
                  double aPressure,
                  std::span<const Neighbour> aBeside,
                  Instant aMeasuredAt);

  /** The share of its capacity that a serving task uses at this pressure. */
  double Utilisation(Image aServing, double aPressure) const;
  /** The most that it may use, all told, to keep its objective. */
  double Limit(Image aServing) const;
  /** The most that the job's own users will use within this time. */
  double LoadWithin(const std::string& aJob, Millis aAhead) const;
  ContentionCost CostOf(Image aServing, Image aBackfill) const;

  /** Sets what a pair costs, as an operator's knowledge. */
  void Teach(Image aServing, Image aBackfill, double aCost, Instant aNow);

  LearnedContention Export() const;
  /** Takes up what another model learned; pairs known here stay as they are. */
  void Import(const LearnedContention& aLearned, Instant aNow);

  /** Forgets the loads of jobs not measured since. */
  void ForgetBefore(Instant aTime);

private:
  struct Serving
  {
    /** Lowest pressure seen, at its lowest load. */
    double leastPressure_ = 0;
    std::uint32_t figures_ = 0;
    std::map<Image, LearnedFigure> costs_;
  };

  double BaseOf(Image aServing) const;
  LearnedFigure& CostAt(Image aServing, Image aBackfill, Instant aNow);
  Serving& ServingAt(Image aServing);
  const LearnedFigure* FindCost(Image aServing, Image aBackfill) const;

  std::map<std::string, Image, std::less<>> numbers_;
  std::vector<Serving> servings_;
  std::map<std::string, ServingLoad, std::less<>> loads_;
};

}
