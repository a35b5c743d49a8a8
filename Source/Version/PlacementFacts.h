#pragma once

#include "Process/Instant.h"
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

/** A worker that might take it. */
struct WorkerFacts
{
  std::string workerId_;
  std::string dataCentre_;
  std::string rack_;
  Resources capacity_;
  /** What the table's record counts as taken, known or in doubt. */
  Resources reserved_;
  /** The programs of the tasks that are counted there, one entry a task. */
  std::vector<std::string> programs_;
  /** How many of them are urgent. */
  std::uint32_t urgentTasks_ = 0;
  /** Part of the slots of the runner there that were busy, as last reported. */
  double urgentLoad_ = 0;
  /** Latest reported use; late by reportAge. */
  Resources used_;
  Instant reportedAt_;
  /** Takes nothing new: drained, suspected of failing everything, silent. */
  bool setAside_ = false;
};

/** A task that a worker says it runs. */
struct TaskUsage
{
  std::string taskId_;
  std::string program_;
  Resources declared_;
};

/** What a worker reports of all its tasks; states the sum of their use. */
struct WorkerUsage
{
  std::string workerId_;
  Resources used_;
  std::vector<TaskUsage> tasks_;
};

/**
 * Chooses the worker for a task, or none. Pure; never chooses a worker that is
 * set aside or where the declared size does not fit beside what is reserved.
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

/** The first worker where it fits; the baseline. */
class FirstFitPlacement
{
public:
  std::optional<std::size_t> Choose(const TaskFacts& aTask,
                                    std::span<const WorkerFacts> aWorkers,
                                    Instant aNow);
};

}
