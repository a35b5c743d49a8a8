#pragma once

#include "Version/WorkRows.h"
#include "Version/WorkerMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace cactusrail {

/** How a start of a task came to its end, as its cell's owner knows it. */
enum class TaskEnd : std::uint8_t
{
  Completed,
  Failed,
  /** Stopped as told; its checkpoint, if it has one, is its last word. */
  Stopped,
  /** It is over for certain, but how far it came is not known. */
  Lost,
  /** Known never to have begun. */
  NeverStarted,
};

/** Word for transcripts and explain. */
std::string_view
TaskEndText(TaskEnd aEnd);

/** What the end of a start says of the task; aSeenRunning if its worker once
 * said that it ran. */
Verdict
EndVerdict(TaskEnd aEnd, bool aSeenRunning);

std::string_view
WantedText(Wanted aWanted);

/** The task to be placed next. */
struct PendingTask
{
  std::uint32_t index_ = 0;
  std::uint64_t epoch_ = 1;
  std::string checkpoint_;
  Verdict verdict_ = Verdict::DidNotRun;
};

/**
 * The changes that a job's row goes through. Pure; the caller writes the row
 * under the condition that it was not changed meanwhile. Promise 3 rests here:
 * a task is Pending, Held by one cell, or Parked, and every end of a start
 * raises its epoch.
 */
class JobLedger
{
public:
  explicit JobLedger(JobRow aRow);

  const JobRow& Row() const { return row_; }

  /** The next task to place; none if the job does not want any started. */
  std::optional<PendingTask> NextPending() const;

  /** The cell holds the task from now on. */
  void Hold(std::uint32_t aIndex, const std::string& aCell);

  /** The start with this epoch has ended; false if it is not the held one. */
  bool End(std::uint32_t aIndex,
           std::uint64_t aEpoch,
           TaskEnd aEnd,
           Verdict aVerdict,
           const std::string& aCheckpoint);

  /** Lets parked tasks start again, as an operator decided. */
  void Unpark();

  void SetWanted(Wanted aWanted) { row_.wanted_ = aWanted; }

  /** Whether no task is open or will be; the row can move to "done/". */
  bool IsOver() const;

  const TaskRecord* Find(std::uint32_t aIndex) const;

private:
  TaskRecord* FindOpen(std::uint32_t aIndex);
  void Close(std::uint32_t aIndex);
  bool MayRunAgain(TaskEnd aEnd, const std::string& aCheckpoint) const;
  bool IsFinal() const;

  JobRow row_;
};

}
