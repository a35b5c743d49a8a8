// FleetScheduler: preempts runs of a lower priority for work of a higher one.

#include "Process/FleetScheduler.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

FleetResources
Sum(const FleetResources& aLeft, const FleetResources& aRight)
{
  return { aLeft.cpuMilli_ + aRight.cpuMilli_,
           aLeft.memoryMb_ + aRight.memoryMb_,
           aLeft.accelerators_ + aRight.accelerators_ };
}

}

std::vector<FleetScheduler::PreemptibleRun>
FleetScheduler::Preemptible(FleetWorker& aWorker, std::int64_t aPriority)
{
  std::vector<PreemptibleRun> runs;
  for (const auto& [key, room] : aWorker.held_) {
    const auto name = TaskKey::Parse(key.first);
    const auto place = name.has_value() ? Find(*name) : std::nullopt;
    if (!place.has_value() ||
        place->entry_->job_->Spec().priority_ <= aPriority ||
        place->step_->spec_->longRunning_ || place->step_->spec_->gang_) {
      continue;
    }
    for (TaskRun& run : place->task_->runs_) {
      if (run.run_ == key.second && run.node_ == aWorker.node_) {
        runs.push_back({ key.first, &run });
      }
    }
  }
  // The run with the shortest runtime loses the least work.
  std::sort(
    runs.begin(), runs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.run_->startedAt_ > aRight.run_->startedAt_;
    });
  return runs;
}

FleetScheduler::PreemptionPlan
FleetScheduler::PlanPreemption(FleetWorker& aWorker,
                               const FleetResources& aWanted,
                               std::int64_t aPriority)
{
  PreemptionPlan plan;
  FleetResources room = aWorker.Free();
  const auto runs = Preemptible(aWorker, aPriority);
  const auto roomOf = [&aWorker](const PreemptibleRun& aRun) {
    return aWorker.held_.at({ aRun.task_, aRun.run_->run_ }).room_;
  };
  for (const PreemptibleRun& run : runs) {
    if (run.run_->phase_ == RunPhase::Stopping) {
      room = Sum(room, roomOf(run));
    }
  }
  plan.inFlight_ = Covers(room, aWanted);
  for (const PreemptibleRun& run : runs) {
    if (Covers(room, aWanted)) {
      break;
    }
    if (run.run_->phase_ != RunPhase::Stopping) {
      room = Sum(room, roomOf(run));
      plan.stops_.push_back(run);
    }
  }
  plan.sufficient_ = Covers(room, aWanted);
  return plan;
}

bool
FleetScheduler::GangFits(const FleetStep& aStep,
                         std::span<const std::size_t> aTargets,
                         std::int64_t aPriority) const
{
  const FleetResources wanted = FixedResourcesOf(*aStep.spec_);
  const std::uint32_t limit = aStep.spec_->maxPerWorker_;
  std::size_t members = 0;
  for (const std::size_t target : aTargets) {
    FleetResources room =
      options_[target].worker_->FreeAfterPreemption(aPriority);
    std::uint32_t here = 0;
    while (members < aStep.tasks_.size() && (limit == 0 || here < limit) &&
           Covers(room, wanted)) {
      room = { room.cpuMilli_ - wanted.cpuMilli_,
               room.memoryMb_ - wanted.memoryMb_,
               room.accelerators_ - wanted.accelerators_ };
      ++here;
      ++members;
    }
  }
  return members == aStep.tasks_.size();
}

void
FleetScheduler::PreemptFor(const FleetJob& aJob,
                           const FleetStep& aStep,
                           const FleetTask& aTask,
                           Instant aNow)
{
  if (aStep.spec_->backfill_) {
    return;
  }
  const FleetResources wanted = FixedResourcesOf(*aStep.spec_);
  const std::string rack = RackInUse(aStep);
  const ChoiceFacts facts = FactsFor(aJob, aStep, aTask, rack, aNow);
  FillOptions(aJob, aStep, aNow);
  const std::int64_t priority = aJob.Spec().priority_;
  const std::vector<std::size_t> targets =
    PreemptionTargets(options_, facts, priority);
  if (aStep.spec_->gang_ && !GangFits(aStep, targets, priority)) {
    return;
  }
  for (const std::size_t target : targets) {
    FleetWorker& worker = workers_.at(options_[target].worker_->node_);
    worker.withheldFor_ = worker.withheldFor_.value_or(priority);
  }
  const FleetWorker* best = nullptr;
  PreemptionPlan bestPreemption;
  for (const std::size_t target : targets) {
    FleetWorker& worker = workers_.at(options_[target].worker_->node_);
    PreemptionPlan plan = PlanPreemption(worker, wanted, priority);
    if (plan.inFlight_) {
      return;
    }
    if (plan.sufficient_ &&
        (best == nullptr ||
         plan.stops_.size() < bestPreemption.stops_.size())) {
      best = &worker;
      bestPreemption = std::move(plan);
    }
  }
  if (best == nullptr) {
    return;
  }
  for (const PreemptibleRun& stop : bestPreemption.stops_) {
    OrderStop(best->node_, stop.task_, *stop.run_, "preempted");
  }
}

}
