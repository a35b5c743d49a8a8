// FleetScheduler: processes the reports of sides and applies them to runs.

#include "Process/FleetScheduler.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

/**
 * Time for which a worker gets no new tasks after it refused a start for lack
 * of capacity, or for no specific reason, although free capacity was accounted
 * for it. Such a worker runs something of which the scheduler has no record.
 */
constexpr Millis kNoCapacityPause{ 300 };

/**
 * Restart backoff of a long-running task, which grows by this amount with each
 * failure. Users accept a downtime of six seconds.
 */
constexpr Millis kRestartBackoff{ 100 };
constexpr Millis kMaxRestartBackoff{ 1000 };
/** Maximum number of workers that a long-running task avoids after failures. */
constexpr std::size_t kMaxAvoidedWorkers = 4;

/** Returns the reason for the log why an ordered run did not start. */
std::string_view
TextOf(StartRejection aWhy)
{
  switch (aWhy) {
    case StartRejection::Old:
      return "refused: this run or a later one has already ended there";
    case StartRejection::NoRoom:
      return "refused: its worker has no room";
    case StartRejection::Ticket:
      return "refused: its ticket is not valid on that worker";
    case StartRejection::Other:
      return "refused by its worker";
    case StartRejection::Expired:
      return "returned: its worker did not accept it in time";
  }
  return "refused";
}

TaskRun*
FindRun(FleetTask& aTask, const std::string& aNode, std::uint32_t aRun)
{
  for (TaskRun& run : aTask.runs_) {
    if (run.run_ == aRun && run.node_ == aNode) {
      return &run;
    }
  }
  return nullptr;
}

}

void
FleetScheduler::OnLinkUp(const std::string& aNode, Instant aNow)
{
  (void)aNow;
  const auto found = workers_.find(aNode);
  if (found == workers_.end()) {
    return;
  }
  FleetWorker& worker = found->second;
  worker.linked_ = true;
  worker.synced_ = false;
  worker.waitingReports_.clear();
  worker.ordersSent_ = 0;
  worker.ordersSeen_ = 0;
  worker.profilesSent_ = false;
  orders_.erase(aNode);
  // Orders may be lost with the last link. The first report lists the starts
  // that arrived, and stops are ordered again.
  for (const auto& [key, room] : worker.held_) {
    const auto name = TaskKey::Parse(key.first);
    const auto place = name.has_value() ? Find(*name) : std::nullopt;
    TaskRun* run =
      place.has_value() ? FindRun(*place->task_, aNode, key.second) : nullptr;
    if (run != nullptr) {
      run->orderSequence_ = 0;
      run->paceSequence_ = 0;
      // A restarted side may have a different clock.
      run->answerDueMicros_.reset();
    }
  }
  worker.unknownRuns_.clear();
}

void
FleetScheduler::OnLinkLost(const std::string& aNode, Instant aNow)
{
  const auto found = workers_.find(aNode);
  if (found == workers_.end()) {
    return;
  }
  FleetWorker& worker = found->second;
  if (worker.linked_) {
    worker.lostAt_ = aNow;
  }
  worker.linked_ = false;
  worker.synced_ = false;
  worker.waitingReports_.clear();
  worker.highFrequency_ = false;
  orders_.erase(aNode);
  if (!worker.registered_ && worker.held_.empty()) {
    workers_.erase(found);
  }
}

void
FleetScheduler::OnReport(const std::string& aNode,
                         const FleetReport& aReport,
                         Instant aNow)
{
  const auto found = workers_.find(aNode);
  if (found == workers_.end() || !found->second.linked_) {
    return;
  }
  FleetWorker& worker = found->second;
  worker.firstReportAt_ = worker.firstReportAt_.value_or(aNow);
  if (WaitsForTable(worker, aReport)) {
    worker.waitingReports_.push_back(aReport);
    return;
  }
  ApplyReport(worker, aReport, aNow);
}

bool
FleetScheduler::WaitsForTable(const FleetWorker& aWorker,
                              const FleetReport& aReport) const
{
  if (!aWorker.waitingReports_.empty()) {
    return true;
  }
  if (formerLeaseEnd_ == Instant() || tableAsOf_ >= *aWorker.firstReportAt_) {
    return false;
  }
  const auto isUnknown = [this](const auto& aItem) {
    const auto name = TaskKey::Parse(aItem.task_);
    return name.has_value() && !jobs_.contains(name->job_);
  };
  return std::any_of(aReport.runs_.begin(), aReport.runs_.end(), isUnknown) ||
         std::any_of(aReport.ends_.begin(), aReport.ends_.end(), isUnknown);
}

void
FleetScheduler::ApplyWaitingReports(Instant aNow)
{
  for (auto& [node, worker] : workers_) {
    if (worker.waitingReports_.empty() || tableAsOf_ < *worker.firstReportAt_) {
      continue;
    }
    LogEvent("reports-waited",
             {},
             node,
             std::to_string(worker.waitingReports_.size()) +
               " reports with runs of jobs that had not been read");
    for (const FleetReport& report :
         std::exchange(worker.waitingReports_, {})) {
      ApplyReport(worker, report, aNow);
    }
  }
}

void
FleetScheduler::ApplyReport(FleetWorker& aWorker,
                            const FleetReport& aReport,
                            Instant aNow)
{
  FleetWorker& worker = aWorker;
  const std::string& aNode = worker.node_;
  const bool first = !worker.synced_;
  const std::size_t startsInFlight = first ? StartsInFlight(worker) : 0;
  worker.echoMicros_ = aReport.clockMicros_;
  worker.reportedAt_ = aNow;
  worker.ordersSeen_ = aReport.ordersSeen_;
  if (aReport.worker_.Incarnation() != worker.facts_.Incarnation()) {
    OnNewIncarnation(worker, aReport, aNow);
  }
  const bool protocolMayChange =
    first || aReport.worker_.id_ != worker.facts_.id_ ||
    aReport.worker_.startedAtMs_ != worker.facts_.startedAtMs_;
  if (aReport.worker_.draining_ && !worker.facts_.draining_) {
    worker.drainingSince_ = aNow;
    LogEvent("worker-draining", {}, aNode, aReport.worker_.id_);
  }
  worker.facts_ = aReport.worker_;
  worker.measuredAt_ =
    aNow - Micros(static_cast<std::int64_t>(aReport.measuredMicrosAgo_));
  worker.synced_ = true;
  if (protocolMayChange) {
    UpdateLocalPacing();
  }
  if (worker.mayRunOldWork_ && takeover_.has_value()) {
    takeover_->Add(aReport.ends_);
  }
  worker.mayRunOldWork_ = false;
  worker.left_ = aReport.worker_.id_.empty() && aReport.runs_.empty();
  for (const RunEndReport& end : aReport.ends_) {
    HandleEnd(worker, end, aNow);
  }
  for (const RejectedRun& refused : aReport.refused_) {
    HandleRefusal(worker, refused, aNow);
  }
  Reconcile(worker, aReport, aNow);
  AddAllProfiles(worker);
  MaintainRuns(worker, aNow);
  if (first) {
    const auto unlinkedTime =
      std::chrono::duration_cast<Millis>(aNow - worker.lostAt_);
    LogEvent("side-synced",
             {},
             aNode,
             aReport.worker_.id_ + ", " + std::to_string(worker.held_.size()) +
               " runs, no orders for " + std::to_string(unlinkedTime.count()) +
               " ms, " + std::to_string(startsInFlight) + " starts in flight");
  }
}

/**
 * Number of starts that were ordered on the last link but not reported on it.
 */
std::size_t
FleetScheduler::StartsInFlight(const FleetWorker& aWorker)
{
  return static_cast<std::size_t>(std::count_if(
    aWorker.held_.begin(), aWorker.held_.end(), [&](const auto& aEntry) {
      const auto name = TaskKey::Parse(aEntry.first.first);
      const auto place = name.has_value() ? Find(*name) : std::nullopt;
      const TaskRun* run =
        place.has_value()
          ? FindRun(*place->task_, aWorker.node_, aEntry.first.second)
          : nullptr;
      return run != nullptr && run->phase_ == RunPhase::Ordered;
    }));
}

void
FleetScheduler::OnNewIncarnation(FleetWorker& aWorker,
                                 const FleetReport& aReport,
                                 Instant aNow)
{
  // A worker that crashed has no runs in its new incarnation, and numbers its
  // ends from one again.
  if (!aWorker.facts_.id_.empty()) {
    LogEvent("worker-new-life",
             {},
             aWorker.node_,
             aWorker.facts_.Incarnation().Text() + " was replaced by " +
               aReport.worker_.Incarnation().Text());
    DropAllRuns(aWorker, "its worker crashed", aNow);
  }
  aWorker.DropReservations();
  aWorker.endsSeen_ = 0;
  aWorker.endsStored_ = 0;
  aWorker.acknowledgementDue_ = false;
  aWorker.unstored_.clear();
  aWorker.cordonedUntil_ = Instant();
  aWorker.refusalBackoffUntil_ = Instant();
  aWorker.slowness_ = 1;
  aWorker.pressure_ = 0;
  aWorker.backfillShare_ = 1;
  aWorker.overObjectiveSince_.clear();
  aWorker.backfillPaused_ = false;
}

void
FleetScheduler::HandleEnd(FleetWorker& aWorker,
                          const RunEndReport& aEnd,
                          Instant aNow)
{
  if (aEnd.number_ <= aWorker.endsSeen_) {
    return;
  }
  aWorker.endsSeen_ = aEnd.number_;
  aWorker.Release(aEnd.task_, aEnd.run_);
  aWorker.unknownRuns_.erase({ aEnd.task_, aEnd.run_ });
  const auto name = TaskKey::Parse(aEnd.task_);
  std::optional<TaskLocation> place =
    name.has_value() ? FindOrBegin(*name, aNow) : std::nullopt;
  const bool changesJob =
    place.has_value() && ApplyEnd(aWorker, aEnd, *name, *place, aNow);
  if (changesJob) {
    MarkChanged(*place->entry_);
  }
  // An end that changes nothing is irrelevant because of earlier changes of its
  // job. Until these are stored, the next leader would start the task again.
  const std::uint64_t batch = name.has_value() ? UnstoredBatch(name->job_) : 0;
  const bool waitsForJob =
    batch != 0 && !changesJob && aEnd.kind_ == EndKind::Done;
  if (waitsForJob) {
    LogEvent("end-waits",
             aEnd.task_,
             aWorker.node_,
             "run " + std::to_string(aEnd.run_) + ": acknowledged once batch " +
               std::to_string(batch) + " is stored");
  }
  aWorker.unstored_.push_back({ aEnd.number_, batch, waitsForJob });
  while (!aWorker.unstored_.empty() && aWorker.unstored_.front().batch_ == 0) {
    aWorker.endsStored_ = aWorker.unstored_.front().number_;
    aWorker.acknowledgementDue_ = true;
    aWorker.unstored_.pop_front();
  }
}

bool
FleetScheduler::ApplyEnd(FleetWorker& aWorker,
                         const RunEndReport& aEnd,
                         const TaskKey& aName,
                         TaskLocation& aPlace,
                         Instant aNow)
{
  FleetTask& task = *aPlace.task_;
  const StepSpec& spec = *aPlace.step_->spec_;
  task.lastRun_ = std::max(task.lastRun_, aEnd.run_);
  if (aPlace.entry_->job_->IsOver() || task.done_) {
    RemoveRun(aPlace, aWorker.node_, aEnd.run_, aNow);
    return false;
  }
  if (aEnd.kind_ == EndKind::Done && !spec.longRunning_) {
    OnRunDone(aWorker, aEnd, aPlace, aName, aNow);
    return true;
  }
  if (aEnd.kind_ == EndKind::Failed) {
    OnRunFailed(aWorker, aEnd, aPlace, aName, aNow);
    return true;
  }
  LogEvent("run-ended",
           aEnd.task_,
           aWorker.node_,
           "run " + std::to_string(aEnd.run_) + " ended with kind " +
             std::to_string(static_cast<int>(aEnd.kind_)));
  const bool newCheckpoint = spec.checkpoints_ && !aEnd.checkpoint_.empty();
  if (newCheckpoint) {
    task.checkpoint_ = aEnd.checkpoint_;
  }
  RemoveRun(aPlace, aWorker.node_, aEnd.run_, aNow);
  BreakGang(aPlace, aName);
  return newCheckpoint;
}

void
FleetScheduler::OnRunDone(FleetWorker& aWorker,
                          const RunEndReport& aEnd,
                          TaskLocation& aPlace,
                          const TaskKey& aName,
                          Instant aNow)
{
  FleetTask& task = *aPlace.task_;
  FleetJob& job = *aPlace.entry_->job_;
  health_.OnSuccess(aWorker.node_, aName.job_);
  if (const TaskRun* run = FindRun(task, aWorker.node_, aEnd.run_)) {
    LearnCompletion(job, *aPlace.step_, *run, aNow);
    LearnDuration(aWorker, job, *aPlace.step_, *run, aNow);
  }
  RemoveRun(aPlace, aWorker.node_, aEnd.run_, aNow);
  job.OnDone(*aPlace.step_, task, aNow);
  for (TaskRun& copy : task.runs_) {
    OrderStop(copy.node_, aName.Text(), copy, "another copy completed first");
  }
  if (aPlace.step_->spec_->gang_) {
    OnGangDone(aPlace, aName, aEnd.run_, aNow);
  }
  ResolveJob(*aPlace.entry_);
}

void
FleetScheduler::OnGangDone(TaskLocation& aPlace,
                           const TaskKey& aName,
                           std::uint32_t aRun,
                           Instant aNow)
{
  // All members of a gang complete together, so the completion of one member
  // implies the others. This leader may not have seen their runs: they may have
  // ended under an earlier leader or been lost with their workers.
  FleetStep& step = *aPlace.step_;
  for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
    FleetTask& member = step.tasks_[i];
    aPlace.entry_->job_->OnDone(step, member, aNow);
    const TaskKey name{ aName.job_, aName.occurrence_, aName.step_, i };
    for (TaskRun& run : member.runs_) {
      if (run.run_ != aRun) {
        OrderStop(
          run.node_, name.Text(), run, "its gang completed in another run");
      }
    }
  }
}

void
FleetScheduler::OnRunFailed(FleetWorker& aWorker,
                            const RunEndReport& aEnd,
                            TaskLocation& aPlace,
                            const TaskKey& aName,
                            Instant aNow)
{
  FleetTask& task = *aPlace.task_;
  JobEntry& entry = *aPlace.entry_;
  const StepSpec& spec = *aPlace.step_->spec_;
  health_.OnFailure(aWorker.node_, aName.job_, aNow);
  RemoveRun(aPlace, aWorker.node_, aEnd.run_, aNow);
  task.avoid_.push_back(aWorker.node_);
  LogEvent("run-failed",
           aEnd.task_,
           aWorker.node_,
           "run " + std::to_string(aEnd.run_));
  if (spec.longRunning_) {
    // Failures of long-running tasks are not limited, so they do not count as
    // attempts. The backoff prevents a continuous loop of starts and failures.
    ++task.longRunningFailures_;
    task.notBefore_ =
      aNow +
      std::min(kMaxRestartBackoff, kRestartBackoff * task.longRunningFailures_);
    if (task.avoid_.size() > kMaxAvoidedWorkers) {
      task.avoid_.erase(task.avoid_.begin());
    }
    if (task.Waits()) {
      ReserveForRestart(aWorker, aName, aPlace, aNow);
    }
    return;
  }
  const bool counted = FleetJob::OnFailed(task, aEnd.run_);
  BreakGang(aPlace, aName);
  if (!counted) {
    return;
  }
  std::set<std::uint32_t> failed(task.failedRuns_.begin(),
                                 task.failedRuns_.end());
  if (spec.gang_) {
    for (const FleetTask& member : aPlace.step_->tasks_) {
      failed.insert(member.failedRuns_.begin(), member.failedRuns_.end());
    }
  }
  if (static_cast<std::int64_t>(failed.size()) >=
      entry.job_->Spec().maxAttempts_) {
    FinishJob(entry, JobState::Failed);
  }
}

void
FleetScheduler::BreakGang(TaskLocation& aPlace, const TaskKey& aName)
{
  if (!aPlace.step_->spec_->gang_) {
    return;
  }
  for (std::uint32_t i = 0; i < aPlace.step_->tasks_.size(); ++i) {
    const TaskKey member{ aName.job_, aName.occurrence_, aName.step_, i };
    for (TaskRun& run : aPlace.step_->tasks_[i].runs_) {
      OrderStop(run.node_,
                member.Text(),
                run,
                "another member of its gang is not running");
    }
  }
}

void
FleetScheduler::RemoveRun(TaskLocation& aPlace,
                          const std::string& aNode,
                          std::uint32_t aRun,
                          Instant aNow)
{
  std::vector<TaskRun>& runs = aPlace.task_->runs_;
  std::erase_if(runs, [&](const TaskRun& aTaskRun) {
    return aTaskRun.run_ == aRun && aTaskRun.node_ == aNode;
  });
  aPlace.task_->endedAt_ = aNow;
  if (aPlace.task_->Waits()) {
    MarkReady(*aPlace.entry_->job_, *aPlace.step_);
  }
}

void
FleetScheduler::HandleRefusal(FleetWorker& aWorker,
                              const RejectedRun& aRefused,
                              Instant aNow)
{
  if (aRefused.why_ == StartRejection::NoRoom ||
      aRefused.why_ == StartRejection::Other) {
    aWorker.refusalBackoffUntil_ = aNow + kNoCapacityPause;
  }
  DropRun(aWorker, aRefused.task_, aRefused.run_, TextOf(aRefused.why_), aNow);
}

void
FleetScheduler::DropRun(FleetWorker& aWorker,
                        const std::string& aTask,
                        std::uint32_t aRun,
                        std::string_view aWhy,
                        Instant aNow)
{
  aWorker.Release(aTask, aRun);
  const auto name = TaskKey::Parse(aTask);
  std::optional<TaskLocation> place =
    name.has_value() ? Find(*name) : std::nullopt;
  if (!place.has_value()) {
    return;
  }
  LogEvent("run-dropped",
           aTask,
           aWorker.node_,
           "run " + std::to_string(aRun) + ": " + std::string(aWhy));
  RemoveRun(*place, aWorker.node_, aRun, aNow);
  if (!place->entry_->job_->IsOver()) {
    BreakGang(*place, *name);
  }
}

void
FleetScheduler::DropAllRuns(FleetWorker& aWorker,
                            std::string_view aWhy,
                            Instant aNow)
{
  std::vector<std::pair<std::string, std::uint32_t>> keys;
  for (const auto& [key, room] : aWorker.held_) {
    keys.push_back(key);
  }
  for (const auto& [task, run] : keys) {
    DropRun(aWorker, task, run, aWhy, aNow);
  }
  aWorker.unknownRuns_.clear();
}

void
FleetScheduler::Reconcile(FleetWorker& aWorker,
                          const FleetReport& aReport,
                          Instant aNow)
{
  std::set<std::pair<std::string, std::uint32_t>> reported;
  for (const RunStatus& fact : aReport.runs_) {
    reported.emplace(fact.task_, fact.run_);
    HandleRun(aWorker, fact, aNow);
  }
  std::erase_if(aWorker.unknownRuns_, [&reported](const auto& aKey) {
    return !reported.contains(aKey);
  });
  std::vector<std::pair<std::string, std::uint32_t>> gone;
  for (const auto& [key, room] : aWorker.held_) {
    if (reported.contains(key)) {
      continue;
    }
    const auto name = TaskKey::Parse(key.first);
    const auto place = name.has_value() ? Find(*name) : std::nullopt;
    const TaskRun* run = place.has_value()
                           ? FindRun(*place->task_, aWorker.node_, key.second)
                           : nullptr;
    // A start that the side had not received when it reported is in flight.
    if (run != nullptr && run->orderSequence_ > aReport.ordersSeen_) {
      continue;
    }
    gone.push_back(key);
  }
  for (const auto& [task, run] : gone) {
    DropRun(aWorker, task, run, "its worker does not report it", aNow);
  }
}

void
FleetScheduler::HandleRun(FleetWorker& aWorker,
                          const RunStatus& aFact,
                          Instant aNow)
{
  const auto name = TaskKey::Parse(aFact.task_);
  std::optional<TaskLocation> place =
    name.has_value() ? FindOrBegin(*name, aNow) : std::nullopt;
  if (!place.has_value()) {
    if (aWorker.unknownRuns_.emplace(aFact.task_, aFact.run_).second) {
      LogEvent("stranger-stopped", aFact.task_, aWorker.node_);
      OrdersFor(aWorker).stops_.push_back({ aFact.task_, aFact.run_ });
    }
    return;
  }
  FleetTask& task = *place->task_;
  TaskRun* run = FindRun(task, aWorker.node_, aFact.run_);
  const bool adopted = run == nullptr;
  if (adopted) {
    const bool elsewhere = !task.runs_.empty();
    task.runs_.push_back({});
    run = &task.runs_.back();
    run->run_ = aFact.run_;
    run->node_ = aWorker.node_;
    run->startedAt_ = aNow;
    run->progressAt_ = aNow;
    task.lastRun_ = std::max(task.lastRun_, aFact.run_);
    aWorker.Hold(
      aFact.task_,
      aFact.run_,
      TaskResourcesOf(*place->step_->spec_, place->entry_->job_->Spec()));
    place->entry_->job_->SetStarted();
    LogEvent("run-adopted",
             aFact.task_,
             aWorker.node_,
             "run " + std::to_string(aFact.run_));
    if (aWorker.profilesSent_) {
      AddProfile(aWorker, aFact.task_, aFact.run_, *place->step_->spec_);
    }
    const bool allowed = !elsewhere || place->step_->spec_->allowsCopies_;
    if (place->entry_->job_->IsOver() || task.done_ || !allowed) {
      OrderStop(aWorker.node_,
                aFact.task_,
                *run,
                "it must not run here: its job or task has ended, or it runs "
                "elsewhere");
    }
  }
  if (run->phase_ == RunPhase::Stopping && run->orderSequence_ == 0) {
    OrdersFor(aWorker).stops_.push_back({ aFact.task_, aFact.run_ });
    run->orderSequence_ = aWorker.ordersSent_ + 1;
  }
  if (aFact.starting_) {
    ExpectAnswer(aWorker, *run);
    return;
  }
  if (run->phase_ == RunPhase::Ordered) {
    run->phase_ = RunPhase::Running;
  }
  if (!run->reported_) {
    run->reported_ = true;
    run->firstPercent_ = aFact.percent_;
    run->firstReportAt_ = aNow;
    run->progressAt_ = aNow;
  }
  if (aFact.percent_ > run->percent_) {
    run->percent_ = aFact.percent_;
    run->progressAt_ = aNow;
  } else if (aFact.percent_ < run->percent_) {
    run->percent_ = aFact.percent_;
  }
  run->measure_ = aFact.measure_;
  if (localPacing_ && place->step_->spec_->backfill_) {
    ApplyReportedPace(aWorker, *run, aFact, adopted, aNow);
  }
  if (place->step_->spec_->checkpoints_ && !aFact.checkpoint_.empty()) {
    task.checkpoint_ = aFact.checkpoint_;
  }
}

}
