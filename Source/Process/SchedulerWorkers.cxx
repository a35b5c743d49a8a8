#include "Process/SchedulerWorkers.h"

#include <algorithm>

namespace cactusrail {

namespace {

constexpr Millis kInitialBackoff{ 250 };
constexpr std::uint32_t kMaxBackoffDoublings = 4;

}

bool
WorkerView::IsUsable(const WorkTimings& aTimings, Instant aNow) const
{
  return report_.has_value() && failures_ == 0 &&
         aNow < reportArrivedAt_ + aTimings.workerTimeout_;
}

Resources
WorkerView::Capacity() const
{
  Resources capacity = row_.capacity_;
  if (report_.has_value()) {
    const Resources& stated = report_->capacity_;
    capacity.milliCpus_ = std::min(capacity.milliCpus_, stated.milliCpus_);
    capacity.memoryMb_ = std::min(capacity.memoryMb_, stated.memoryMb_);
    capacity.accelerators_ =
      std::min(capacity.accelerators_, stated.accelerators_);
  }
  return capacity;
}

std::uint64_t
WorkerView::Incarnation() const
{
  return report_.has_value() ? report_->incarnation_ : row_.incarnation_;
}

std::optional<TaskGrant>
WorkerView::Grant(const WorkTimings& aTimings, Instant aLimit) const
{
  if (!report_.has_value()) {
    return std::nullopt;
  }
  const Instant end = std::min(reportArrivedAt_ + aTimings.taskLease_, aLimit);
  const Micros length = end - reportArrivedAt_;
  if (length <= Micros(0)) {
    return std::nullopt;
  }
  return TaskGrant{ report_->clock_ + length.count(), end + aTimings.margin_ };
}

void
WorkerView::CallFailed(Instant aNow)
{
  const std::uint32_t doublings = std::min(failures_, kMaxBackoffDoublings);
  nextCallAt_ = aNow + kInitialBackoff * (1U << doublings);
  ++failures_;
  call_ = 0;
}

void
WorkerView::ReportArrived(const WorkerReport& aReport, Instant aNow)
{
  report_ = aReport;
  reportArrivedAt_ = aNow;
  failures_ = 0;
  call_ = 0;
  nextCallAt_ = aNow;
}

const ReportedTask*
WorkerView::FindRunning(const TaskRef& aTask) const
{
  if (!report_.has_value()) {
    return nullptr;
  }
  const auto& running = report_->running_;
  const auto found = std::find_if(
    running.begin(), running.end(), [&aTask](const ReportedTask& aOther) {
      return aOther.task_ == aTask;
    });
  return found == running.end() ? nullptr : &*found;
}

const EndedTask*
WorkerView::FindEnded(const TaskRef& aTask) const
{
  if (!report_.has_value()) {
    return nullptr;
  }
  const auto& ended = report_->ended_;
  const auto found =
    std::find_if(ended.begin(), ended.end(), [&aTask](const EndedTask& aOther) {
      return aOther.task_ == aTask;
    });
  return found == ended.end() ? nullptr : &*found;
}

}
