// FleetScheduler: admission of long-running jobs, and restarts of their tasks.

#include "Process/FleetScheduler.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace cactusrail {

namespace {

/**
 * Time that a long-running task waits for free capacity before a worker is
 * reserved for it. Short work ends on that worker within about two seconds;
 * users accept a downtime of six seconds.
 */
constexpr Millis kReservationDelay{ 2000 };

/**
 * Validity of the reservation for a failed run; the restart backoff of its task
 * is shorter. After that time ReserveWorkerFor() reserves a worker for the
 * task.
 */
constexpr Millis kRestartReservation = kReservationDelay;

/**
 * Interval between log events on the wait of one task, and the maximum number
 * of such events per interval.
 */
constexpr Millis kWaitLogPeriod{ 1000 };
constexpr std::size_t kMaxLoggedWaits = 8;

/**
 * At most one of this many workers is reserved at a time, so that short work
 * continues elsewhere.
 */
constexpr std::size_t kWorkersPerReservation = 16;

/**
 * A worker is reserved for a task only if the long-running tasks on the worker
 * leave at least this multiple of the resources of the task, so that short work
 * keeps at least as much there.
 */
constexpr std::int64_t kMinCapacityFactor = 2;

/**
 * Time that a run occupies its resources in addition to its work: for its
 * order, its start and the report of its end.
 */
constexpr Millis kRunOverhead{ 150 };

bool
LeavesCapacityFor(const FleetWorker& aWorker, const FleetResources& aRoom)
{
  const FleetResources& all = aWorker.facts_.room_;
  const FleetResources& longRunning = aWorker.longRunningUsed_;
  const auto leavesEnough =
    [](std::int64_t aAll, std::int64_t aLongRunning, std::int64_t aWanted) {
      return aAll - aLongRunning >= kMinCapacityFactor * aWanted;
    };
  return leavesEnough(all.cpuMilli_, longRunning.cpuMilli_, aRoom.cpuMilli_) &&
         leavesEnough(all.memoryMb_, longRunning.memoryMb_, aRoom.memoryMb_) &&
         leavesEnough(
           all.accelerators_, longRunning.accelerators_, aRoom.accelerators_);
}

}

void
FleetScheduler::RecordDemand(const FleetJob& aJob, Instant aNow)
{
  const JobDescription& spec = aJob.Spec();
  for (const StepSpec& step : spec.steps_) {
    if (step.longRunning_ || step.backfill_) {
      continue;
    }
    const double millis =
      durations_.ExpectedMillis(spec.queue_, step.estimateMs_) +
      static_cast<double>(kRunOverhead.count());
    longRunningAdmission_.AddDemand(spec.service_,
                                    spec.priority_,
                                    static_cast<double>(step.count_) *
                                      static_cast<double>(step.cpuMilli_) *
                                      millis,
                                    aNow);
  }
}

FleetScheduler::ServiceCapacity
FleetScheduler::CapacityOfService(std::string_view aService) const
{
  ServiceCapacity room;
  for (const auto& [node, worker] : workers_) {
    if (worker.synced_ && !worker.facts_.draining_ && !IsEvacuated(worker) &&
        worker.facts_.service_ == aService) {
      room.cpuMilli_ += worker.facts_.room_.cpuMilli_;
      room.usedCpuMilli_ += worker.used_.cpuMilli_;
    }
  }
  return room;
}

std::int64_t
FleetScheduler::LongRunningCpuMilli(std::string_view aService) const
{
  std::int64_t sum = 0;
  for (const auto& [node, worker] : workers_) {
    if (worker.facts_.service_ == aService && !IsEvacuated(worker)) {
      sum += worker.longRunningUsed_.cpuMilli_;
    }
  }
  for (const ReadyKey& key : ready_) {
    const auto found = jobs_.find(key.job_);
    if (found == jobs_.end() || !found->second.job_->EverStarted() ||
        found->second.job_->Spec().service_ != aService) {
      continue;
    }
    const FleetStep* step =
      found->second.job_->FindStep(key.occurrence_, key.step_);
    if (step == nullptr || !step->spec_->longRunning_) {
      continue;
    }
    const JobEntry& entry = found->second;
    const auto waiting =
      std::count_if(step->tasks_.begin(),
                    step->tasks_.end(),
                    [this, &entry](const FleetTask& aTask) {
                      return aTask.Waits() && !IsNew(entry, aTask);
                    });
    sum += waiting * step->spec_->cpuMilli_;
  }
  return sum;
}

std::size_t
FleetScheduler::AdmissibleNewTasks(JobEntry& aEntry,
                                   const FleetStep& aStep,
                                   Instant aNow)
{
  const StepSpec& step = *aStep.spec_;
  const JobDescription& spec = aEntry.job_->Spec();
  const auto waiting = static_cast<std::size_t>(std::count_if(
    aStep.tasks_.begin(), aStep.tasks_.end(), [&](const FleetTask& aTask) {
      return aTask.Waits() && IsNew(aEntry, aTask);
    }));
  if (!step.longRunning_ || waiting == 0) {
    return waiting;
  }
  const std::int64_t held = LongRunningCpuMilli(spec.service_);
  const ServiceCapacity room = CapacityOfService(spec.service_);
  const double limit = longRunningAdmission_.MaxLongRunningCpuMilli(
    spec.service_, spec.priority_, room.cpuMilli_, aNow);
  // Users count a job as lost if it waits while half of the capacity is free.
  const bool idle = room.usedCpuMilli_ < room.cpuMilli_ / 2;
  std::size_t admissible = waiting;
  if (!idle && step.cpuMilli_ > 0) {
    const double left = std::max(0.0, limit - static_cast<double>(held));
    admissible = std::min(
      waiting,
      static_cast<std::size_t>(left / static_cast<double>(step.cpuMilli_)));
  }
  const bool defer = admissible < waiting;
  if (defer != aEntry.deferred_) {
    aEntry.deferred_ = defer;
    LogEvent(defer ? "standing-held-back" : "standing-admitted",
             spec.id_,
             {},
             std::to_string(admissible) + " of " + std::to_string(waiting) +
               " new tasks may start, which request " +
               std::to_string(step.cpuMilli_) +
               " each; long-running jobs hold " + std::to_string(held) +
               " of " + std::to_string(static_cast<std::int64_t>(limit)) +
               " permitted thousandths of a processor");
  }
  return admissible;
}

bool
FleetScheduler::IsNew(const JobEntry& aEntry, const FleetTask& aTask) const
{
  // An earlier leader may have run the tasks of a job that has started.
  return !aTask.endedAt_.has_value() &&
         !(aEntry.fromEarlierLeader_ && aEntry.job_->EverStarted());
}

std::optional<Instant>
FleetScheduler::DowntimeStart(const JobEntry& aEntry,
                              const FleetTask& aTask) const
{
  if (aTask.endedAt_.has_value()) {
    return aTask.endedAt_;
  }
  // Runs under a previous leader are not recorded; most of these tasks ran.
  return aEntry.fromEarlierLeader_ ? std::optional(loadedAt_) : std::nullopt;
}

bool
FleetScheduler::HasRestarting(const JobEntry& aEntry,
                              const FleetStep& aStep) const
{
  return aStep.spec_->longRunning_ &&
         std::any_of(aStep.tasks_.begin(),
                     aStep.tasks_.end(),
                     [&](const FleetTask& aTask) {
                       return aTask.Waits() && !IsNew(aEntry, aTask);
                     });
}

/**
 * Reserves the resources of a failed run for the next run of its task.
 *
 * The task restarts after a backoff. In a full fleet, short work or a task of
 * the same job that never ran would take the resources in the meantime.
 */
void
FleetScheduler::ReserveForRestart(FleetWorker& aWorker,
                                  const TaskKey& aName,
                                  TaskLocation& aPlace,
                                  Instant aNow)
{
  if (aPlace.step_->spec_->gang_ || IsEvacuated(aWorker)) {
    return;
  }
  ReleaseReservation(aName, *aPlace.task_);
  aPlace.task_->reservedOn_ = aWorker.node_;
  aWorker.Reserve(
    aName.Text(),
    { TaskResourcesOf(*aPlace.step_->spec_, aPlace.entry_->job_->Spec()),
      aNow + kRestartReservation });
}

void
FleetScheduler::ReleaseReservation(const TaskKey& aName, FleetTask& aTask)
{
  const auto keeper = workers_.find(std::exchange(aTask.reservedOn_, {}));
  if (keeper != workers_.end()) {
    keeper->second.TakeReservation(aName.Text());
  }
}

bool
FleetScheduler::MayLogWait(FleetTask& aTask, Instant aNow)
{
  if (aNow >= waitLogPeriodEnd_) {
    waitLogPeriodEnd_ = aNow + kWaitLogPeriod;
    loggedWaits_ = 0;
  }
  if (aNow < aTask.nextWaitLogAt_ || loggedWaits_ >= kMaxLoggedWaits) {
    return false;
  }
  ++loggedWaits_;
  aTask.nextWaitLogAt_ = aNow + kWaitLogPeriod;
  return true;
}

std::string
FleetScheduler::DescribeWait(const JobEntry& aEntry,
                             const FleetStep& aStep,
                             Instant aNow) const
{
  const FleetResources wanted = FixedResourcesOf(*aStep.spec_);
  ChoiceFacts facts;
  facts.step_ = aStep.spec_;
  facts.service_ = aEntry.job_->Spec().service_;
  facts.now_ = aNow;
  std::size_t eligible = 0;
  std::size_t cordoned = 0;
  std::size_t reservable = 0;
  std::int64_t mostFree = 0;
  for (const WorkerOption& option : options_) {
    if (!MayRunOn(option, facts)) {
      continue;
    }
    ++eligible;
    cordoned += option.cordoned_ ? 1 : 0;
    reservable += LeavesCapacityFor(*option.worker_, wanted) ? 1 : 0;
    const FleetResources free = option.worker_->Free();
    if (free.memoryMb_ >= wanted.memoryMb_) {
      mostFree = std::max(mostFree, free.cpuMilli_);
    }
  }
  const ServiceCapacity room = CapacityOfService(facts.service_);
  std::ostringstream text;
  text << "it needs " << wanted.cpuMilli_ << " thousandths of a processor; of "
       << options_.size() << " workers " << eligible << " may run it, "
       << cordoned << " of them cordoned, " << reservable
       << " can be reserved for it; at most " << mostFree
       << " are free on a worker with enough memory, "
       << room.cpuMilli_ - room.usedCpuMilli_
       << " in total; long-running tasks hold or request "
       << LongRunningCpuMilli(facts.service_) << " of " << room.cpuMilli_;
  return text.str();
}

void
FleetScheduler::LogLongRunningWait(const JobEntry& aEntry,
                                   FleetStep& aStep,
                                   std::uint32_t aIndex,
                                   Instant aNow)
{
  FleetTask& task = aStep.tasks_[aIndex];
  const std::optional<Instant> since = DowntimeStart(aEntry, task);
  if (!aStep.spec_->longRunning_ || !since.has_value() ||
      aNow < *since + kWaitLogPeriod || !MayLogWait(task, aNow)) {
    return;
  }
  const std::string& job = aEntry.job_->Spec().id_;
  const TaskKey name{ job, aStep.occurrence_, aStep.index_, aIndex };
  const auto downtime = std::chrono::duration_cast<Millis>(aNow - *since);
  LogEvent("lasting-waits",
           name.Text(),
           std::string(reservations_.NodeOf(job, aNow)),
           "for " + std::to_string(downtime.count()) + " ms, " +
             DescribeWait(aEntry, aStep, aNow));
}

/**
 * Reserves a worker for a long-running task after a long downtime.
 *
 * In a full fleet, short urgent work takes all capacity as soon as it becomes
 * free, and no gap grows to the size of a long-running task. A worker that gets
 * no more short work has enough free capacity within seconds. No worker is
 * reserved where long-running tasks hold nearly all of every worker: after the
 * loss of a host its tasks would otherwise take the capacity that is left for
 * urgent work.
 */
void
FleetScheduler::ReserveWorkerFor(const JobEntry& aEntry,
                                 const FleetStep& aStep,
                                 const FleetTask& aTask,
                                 Instant aNow)
{
  const std::optional<Instant> since = DowntimeStart(aEntry, aTask);
  if (!aStep.spec_->longRunning_ || !since.has_value() ||
      aNow - *since < kReservationDelay) {
    return;
  }
  const std::string& job = aEntry.job_->Spec().id_;
  const std::string_view kept = reservations_.NodeOf(job, aNow);
  const std::size_t limit =
    std::max<std::size_t>(1, workers_.size() / kWorkersPerReservation);
  if (kept.empty() && reservations_.Count(aNow) >= limit) {
    return;
  }
  const FleetResources wanted = FixedResourcesOf(*aStep.spec_);
  ChoiceFacts facts;
  facts.step_ = aStep.spec_;
  facts.service_ = aEntry.job_->Spec().service_;
  facts.now_ = aNow;
  const FleetWorker* best = nullptr;
  for (const WorkerOption& option : options_) {
    const FleetWorker& worker = *option.worker_;
    if (!MayRunOn(option, facts) || option.cordoned_ || option.withheld_ ||
        !LeavesCapacityFor(worker, wanted)) {
      continue;
    }
    if (worker.node_ == kept) {
      best = &worker;
      break;
    }
    if (best == nullptr || worker.Free().cpuMilli_ > best->Free().cpuMilli_) {
      best = &worker;
    }
  }
  if (best == nullptr) {
    return;
  }
  if (best->node_ != kept) {
    LogEvent("worker-kept",
             job,
             best->node_,
             std::to_string(best->Free().cpuMilli_) + " are free, " +
               std::to_string(wanted.cpuMilli_) + " are needed");
  }
  reservations_.Reserve(best->node_, job, aNow);
}

}
