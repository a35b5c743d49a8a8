#pragma once

#include "Version/Instant.h"
#include "Version/WorkRecords.h"

#include <concepts>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cactusrail {

/** A task that waits to be placed. */
struct TaskFacts
{
  std::string taskId_;
  std::string tenant_;
  std::string program_;
  WorkKind kind_ = WorkKind::Batch;
  Resources declared_;
};

/** A worker that is considered for a task. */
struct WorkerFacts
{
  std::string workerId_;
  std::string dataCentre_;
  std::string rack_;
  Resources capacity_;
  /** Resources allocated in the table's record, including those of tasks with
   * unknown outcome. */
  Resources reserved_;
  /** Programs of the tasks allocated there, one element per task. */
  std::vector<std::string> programs_;
  /** Number of urgent tasks among them. */
  std::uint32_t urgentTasks_ = 0;
  /** Share of the runner's slots that were busy in the latest report. */
  double urgentLoad_ = 0;
  /** Latest reported usage, as of reportedAt_. */
  Resources used_;
  Instant reportedAt_;
  /** Cordoned, receives no new tasks: drained, suspected of failing all tasks,
   * or unresponsive. */
  bool cordoned_ = false;
};

/** A task that a worker reports as running. */
struct TaskUsage
{
  std::string taskId_;
  std::string program_;
  Resources declared_;
};

/** Report of a worker about all its tasks, with the sum of their usage. */
struct WorkerUsage
{
  std::string workerId_;
  Resources used_;
  std::vector<TaskUsage> tasks_;
};

/**
 * Chooses the worker for a task, or none. Never chooses a cordoned worker or
 * one where the declared size does not fit next to the reserved resources. Does
 * no I/O and reads no clock.
 */
template<typename Policy>
concept PlacementPolicy = requires(Policy& aPolicy,
                                   const TaskFacts& aTask,
                                   std::span<const WorkerFacts> aWorkers,
                                   Instant aNow)
{
  {
    aPolicy.Choose(aTask, aWorkers, aNow)
    } -> std::same_as<std::optional<std::size_t>>;
};

/** Baseline policy: chooses the first worker where the task fits. */
class FirstFitPlacement
{
public:
  std::optional<std::size_t> Choose(const TaskFacts& aTask,
                                    std::span<const WorkerFacts> aWorkers,
                                    Instant aNow);
};

}
