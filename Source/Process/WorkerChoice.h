#pragma once

#include "Process/FleetWorker.h"
#include "Version/JobDescription.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cactusrail {

/** Input to the choice of a worker for one task. */
struct ChoiceFacts
{
  const StepSpec* step_ = nullptr;
  std::string_view service_;
  /** Workers on which the task failed or stalled. */
  std::span<const std::string> avoid_;
  /** Factor by which a task takes longer away from its data or its rack. */
  double farFactor_ = 1;
  /** Rack that tasks of the step use already, for steps that want a single
   * rack. */
  std::string_view rackInUse_;
  Instant now_;
  /** One more failure of the task fails its job. */
  bool lastAttempt_ = false;
  /** The job has found no suitable worker for a long time: any worker is
   * accepted for backfill, and one that is not trusted for a last attempt. */
  bool starving_ = false;
};

/** Candidate worker for a task, with the number of tasks of the same step that
 * run on it. */
struct WorkerOption
{
  const FleetWorker* worker_ = nullptr;
  std::uint32_t sameStep_ = 0;
  /** The worker is cordoned because the tasks that it starts fail. */
  bool cordoned_ = false;
  /** The last task that ended on the worker failed. */
  bool suspect_ = false;
  /** The operator has evacuated the worker's data centre. */
  bool evacuated_ = false;
  /** The worker is reserved for another job; see WorkerReservations. */
  bool reserved_ = false;
  /** The worker is withheld from the step; see FleetWorker::withheldFor_. */
  bool withheld_ = false;
  /** For a backfill task: its fit beside the serving tasks on the worker. */
  BackfillFit fit_;
};

/** Returns the resources that a task of the step reserves on its worker;
 * backfill reserves no processors. */
FleetResources
FixedResourcesOf(const StepSpec& aStep);

/** Returns the same resources, with the properties of the task that matter to
 * other tasks on the worker. */
TaskResources
TaskResourcesOf(const StepSpec& aStep, const JobDescription& aJob);

/** Whether the worker is eligible to run the task, regardless of free capacity,
 * cordons and the backoff after a refusal. */
bool
MayRunOn(const WorkerOption& aOption, const ChoiceFacts& aFacts);

/** Whether all resources in aRoom suffice for aWanted. */
bool
Covers(const FleetResources& aRoom, const FleetResources& aWanted);

/** Whether the free capacity of the worker is sufficient. */
bool
HasCapacityFor(const FleetWorker& aWorker, const FleetResources& aRoom);

/**
 * Returns the indexes of the workers on which a task fits once all work that
 * its priority may preempt has ended. Pure.
 */
std::vector<std::size_t>
PreemptionTargets(std::span<const WorkerOption> aOptions,
                  const ChoiceFacts& aFacts,
                  std::int64_t aPriority);

/**
 * Returns the index of the best worker for a task; none if the task should
 * wait. Pure.
 *
 * - Tasks with an objective for their own users are packed onto few workers,
 *   which leaves workers where backfill disturbs no task.
 * - Backfill goes where it gets its processors in full. Beside serving tasks it
 *   starts only where it is known not to disturb them, or one task at a time to
 *   measure whether it does.
 * - All other tasks are spread by free capacity.
 * - The last attempt of a task waits for a worker on which it has not failed
 *   and that is no suspect, until its job is starving.
 */
std::optional<std::size_t>
ChooseWorker(std::span<const WorkerOption> aOptions, const ChoiceFacts& aFacts);

}
