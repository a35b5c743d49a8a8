#pragma once

#include "Load/InTimeSelection.h"
#include "Version/Instant.h"
#include "Version/JobDescription.h"
#include "Version/JobProgress.h"
#include "Version/TaskKey.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cactusrail {

/** State of one run of a task, as known to the scheduler. */
enum class RunPhase : std::uint8_t
{
  /** The start order is in flight; the run may have started already. */
  Ordered,
  Running,
  /** The stop order was sent; the resources stay in use until the worker
   * reports the end. */
  Stopping,
};

/** One run of a task, on one worker. */
struct TaskRun
{
  std::uint32_t run_ = 0;
  std::string node_;
  RunPhase phase_ = RunPhase::Ordered;
  /** Sequence number, on the worker's link, of the orders that carried the
   * start. */
  std::uint64_t orderSequence_ = 0;
  /** Side's clock, in microseconds, by which the worker must have answered the
   * start; none before the side has reported the start on the current link. */
  std::optional<std::uint64_t> answerDueMicros_;
  Instant startedAt_;
  /** Progress in the first report, in percent. */
  std::uint32_t firstPercent_ = 0;
  std::uint32_t percent_ = 0;
  /** Time at which percent_ last rose. */
  Instant progressAt_;
  Instant firstReportAt_;
  bool reported_ = false;
  /** Pace that this leader ordered, or took over from the side. */
  std::uint32_t pace_ = 100;
  /** Pace in force in the last report; none if the side does not know it, or if
   * reported paces are not used. */
  std::optional<std::uint32_t> reportedPace_;
  /** Sequence number, on the worker's link, of the orders that carried the last
   * pace. */
  std::uint64_t paceSequence_ = 0;
  /** The side may not have the pace of this leader: the next decision is
   * ordered even if it is equal to pace_. */
  bool paceOrderDue_ = false;
  /** The run was throttled at some time, so its duration is no measure of the
   * worker's speed. */
  bool everThrottled_ = false;
  /** The job found no suitable worker for a long time; the run keeps at least a
   * low pace. */
  bool starving_ = false;
  /** Start of the current period at a low pace. */
  std::optional<Instant> slowSince_;
  /** As reported: tail latency in ms, or CPU use in thousandths of a core. */
  std::uint32_t measure_ = 0;

  /** Pace at which the run works: its side may have lowered the ordered one. */
  std::uint32_t PaceInForce() const
  {
    return std::min(pace_, reportedPace_.value_or(pace_));
  }
};

/** A task and its runs. */
struct FleetTask
{
  bool done_ = false;
  /** Numbers of the failed runs; each run is counted once. */
  std::vector<std::uint32_t> failedRuns_;
  /** Checkpoint from which the next run resumes; empty to start from the
   * beginning. */
  std::string checkpoint_;
  /** Current runs; more than one only where duplicate runs are allowed. */
  std::vector<TaskRun> runs_;
  /** Highest run number assigned or reported. */
  std::uint32_t lastRun_ = 0;
  /** Workers on which the task failed or stalled; other workers are
   * preferred. */
  std::vector<std::string> avoid_;
  /** Number of times the task was moved off a slow or stalled worker. */
  std::uint32_t moves_ = 0;
  /** Number of failures of a long-running task, from which the restart backoff
   * follows. */
  std::uint32_t longRunningFailures_ = 0;
  Instant notBefore_;
  /** Time at which the last run ended or was abandoned; none if this leader has
   * seen no run of the task. */
  std::optional<Instant> endedAt_;
  /** Worker with a reservation for the next run; empty for none. */
  std::string reservedOn_;
  /** Earliest time at which the log reports again why the task waits. */
  Instant nextWaitLogAt_;

  bool Waits() const { return !done_ && runs_.empty(); }
};

/** One step of one occurrence. */
struct FleetStep
{
  const StepSpec* spec_ = nullptr;
  std::uint32_t occurrence_ = 0;
  std::uint32_t index_ = 0;
  std::vector<FleetTask> tasks_;
  std::size_t done_ = 0;
  /** Total duration of the tasks that succeeded, in microseconds. */
  double micros_ = 0;
  std::size_t timed_ = 0;
  /** All preceding steps are done. */
  bool open_ = false;
  Instant openedAt_;

  bool AllDone() const { return done_ == tasks_.size(); }
};

/** One execution of all steps of a job. */
struct FleetOccurrence
{
  std::vector<FleetStep> steps_;
  std::size_t stepsDone_ = 0;
  /** Decision of the last selection; Selected without a shortage. */
  InTimeVerdict inTime_ = InTimeVerdict::Selected;
  /** Group in CallerShares; none before the first selection. */
  std::optional<std::size_t> callerGroup_;
  /** Position of the group by its work, the least first. */
  std::uint32_t groupRank_ = 0;
};

/**
 * Scheduling state of one job: its tasks, the steps that are ready to start,
 * and the results. Independent of workers. Owned by FleetScheduler. Pure.
 *
 * A job goes from open to exactly one final state: completed when all tasks of
 * all occurrences succeeded, failed when one task used up its attempts,
 * cancelled at the caller's request.
 */
class FleetJob
{
public:
  FleetJob(JobDescription aSpec, std::uint32_t aFirstRun);

  /** Restores the progress that a previous scheduler stored. */
  void Restore(const JobProgress& aProgress, Instant aNow);

  /** Begins the occurrences that are due by the wall clock, in ms since
   * 1970. */
  void BeginDue(std::int64_t aWallMs, Instant aNow);
  /** Begins all occurrences up to aOccurrence, whether they are due or not. */
  void BeginThrough(std::uint32_t aOccurrence, Instant aNow);
  /** Number of occurrences that have begun. */
  std::uint32_t Begun() const { return nextOccurrence_; }
  /** Time at which the next occurrence is due, in ms since 1970; none if all
   * have begun. */
  std::optional<std::int64_t> NextDue() const;

  /** Time at which an occurrence is due, in ms since 1970; 0 if the job is not
   * timed. */
  std::int64_t DueMs(std::uint32_t aOccurrence) const;

  FleetStep* FindStep(std::uint32_t aOccurrence, std::uint32_t aStep);
  FleetTask* FindTask(const TaskKey& aName);
  std::map<std::uint32_t, FleetOccurrence>& Occurrences()
  {
    return occurrences_;
  }
  const std::map<std::uint32_t, FleetOccurrence>& Occurrences() const
  {
    return occurrences_;
  }

  /** Returns the number of the next run of a task. Numbers increase across all
   * schedulers. */
  std::uint32_t NextRun(FleetTask& aTask) const;

  /** Handles the success of a run; returns true if the task was not done
   * before. */
  bool OnDone(FleetStep& aStep, FleetTask& aTask, Instant aNow);
  /** Handles the failure of a run; returns true if the failure was not counted
   * before. */
  static bool OnFailed(FleetTask& aTask, std::uint32_t aRun);

  /** Whether all tasks of all occurrences succeeded. */
  bool AllDone() const;
  /** Removes completed occurrences, up to the first one that is not done. */
  void RemoveDone();

  void Finish(JobState aState, std::int64_t aWallMs);
  JobState State() const { return state_; }
  bool IsOver() const { return IsFinal(state_); }
  std::int64_t EndedAtMs() const { return endedAtMs_; }

  /** Whether no task has a run. */
  bool Idle() const;

  /** Whether any task was ever started. */
  bool EverStarted() const { return everStarted_; }
  void SetStarted() { everStarted_ = true; }

  const JobDescription& Spec() const { return spec_; }

  /** Returns the progress to be stored. */
  JobProgress Progress() const;

  /** Frees the payload, which a job in a final state no longer needs. */
  void FreePayload();

private:
  void Begin(std::uint32_t aOccurrence, Instant aNow);
  void OpenSteps(FleetOccurrence& aOccurrence, Instant aNow);
  void OnStepDone(std::uint32_t aOccurrence, Instant aNow);
  std::uint32_t OccurrenceCount() const;
  void RestoreStep(const StepProgress& aNote, Instant aNow);
  static void AddStepProgress(const FleetStep& aStep, JobProgress& aProgress);

  JobDescription spec_;
  std::uint32_t firstRun_;
  JobState state_ = JobState::Pending;
  std::int64_t endedAtMs_ = 0;
  bool everStarted_ = false;
  /** All occurrences before this number are done and removed. */
  std::uint32_t occurrencesDone_ = 0;
  std::uint32_t nextOccurrence_ = 0;
  std::map<std::uint32_t, FleetOccurrence> occurrences_;
};

}
