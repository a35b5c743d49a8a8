#pragma once

#include "Version/InterferenceModel.h"
#include "Version/PlacementFacts.h"
#include "Version/UsageEstimate.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactusrail {

/**
 * Chooses workers by declared size, learned usage and learned interference.
 * Satisfies PlacementPolicy: never chooses a worker where the declared size
 * does not fit. Does no I/O and reads no clock. The owning scheduler updates
 * the two models.
 */
class PlacementEngine
{
public:
  struct Rules
  {
    /** Maximum number of workers that are scored per choice. Workers on which
     * the task does not fit are skipped and not counted. */
    std::size_t maxScored_ = 24;
    /** Number of workers on which batch work leaves capacity for one urgent
     * task. */
    std::size_t minOpenWorkers_ = 2;
    /** Upper limit of the expected processor usage, as a share of capacity. */
    double processorLimit_ = 1.15;
    /** Upper limit of the expected memory usage, as a share of capacity. Tasks
     * are killed beyond 1. */
    double memoryLimit_ = 1.0;
    /** Weight of the slowdown of urgent work relative to packing. */
    double harmWeight_ = 1.0;
    /** Slowdown of urgent work at half load above which a program counts as
     * disruptive. */
    double disruptiveCost_ = 0.03;
    /** Share of the workers that are designated for disruptive programs. */
    double designatedShare_ = 0.2;
    /** Sum of slowdowns on another worker up to which a disruptive task may be
     * placed there. */
    double sharedCostLimit_ = 0.0;
    /** Time after the rejection of a disruptive task during which other batch
     * tasks are not placed on the designated workers. */
    Millis rejectionHold_{ 3000 };
  };

  PlacementEngine(const Rules& aRules,
                  const UsageEstimate& aUsage,
                  const InterferenceModel& aInterference,
                  InterferenceModel::Program aVictim,
                  std::uint64_t aSeed);

  std::optional<std::size_t> Choose(const TaskFacts& aTask,
                                    std::span<const WorkerFacts> aWorkers,
                                    Instant aNow);

private:
  /** A placement that the worker's latest report does not include yet. */
  struct Pending
  {
    Resources resources_;
    Instant placedAt_;
  };

  bool ExpectedToFit(const Resources& aExpected,
                     const WorkerFacts& aWorker,
                     Instant aNow);
  double Score(const TaskFacts& aTask,
               InterferenceModel::Program aProgram,
               const WorkerFacts& aWorker) const;
  double ServiceScore(const TaskFacts& aTask, const WorkerFacts& aWorker) const;
  bool IsPlacementAllowed(bool aDisruptive,
                          bool aDesignated,
                          double aCost,
                          const WorkerFacts& aWorker,
                          Instant aNow) const;
  std::uint64_t NextRandom();

  Rules rules_;
  const UsageEstimate& usage_;
  const InterferenceModel& interference_;
  InterferenceModel::Program victim_;
  std::uint64_t random_;
  /** Time at which a disruptive task was last rejected on all workers. */
  std::optional<Instant> disruptiveRejectedAt_;
  /** Largest processor and memory sizes declared by an urgent task so far. */
  Resources urgentSize_;
  std::unordered_map<std::string, std::vector<Pending>> pending_;
};

}
