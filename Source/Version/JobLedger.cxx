#include "Version/JobLedger.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

/** Number of failures after which a task is not retried. */
constexpr std::uint32_t kMaxFailures = 3;

}

Verdict
EndVerdict(TaskEnd aEnd, bool aSeenRunning)
{
  switch (aEnd) {
    case TaskEnd::NeverStarted:
      return Verdict::DidNotRun;
    case TaskEnd::Lost:
      return aSeenRunning ? Verdict::Ran : Verdict::MayHaveRun;
    default:
      return Verdict::Ran;
  }
}

std::string_view
TaskEndText(TaskEnd aEnd)
{
  switch (aEnd) {
    case TaskEnd::Completed:
      return "completed";
    case TaskEnd::Failed:
      return "failed";
    case TaskEnd::Stopped:
      return "stopped";
    case TaskEnd::Lost:
      return "lost";
    default:
      return "never started";
  }
}

std::string_view
WantedText(Wanted aWanted)
{
  switch (aWanted) {
    case Wanted::Run:
      return "running";
    case Wanted::Paused:
      return "paused";
    case Wanted::Drained:
      return "drained";
    case Wanted::Stopped:
      return "stopped";
    default:
      return "cancelled";
  }
}

JobLedger::JobLedger(JobRow aRow)
  : row_(std::move(aRow))
{
}

TaskRecord*
JobLedger::FindOpen(std::uint32_t aIndex)
{
  const auto found = std::find_if(
    row_.open_.begin(), row_.open_.end(), [aIndex](const TaskRecord& aTask) {
      return aTask.index_ == aIndex;
    });
  return found == row_.open_.end() ? nullptr : &*found;
}

const TaskRecord*
JobLedger::Find(std::uint32_t aIndex) const
{
  return const_cast<JobLedger*>(this)->FindOpen(aIndex);
}

std::optional<PendingTask>
JobLedger::NextPending() const
{
  if (row_.wanted_ != Wanted::Run) {
    return std::nullopt;
  }
  for (const TaskRecord& task : row_.open_) {
    if (task.state_ == TaskState::Pending) {
      return PendingTask{
        task.index_, task.epoch_, task.checkpoint_, task.verdict_
      };
    }
  }
  if (row_.firstUnplacedTask_ < row_.spec_.tasks_) {
    return PendingTask{ row_.firstUnplacedTask_, 1, {}, Verdict::DidNotRun };
  }
  return std::nullopt;
}

void
JobLedger::Hold(std::uint32_t aIndex, const std::string& aCell)
{
  if (aIndex == row_.firstUnplacedTask_) {
    ++row_.firstUnplacedTask_;
    TaskRecord task;
    task.index_ = aIndex;
    row_.open_.push_back(task);
  }
  TaskRecord* task = FindOpen(aIndex);
  task->state_ = TaskState::Held;
  task->cell_ = aCell;
}

void
JobLedger::Close(std::uint32_t aIndex)
{
  std::erase_if(row_.open_, [aIndex](const TaskRecord& aTask) {
    return aTask.index_ == aIndex;
  });
}

bool
JobLedger::IsFinal() const
{
  return row_.wanted_ == Wanted::Stopped || row_.wanted_ == Wanted::Cancelled;
}

bool
JobLedger::IsRestartable(TaskEnd aEnd, const std::string& aCheckpoint) const
{
  // A payout batch whose worker was lost may have paid after its last
  // checkpoint; starting it again would pay twice. Only a checkpoint that was
  // taken by the stop itself covers all of the work done.
  return row_.spec_.idempotent_ || aEnd == TaskEnd::NeverStarted ||
         (aEnd == TaskEnd::Stopped && !aCheckpoint.empty());
}

bool
JobLedger::End(std::uint32_t aIndex,
               std::uint64_t aEpoch,
               TaskEnd aEnd,
               Verdict aVerdict,
               const std::string& aCheckpoint)
{
  TaskRecord* task = FindOpen(aIndex);
  // A worker that was frozen past its lease can report an end after its task
  // was started elsewhere. The epoch has risen since, so the late report is
  // ignored.
  if (task == nullptr || task->state_ != TaskState::Held ||
      task->epoch_ != aEpoch) {
    return false;
  }
  if (aEnd == TaskEnd::Completed) {
    ++row_.completed_;
    Close(aIndex);
    return true;
  }
  if (aEnd == TaskEnd::Failed) {
    ++task->failures_;
    if (!row_.spec_.idempotent_ || task->failures_ >= kMaxFailures) {
      ++row_.failed_;
      Close(aIndex);
      return true;
    }
  }
  // A task that never started stays in the row so that explain can still
  // report it; all closed tasks ran.
  if (IsFinal() && aEnd == TaskEnd::Stopped) {
    ++row_.ended_;
    Close(aIndex);
    return true;
  }
  task->state_ =
    IsRestartable(aEnd, aCheckpoint) ? TaskState::Pending : TaskState::Parked;
  task->verdict_ = CombineVerdicts(task->verdict_, aVerdict);
  task->cell_.clear();
  ++task->epoch_;
  if (!aCheckpoint.empty()) {
    task->checkpoint_ = aCheckpoint;
  }
  return true;
}

void
JobLedger::Unpark()
{
  for (TaskRecord& task : row_.open_) {
    if (task.state_ == TaskState::Parked) {
      task.state_ = TaskState::Pending;
    }
  }
}

bool
JobLedger::IsOver() const
{
  if (IsFinal()) {
    return std::none_of(
      row_.open_.begin(), row_.open_.end(), [](const TaskRecord& aTask) {
        return aTask.state_ == TaskState::Held;
      });
  }
  return row_.firstUnplacedTask_ == row_.spec_.tasks_ && row_.open_.empty();
}

}
