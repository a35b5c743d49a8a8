#pragma once

#include "Version/WorkRows.h"
#include "Version/WorkerMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace cactusrail {

/** How a start of a task ended, as recorded by the cell's owner. */
enum class TaskEnd : std::uint8_t
{
  Completed,
  Failed,
  /** Stopped by command; the checkpoint, if any, covers all of its work. */
  Stopped,
  /** Ended, with unknown progress. */
  Lost,
  /** Proven never to have started. */
  NeverStarted,
};

/** Returns the text for transcripts and explain. */
std::string_view
TaskEndText(TaskEnd aEnd);

/** Returns the verdict that follows from the end of a start; aSeenRunning is
 * true if the worker has reported the start as running. */
Verdict
EndVerdict(TaskEnd aEnd, bool aSeenRunning);

std::string_view
WantedText(Wanted aWanted);

/** The next task to place. */
struct PendingTask
{
  std::uint32_t index_ = 0;
  std::uint64_t epoch_ = 1;
  std::string checkpoint_;
  Verdict verdict_ = Verdict::DidNotRun;
};

/**
 * State transitions of a job's row. Performs no I/O; the caller writes the row
 * on condition that its revision is unchanged. This class enforces promise 3:
 * a task is Pending, Held by one cell, or Parked, and every end of a start
 * raises its epoch.
 */
class JobLedger
{
public:
  explicit JobLedger(JobRow aRow);

  const JobRow& Row() const { return row_; }

  /** Returns the next task to place; none if the job must start no task. */
  std::optional<PendingTask> NextPending() const;

  /** Assigns the task to the cell. */
  void Hold(std::uint32_t aIndex, const std::string& aCell);

  /** Records the end of the start with this epoch. Returns false and changes
   * nothing if that start is not the one that is held. */
  bool End(std::uint32_t aIndex,
           std::uint64_t aEpoch,
           TaskEnd aEnd,
           Verdict aVerdict,
           const std::string& aCheckpoint);

  /** Makes parked tasks pending again, on an operator's request. */
  void Unpark();

  void SetWanted(Wanted aWanted) { row_.wanted_ = aWanted; }

  /** Whether no task is running or will be started, so that the row can move
   * to "done/". */
  bool IsOver() const;

  const TaskRecord* Find(std::uint32_t aIndex) const;

private:
  TaskRecord* FindOpen(std::uint32_t aIndex);
  void Close(std::uint32_t aIndex);
  bool IsRestartable(TaskEnd aEnd, const std::string& aCheckpoint) const;
  bool IsFinal() const;

  JobRow row_;
};

}
