// FleetScheduler: the load of the fleet, for the admission of jobs.

#include "Process/FleetScheduler.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

constexpr Millis kDigestInterval{ 100 };
/** Time for which a task must wait before it counts as a backlog. A task waits
 * for the next pass even in an idle fleet. */
constexpr Millis kBacklogDelay{ 300 };

/** Whether only some workers may run the step, so that its tasks may wait while
 * others are idle. */
bool
IsConstrained(const JobDescription& aJob, const StepSpec& aStep)
{
  return aStep.gang_ || aStep.sameRack_ || aStep.accelerators_ > 0 ||
         aStep.maxPerWorker_ > 0 || !aStep.requiredLabel_.empty() ||
         !aStep.dataRack_.empty() || aJob.needsAdvice_;
}

}

bool
FleetScheduler::MeasuresLoad() const
{
  const WorkerProtocol protocol = Protocol().value_or(WorkerProtocol::IdOnly);
  return IsEnabled(bounds_.features_.admission_, protocol) ||
         IsEnabled(bounds_.features_.overloadOrder_, protocol);
}

double
FleetScheduler::TaskWork(const FleetJob& aJob, const FleetStep& aStep) const
{
  return static_cast<double>(aStep.spec_->cpuMilli_) / 1000 *
         ExpectedMillis(aJob, aStep);
}

void
FleetScheduler::LearnCompletion(const FleetJob& aJob,
                                const FleetStep& aStep,
                                const TaskRun& aRun,
                                Instant aNow)
{
  const JobDescription& spec = aJob.Spec();
  const auto elapsed =
    std::chrono::duration_cast<Millis>(aNow - aRun.startedAt_);
  completions_.OnCompleted(
    spec.service_, spec.priority_, TaskWork(aJob, aStep), elapsed, aNow);
}

bool
FleetScheduler::FitsAnyWorker(std::string_view aService,
                              const StepSpec& aStep) const
{
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& aEntry) {
    const WorkerDescription& worker = aEntry.second.facts_;
    return aEntry.second.synced_ && worker.service_ == aService &&
           worker.room_.cpuMilli_ >= aStep.cpuMilli_ &&
           worker.room_.memoryMb_ >= aStep.memoryMb_ &&
           worker.room_.accelerators_ >= aStep.accelerators_ &&
           (aStep.requiredLabel_.empty() ||
            std::find(worker.labels_.begin(),
                      worker.labels_.end(),
                      aStep.requiredLabel_) != worker.labels_.end());
  });
}

bool
FleetScheduler::WaitsForCapacity(const FleetJob& aJob,
                                 const FleetStep& aStep,
                                 Instant aNow)
{
  if (!aStep.open_ || aNow - aStep.openedAt_ < kBacklogDelay ||
      IsConstrained(aJob.Spec(), *aStep.spec_)) {
    return false;
  }
  return std::any_of(
    aStep.tasks_.begin(), aStep.tasks_.end(), [aNow](const FleetTask& aTask) {
      return aTask.Waits() &&
             aNow - aTask.endedAt_.value_or(Instant()) >= kBacklogDelay;
    });
}

void
FleetScheduler::AddLoad(const JobEntry& aEntry,
                        std::map<LoadKey, OpenLoad>& aLoads,
                        Instant aNow) const
{
  const FleetJob& job = *aEntry.job_;
  const JobDescription& spec = job.Spec();
  for (const auto& [number, occurrence] : job.Occurrences()) {
    std::optional<bool> useful;
    for (const FleetStep& step : occurrence.steps_) {
      if (step.AllDone() || step.spec_->longRunning_) {
        continue;
      }
      if (!useful.has_value()) {
        useful = job.DueMs(number) <= wallMs_ &&
                 RankNow(job, step).outlook_ != JobOutlook::Overdue;
      }
      if (!*useful || !FitsAnyWorker(spec.service_, *step.spec_)) {
        continue;
      }
      OpenLoad& load = aLoads[{ spec.service_, spec.priority_ }];
      load.work_ += static_cast<double>(step.tasks_.size() - step.done_) *
                    TaskWork(job, step);
      load.waiting_ = load.waiting_ || WaitsForCapacity(job, step, aNow);
    }
  }
}

void
FleetScheduler::UpdateLoad(Instant aNow)
{
  if (!loaded_ || aNow < nextDigestAt_ || !MeasuresLoad()) {
    return;
  }
  nextDigestAt_ = aNow + kDigestInterval;
  std::map<LoadKey, OpenLoad> loads;
  for (const auto& [id, entry] : jobs_) {
    if (!entry.job_->IsOver()) {
      AddLoad(entry, loads, aNow);
    }
  }
  // Tasks that wait for other reasons than capacity show no rate.
  const bool startsFreely = !startsWithheld_ && !AnyMayRunOldWork();
  std::set<LoadKey> backlogs;
  for (const auto& [key, load] : loads) {
    if (load.waiting_ && startsFreely) {
      backlogs.insert(key);
      completions_.SetBacklog(key.first, key.second, true, aNow);
    }
  }
  for (const LoadKey& key : backlogs_) {
    if (!backlogs.contains(key)) {
      completions_.SetBacklog(key.first, key.second, false, aNow);
    }
  }
  backlogs_ = std::move(backlogs);
  LoadDigest digest;
  digest.entries_ = entryCount_;
  for (const auto& [key, load] : loads) {
    const WorkRate rate =
      completions_.Rate(key.first, key.second, aNow).value_or(WorkRate());
    digest.loads_.push_back(
      { key.first, key.second, load.work_, rate.own_, rate.withMoreUrgent_ });
  }
  for (DurationModel::Relation& relation : durations_.Relations()) {
    digest.queues_.push_back(
      { std::move(relation.queue_), relation.intercept_, relation.slope_ });
  }
  LimitSize(digest);
  if (digest_.version_ != 0 && !DiffersNoticeably(digest_, digest)) {
    return;
  }
  // Versions of successive leaders differ.
  constexpr std::uint64_t kVersionsPerEpoch = 1ULL << 32U;
  digest.version_ = std::max(digest_.version_, epoch_ * kVersionsPerEpoch) + 1;
  digest_ = std::move(digest);
}

}
