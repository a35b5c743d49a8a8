#pragma once

#include "Process/Instant.h"
#include "Version/JobDescription.h"
#include "Version/JobProgress.h"
#include "Version/TaskKey.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cactusrail {

/** What the scheduler knows of one run of a task. */
enum class RunPhase : std::uint8_t
{
  /** Its order is on the way; it may run already. */
  Ordered,
  Running,
  /** It has been told to stop; its room is taken until its end is listed. */
  Stopping,
};

/** One run of a task, on one worker. */
struct TaskRun
{
  std::uint32_t run_ = 0;
  std::string node_;
  RunPhase phase_ = RunPhase::Ordered;
  /** The orders on that worker's link that carried its start. */
  std::uint64_t orderSequence_ = 0;
  Instant startedAt_;
  /** Work done when it was first reported, 0 to 100. */
  std::uint32_t firstPercent_ = 0;
  std::uint32_t percent_ = 0;
  /** When percent_ last rose. */
  Instant progressAt_;
  Instant firstReportAt_;
  bool reported_ = false;
  std::uint32_t pace_ = 100;
  /** It worked at a lower pace at some time, which says nothing of its worker.
   */
  bool everPaced_ = false;
  /** Its job found no good place; it works on at a low pace at least. */
  bool starving_ = false;
  /** Since when it has worked at a low pace. */
  std::optional<Instant> slowSince_;
  /** As reported: tail latency in ms, or thousandths of a core in use. */
  std::uint32_t measure_ = 0;
};

/** A task and its runs. */
struct FleetTask
{
  bool done_ = false;
  /** Runs that ended as failed; each is counted once. */
  std::vector<std::uint32_t> failedRuns_;
  /** Where the next run resumes; empty for the start. */
  std::string checkpoint_;
  /** One, or several where copies are allowed. */
  std::vector<TaskRun> runs_;
  /** Highest run number given out or seen. */
  std::uint32_t lastRun_ = 0;
  /** Workers that failed it or stalled; others are tried first. */
  std::vector<std::string> avoid_;
  /** Times it was moved away from a worker that was slow or stood still. */
  std::uint32_t moves_ = 0;
  /** Failures of a long-running task. */
  std::uint32_t quickFailures_ = 0;
  Instant notBefore_;
  /** When its last run ended or was given up; none if it had none, as far as
   * this leader knows. */
  std::optional<Instant> endedAt_;
  /** The worker that keeps room for its next run; empty for none. */
  std::string keptOn_;
  /** The log says no sooner what it waits for. */
  Instant nextWaitNote_;

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
  /** What its tasks took so far, for those that ended well. */
  double micros_ = 0;
  std::size_t timed_ = 0;
  /** All steps before it are done. */
  bool open_ = false;
  Instant openedAt_;

  bool AllDone() const { return done_ == tasks_.size(); }
};

/** One run through all steps of a job. */
struct FleetOccurrence
{
  std::vector<FleetStep> steps_;
  std::size_t stepsDone_ = 0;
};

/**
 * One job as the scheduler sees it: its tasks, which may start, what became of
 * them. Knows nothing of workers. Owned by FleetScheduler. Pure.
 *
 * A job goes from open to exactly one final state: completed when all tasks of
 * all occurrences ended well, failed when one task used up its attempts,
 * cancelled when its caller said so.
 */
class FleetJob
{
public:
  FleetJob(JobDescription aSpec, std::uint32_t aFirstRun);

  /** Takes up what a scheduler before this one stored. */
  void Restore(const JobProgress& aProgress, Instant aNow);

  /** Begins the occurrences that are due by the wall clock. */
  void BeginDue(std::int64_t aWallMs, Instant aNow);
  /** How many have begun. */
  std::uint32_t Begun() const { return nextOccurrence_; }
  /** When the next one is due, in ms since 1970; none if all have begun. */
  std::optional<std::int64_t> NextDue() const;

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

  /** The number of the next run of a task; rises over all schedulers. */
  std::uint32_t NextRun(FleetTask& aTask) const;

  /** A run ended well; true if the task was not done before. */
  bool OnDone(FleetStep& aStep, FleetTask& aTask, Instant aNow);
  /** A run failed; true if it was not counted before. */
  static bool OnFailed(FleetTask& aTask, std::uint32_t aRun);

  /** All tasks of all occurrences ended well. */
  bool AllDone() const;
  /** Forgets occurrences that are done, first ones first. */
  void ForgetDone();

  void Finish(JobState aState, std::int64_t aWallMs);
  JobState State() const { return state_; }
  bool IsOver() const { return IsFinal(state_); }
  std::int64_t EndedAtMs() const { return endedAtMs_; }

  /** None of its tasks has a run. */
  bool Idle() const;

  /** Some task was started once. */
  bool EverStarted() const { return everStarted_; }
  void SetStarted() { everStarted_ = true; }

  const JobDescription& Spec() const { return spec_; }

  /** What must be stored. */
  JobProgress Progress() const;

  /** Frees what a final job needs no more. */
  void Shrink();

private:
  void Begin(std::uint32_t aOccurrence, Instant aNow);
  void OpenSteps(FleetOccurrence& aOccurrence, Instant aNow);
  void OnStepDone(std::uint32_t aOccurrence, Instant aNow);
  std::uint32_t OccurrenceCount() const;
  void RestoreStep(const StepNote& aNote, Instant aNow);
  static void NoteStep(const FleetStep& aStep, JobProgress& aProgress);

  JobDescription spec_;
  std::uint32_t firstRun_;
  JobState state_ = JobState::Pending;
  std::int64_t endedAtMs_ = 0;
  bool everStarted_ = false;
  /** All occurrences before this one are done and forgotten. */
  std::uint32_t occurrencesDone_ = 0;
  std::uint32_t nextOccurrence_ = 0;
  std::map<std::uint32_t, FleetOccurrence> occurrences_;
};

}
