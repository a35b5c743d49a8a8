#pragma once

#include "Request/Routing.h"
#include "Version/PlacementFacts.h"
#include "Version/Reaction.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cactusrail::measure {

/** Usage of one task over the last second. */
struct TaskReport
{
  std::string taskId_;
  std::string program_;
  Resources declared_;
  Resources used_;
};

/** A worker's report, made each second and delivered with a delay. */
struct WorkerReport
{
  std::size_t worker_ = 0;
  Instant measuredAt_;
  /** Mean service time of requests on a slot, in microseconds. */
  double latencyMicros_ = 0;
  double samples_ = 0;
  double load_ = 0;
  std::vector<TaskReport> tasks_;
};

/** Reason for which a task left its worker. */
enum class TaskEnd : std::uint8_t
{
  Finished,
  Failed,
  Stopped,
};

/** Interface of a scheduling policy; the world calls it in time order. */
class Policy
{
public:
  virtual ~Policy() = default;

  virtual std::optional<std::size_t> Route(
    std::size_t aEntry,
    std::span<const Router::Runner> aExcluded,
    Instant aNow) = 0;
  virtual void OnSent(std::size_t, std::size_t, Instant) {}
  virtual void OnAnswer(std::size_t, std::size_t, Micros, Instant) {}
  virtual void OnRefused(std::size_t, std::size_t, Instant) {}
  virtual void OnHeartbeat(std::size_t aEntry,
                           std::size_t aRunner,
                           const RunnerReport& aReport,
                           Instant aNow) = 0;
  virtual void OnHeartbeatTimeout(std::size_t aEntry, std::size_t aRunner) = 0;
  /**
   * Handles the arrival of a request at the entry; adds to the retry budget.
   */
  virtual void OnRequest(std::size_t, Instant) {}
  virtual bool MayRetry(std::size_t, Instant) { return true; }

  virtual std::optional<std::size_t> Place(
    const TaskFacts& aTask,
    std::span<const WorkerFacts> aWorkers,
    Instant aNow) = 0;
  virtual void OnReport(const WorkerReport&, Instant) {}
  virtual void OnTaskEnd(std::size_t, const TaskFacts&, TaskEnd, Instant) {}
  /** Returns whether the program's tasks are parked because they can't run. */
  virtual bool IsParked(const std::string&) { return false; }
  virtual std::vector<ReactionStep> React(
    std::span<const WorkerPressure> aWorkers,
    Instant aNow) = 0;
  virtual std::vector<ReactionStep> FreeCapacity(
    const Resources& aSize,
    std::span<const WorkerPressure> aWorkers,
    Instant aNow) = 0;
};

}
