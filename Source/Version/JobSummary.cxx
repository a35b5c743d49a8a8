#include "Version/JobSummary.h"

#include "Version/JobLedger.h"

namespace cactusrail {

JobSummary
Summarize(const JobRow& aJob, bool aOver)
{
  JobSummary summary;
  summary.id_ = aJob.spec_.id_;
  summary.tenant_ = aJob.spec_.tenant_;
  const bool finished = aOver && aJob.wanted_ != Wanted::Stopped &&
                        aJob.wanted_ != Wanted::Cancelled;
  summary.wanted_ = finished ? "finished" : WantedText(aJob.wanted_);
  summary.over_ = aOver;
  summary.tasks_ = aJob.spec_.tasks_;
  summary.completed_ = aJob.completed_;
  summary.failed_ = aJob.failed_;
  summary.ended_ = aJob.ended_;
  summary.waiting_ = aJob.spec_.tasks_ - aJob.firstUnplacedTask_;
  for (const TaskRecord& task : aJob.open_) {
    summary.held_ += task.state_ == TaskState::Held ? 1 : 0;
    summary.waiting_ += task.state_ == TaskState::Pending ? 1 : 0;
    summary.parked_ += task.state_ == TaskState::Parked ? 1 : 0;
  }
  return summary;
}

}
