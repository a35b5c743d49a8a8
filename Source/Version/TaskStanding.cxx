#include "Version/TaskStanding.h"

#include "Version/JobLedger.h"

#include <charconv>

namespace cactusrail {

namespace {

std::string
OpenTaskDetail(const TaskRecord& aTask, bool aOver)
{
  const std::string epoch = "epoch " + std::to_string(aTask.epoch_);
  switch (aTask.state_) {
    case TaskState::Held:
      return epoch + ", held by cell " + aTask.cell_;
    case TaskState::Parked:
      return "its last run was interrupted and it is not idempotent; an "
             "operator must resume the job to start it again";
    default:
      return aOver ? "it was not started again" : epoch + ", waits for room";
  }
}

}

std::optional<TaskName>
ParseTaskName(const std::string& aText)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string::npos) {
    return std::nullopt;
  }
  TaskName name;
  name.jobId_ = aText.substr(0, dot);
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + dot + 1, end, name.index_);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  return whole ? std::optional(name) : std::nullopt;
}

std::optional<RequestStep>
StandingOf(const JobRow& aJob, bool aOver, std::uint32_t aIndex)
{
  if (aIndex >= aJob.spec_.tasks_) {
    return std::nullopt;
  }
  const JobLedger job(aJob);
  const TaskRecord* task = job.Find(aIndex);
  RequestStep step;
  step.requestId_ = TaskId(aJob.spec_.id_, aIndex);
  step.step_ = "recorded";
  step.conclusive_ = true;
  const std::string state = (aOver ? "the job is over: " : "the job is ") +
                            std::string(aOver && aJob.wanted_ == Wanted::Run
                                          ? "finished"
                                          : WantedText(aJob.wanted_)) +
                            "; ";
  if (task != nullptr) {
    const bool held = task->state_ == TaskState::Held;
    step.verdict_ = held ? Verdict::MayHaveRun : task->verdict_;
    step.conclusive_ = !held;
    step.detail_ = state + OpenTaskDetail(*task, aOver);
  } else if (aIndex >= aJob.firstUnplacedTask_) {
    step.verdict_ = Verdict::DidNotRun;
    step.detail_ = state + "the task was never placed";
  } else {
    step.verdict_ = Verdict::Ran;
    step.detail_ = state + "the task has ended";
  }
  return step;
}

}
