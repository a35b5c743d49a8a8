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
 * Chooses workers by declared size, learned use and learned interference. A
 * PlacementPolicy: never chooses where the declared size does not fit. Pure;
 * owned by a scheduler, which feeds the two models it reads.
 */
class PlacementEngine
{
public:
  struct Rules
  {
    /** Workers that are scored in one choice; the rest only if none fits. */
    std::size_t scored_ = 24;
    /** Workers on which batch work leaves room for one urgent task. */
    std::size_t workersKeptOpen_ = 2;
    /** Expected use of processors may fill this part of a worker. */
    double processorLimit_ = 1.15;
    /** The same for memory, where more than all of it kills a task. */
    double memoryLimit_ = 1.0;
    /** Weight of harm to urgent work beside packing. */
    double harmWeight_ = 1.0;
    /** A program that slows urgent work this much at half load is loud. */
    double loudCost_ = 0.03;
    /** Part of the workers that loud programs are sent to. */
    double loudPart_ = 0.2;
    /** Sum of costs up to which a loud task may go elsewhere. */
    double quietLimit_ = 0.0;
    /** Quiet tasks keep off the loud workers while a loud one waits. */
    Millis loudWaits_{ 3000 };
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
  /** Placed here, but not in the worker's latest report yet. */
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
  bool MayShare(bool aLoud,
                bool aLoudWorker,
                double aCost,
                const WorkerFacts& aWorker,
                Instant aNow) const;
  std::uint64_t NextRandom();

  Rules rules_;
  const UsageEstimate& usage_;
  const InterferenceModel& interference_;
  InterferenceModel::Program victim_;
  std::uint64_t random_;
  /** When a loud task last found no room among the loud workers. */
  std::optional<Instant> loudRefusedAt_;
  /** The largest urgent task seen. */
  Resources urgentSize_;
  std::unordered_map<std::string, std::vector<Pending>> pending_;
};

}
