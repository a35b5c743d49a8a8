#include "Process/FleetScheduler.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

/** Number of runs that one leader can give to one task; see NextRun(). */
constexpr std::uint32_t kRunsPerEpoch = 100000;

/**
 * Cordons a worker after failures of two different jobs in a row, because
 * single tasks also fail on healthy workers.
 */
WorkerHealth::Rules
HealthRules()
{
  WorkerHealth::Rules rules;
  rules.jobsToCordon_ = 2;
  return rules;
}

/**
 * Delay before the row of an unreachable side is removed; no leader has to wait
 * for the side by then.
 */
constexpr Millis kUnreachableSideRetention{ 20000 };
/**
 * Time within which all reachable sides have reported to a new leader. A
 * restarted side first waits about a second for the stops of its previous
 * incarnation.
 */
constexpr Millis kUsualSyncTime{ 2000 };
/**
 * Maximum number of names in the log event on sides that have not reported to a
 * new leader within kUsualSyncTime.
 */
constexpr std::size_t kMaxLoggedSides = 8;
/**
 * Delay before the row of an unreachable side is removed whose last report
 * showed that its worker had left.
 */
constexpr Millis kDepartedSideRetention{ 1000 };

}

FleetScheduler::FleetScheduler(std::uint64_t aEpoch,
                               const FleetBounds& aBounds,
                               std::int64_t aWallMs)
  : epoch_(aEpoch)
  , firstRun_(static_cast<std::uint32_t>(aEpoch - 1) * kRunsPerEpoch + 1)
  , bounds_(aBounds)
  , wallMs_(aWallMs)
  , health_(HealthRules())
{
}

void
FleetScheduler::LogEvent(std::string_view aEvent,
                         std::string aTask,
                         std::string aNode,
                         std::string aDetail)
{
  events_.push_back(
    { aEvent, std::move(aTask), std::move(aNode), std::move(aDetail) });
}

std::vector<FleetEvent>
FleetScheduler::TakeEvents()
{
  return std::exchange(events_, {});
}

// Jobs.

std::optional<FleetScheduler::TaskLocation>
FleetScheduler::Find(const TaskKey& aName)
{
  const auto found = jobs_.find(aName.job_);
  if (found == jobs_.end()) {
    return std::nullopt;
  }
  FleetJob& job = *found->second.job_;
  FleetStep* step = job.FindStep(aName.occurrence_, aName.step_);
  FleetTask* task = job.FindTask(aName);
  if (task == nullptr) {
    return std::nullopt;
  }
  return TaskLocation{ &found->second, step, task };
}

std::optional<FleetScheduler::TaskLocation>
FleetScheduler::FindOrBegin(const TaskKey& aName, Instant aNow)
{
  const auto found = jobs_.find(aName.job_);
  if (found != jobs_.end() && !found->second.job_->IsOver() &&
      aName.occurrence_ >= found->second.job_->Begun()) {
    found->second.job_->BeginThrough(aName.occurrence_, aNow);
    MarkAllReady(found->second);
  }
  return Find(aName);
}

FleetScheduler::ReadyKey
FleetScheduler::KeyOf(const FleetJob& aJob, const FleetStep& aStep)
{
  const JobDescription& spec = aJob.Spec();
  return { spec.priority_,
           spec.acceptedAtMs_,
           spec.id_,
           aStep.occurrence_,
           aStep.index_ };
}

void
FleetScheduler::MarkReady(const FleetJob& aJob, const FleetStep& aStep)
{
  if (aStep.open_ && !aStep.AllDone() && !aJob.IsOver()) {
    ready_.insert(KeyOf(aJob, aStep));
  }
}

void
FleetScheduler::MarkAllReady(JobEntry& aEntry)
{
  for (auto& [number, occurrence] : aEntry.job_->Occurrences()) {
    for (const FleetStep& step : occurrence.steps_) {
      MarkReady(*aEntry.job_, step);
    }
  }
}

void
FleetScheduler::MarkChanged(JobEntry& aEntry)
{
  changed_.insert(aEntry.job_->Spec().id_);
}

std::uint64_t
FleetScheduler::UnstoredBatch(const std::string& aJob) const
{
  if (changed_.contains(aJob)) {
    return nextBatch_;
  }
  return storing_.contains(aJob) ? nextBatch_ - 1 : 0;
}

void
FleetScheduler::OnJobStored(const JobDescription& aSpec, Instant aNow)
{
  if (jobs_.contains(aSpec.id_)) {
    return;
  }
  JobEntry& entry = jobs_[aSpec.id_];
  entry.job_ = std::make_unique<FleetJob>(aSpec, firstRun_);
  entry.fromEarlierLeader_ = !loaded_;
  overload_.open_.insert(aSpec.id_);
  overload_.changed_ = true;
  // The age of the view decides, not the time: a job stored before the lease
  // ended may be read later, and the former leader may have started it.
  entry.knownToFormerLeader_ = tableAsOf_ < formerLeaseEnd_;
  if (earlyCancels_.erase(aSpec.id_) > 0) {
    FinishJob(entry, JobState::Cancelled);
    return;
  }
  if (loaded_) {
    LogEvent("job-queued",
             aSpec.id_,
             {},
             "priority " + std::to_string(aSpec.priority_));
  }
  if (const auto due = entry.job_->NextDue()) {
    due_.insert({ *due, aSpec.id_ });
  }
  BeginDueJobs(aNow, wallMs_);
}

void
FleetScheduler::BeginDueJobs(Instant aNow, std::int64_t aWallMs)
{
  while (!due_.empty() && due_.begin()->first <= aWallMs) {
    const std::string id = due_.begin()->second;
    due_.erase(due_.begin());
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.job_->IsOver()) {
      continue;
    }
    FleetJob& job = *found->second.job_;
    const std::uint32_t begun = job.Begun();
    job.BeginDue(aWallMs, aNow);
    for (std::uint32_t i = begun; loaded_ && i < job.Begun(); ++i) {
      RecordDemand(job, aNow);
    }
    MarkAllReady(found->second);
    if (const auto due = job.NextDue()) {
      due_.insert({ *due, id });
    }
  }
}

void
FleetScheduler::OnCancelStored(const std::string& aJob, Instant aNow)
{
  const auto found = jobs_.find(aJob);
  if (found == jobs_.end()) {
    earlyCancels_.try_emplace(aJob, aNow + bounds_.keepFinished_);
    return;
  }
  JobEntry& entry = found->second;
  if (!entry.job_->IsOver()) {
    FinishJob(entry, JobState::Cancelled);
  }
}

void
FleetScheduler::FinishJob(JobEntry& aEntry, JobState aState)
{
  FleetJob& job = *aEntry.job_;
  job.Finish(aState, wallMs_);
  StopAllRuns(job);
  MarkChanged(aEntry);
  overload_.open_.erase(job.Spec().id_);
  overload_.changed_ = true;
  LogEvent("job-ended", job.Spec().id_, {}, std::string(JobStateText(aState)));
}

void
FleetScheduler::StopAllRuns(FleetJob& aJob)
{
  for (auto& [number, occurrence] : aJob.Occurrences()) {
    for (FleetStep& step : occurrence.steps_) {
      for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
        const TaskKey name{ aJob.Spec().id_, number, step.index_, i };
        ReleaseReservation(name, step.tasks_[i]);
        for (TaskRun& run : step.tasks_[i].runs_) {
          OrderStop(run.node_, name.Text(), run, "job ended");
        }
      }
    }
  }
}

void
FleetScheduler::ResolveJob(JobEntry& aEntry)
{
  FleetJob& job = *aEntry.job_;
  if (job.IsOver()) {
    return;
  }
  if (job.AllDone()) {
    FinishJob(aEntry, JobState::Completed);
    return;
  }
  job.RemoveDone();
  MarkAllReady(aEntry);
}

void
FleetScheduler::OnProgressLoaded(const std::string& aJob,
                                 const JobProgress& aProgress,
                                 Instant aNow)
{
  const auto found = jobs_.find(aJob);
  if (found == jobs_.end()) {
    return;
  }
  JobEntry& entry = found->second;
  if (entry.job_->IsOver()) {
    return;
  }
  entry.job_->Restore(aProgress, aNow);
  entry.storedState_ = aProgress.state_;
  if (!entry.job_->IsOver()) {
    MarkAllReady(entry);
  }
}

void
FleetScheduler::OnLoaded(Instant aNow, std::int64_t aWallMs)
{
  wallMs_ = aWallMs;
  loaded_ = true;
  loadedAt_ = aNow;
  takeover_.emplace();
  std::size_t open = 0;
  for (auto& [id, entry] : jobs_) {
    open += entry.job_->IsOver() ? 0 : 1;
    ResolveJob(entry);
  }
  for (auto& [node, worker] : workers_) {
    worker.mayRunOldWork_ = !worker.synced_;
    worker.grantedAt_ = aNow;
    worker.lostAt_ = aNow;
  }
  LogEvent("loaded",
           {},
           {},
           std::to_string(open) + " open jobs, " +
             std::to_string(workers_.size()) + " sides");
}

bool
FleetScheduler::AnyMayRunOldWork() const
{
  return std::any_of(workers_.begin(), workers_.end(), [](const auto& aEntry) {
    return aEntry.second.mayRunOldWork_;
  });
}

bool
FleetScheduler::DefersOldWork(Instant aNow)
{
  const bool defer = AnyMayRunOldWork();
  if (defer && !deferralLogged_ && aNow - loadedAt_ > kUsualSyncTime) {
    deferralLogged_ = true;
    std::string names;
    std::size_t count = 0;
    for (const auto& [node, worker] : workers_) {
      if (worker.mayRunOldWork_ && ++count <= kMaxLoggedSides) {
        names += (names.empty() ? "" : ", ") + node;
      }
    }
    if (count > kMaxLoggedSides) {
      names += " and " + std::to_string(count - kMaxLoggedSides) + " more";
    }
    LogEvent("old-work-waits", {}, {}, "no report yet from: " + names);
  } else if (!defer && deferralLogged_) {
    deferralLogged_ = false;
    const auto waited = std::chrono::duration_cast<Millis>(aNow - loadedAt_);
    LogEvent("old-work-goes-on",
             {},
             {},
             std::to_string(waited.count()) + " ms after loading");
  }
  if (!defer) {
    LogTakeover(aNow);
  }
  return defer;
}

void
FleetScheduler::LogTakeover(Instant aNow)
{
  if (!takeover_.has_value()) {
    return;
  }
  const auto waited = std::chrono::duration_cast<Millis>(aNow - loadedAt_);
  const auto stateOf = [this](const std::string& aJob) {
    const auto found = jobs_.find(aJob);
    return std::string(found == jobs_.end()
                         ? "unknown"
                         : JobStateText(found->second.job_->State()));
  };
  LogEvent("takeover",
           {},
           {},
           std::to_string(waited.count()) +
             " ms after loading; not acknowledged by earlier leaders: " +
             takeover_->Text(stateOf));
  takeover_.reset();
}

// Sides.

bool
FleetScheduler::OnSideRegistered(const std::string& aNode, Instant aNow)
{
  FleetWorker& worker = workers_[aNode];
  const bool isNew = worker.node_.empty();
  if (isNew) {
    worker.node_ = aNode;
    worker.grantedAt_ = aNow;
    worker.lostAt_ = aNow;
    worker.mayRunOldWork_ = loaded_ && aNow < formerLeaseEnd_;
  }
  worker.registered_ = true;
  return isNew;
}

void
FleetScheduler::OnSideRemoved(const std::string& aNode)
{
  const auto found = workers_.find(aNode);
  if (found == workers_.end()) {
    return;
  }
  found->second.registered_ = false;
  if (!found->second.linked_ && found->second.held_.empty()) {
    workers_.erase(found);
  }
}

std::vector<std::string>
FleetScheduler::RemovableSides(Instant aNow) const
{
  std::vector<std::string> nodes;
  for (const auto& [node, worker] : workers_) {
    // If a worker that reported its departure returns, its side writes a new
    // row.
    const Millis after =
      worker.left_ ? kDepartedSideRetention : kUnreachableSideRetention;
    if (worker.registered_ && !worker.linked_ && !worker.mayRunOldWork_ &&
        worker.held_.empty() && aNow - worker.lostAt_ > after) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

void
FleetScheduler::AbandonUnreachable(Instant aNow)
{
  if (aNow >= onlyLeaderUntil_) {
    return;
  }
  for (auto& [node, worker] : workers_) {
    if (worker.linked_ && worker.synced_) {
      continue;
    }
    // A former leader may have renewed the authority of a side that has not
    // reported until its lease ended.
    const Instant granted = worker.mayRunOldWork_
                              ? std::max(worker.grantedAt_, formerLeaseEnd_)
                              : worker.grantedAt_;
    const bool over = aNow - granted > kAuthority + kAuthoritySlack;
    if (!over || (!worker.mayRunOldWork_ && worker.held_.empty())) {
      continue;
    }
    LogEvent("worker-given-up", {}, node, "its side is unreachable");
    worker.mayRunOldWork_ = false;
    DropAllRuns(worker, "its side is unreachable", aNow);
  }
}

// Batches.

std::optional<ProgressBatch>
FleetScheduler::TakeBatch()
{
  if (changed_.empty()) {
    return std::nullopt;
  }
  ProgressBatch batch;
  batch.number_ = nextBatch_++;
  storing_.clear();
  for (const std::string& id : changed_) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
      continue;
    }
    found->second.stateInBatch_ = found->second.job_->State();
    batch.jobs_.emplace_back(id, found->second.job_->Progress());
    storing_.insert(id);
  }
  changed_.clear();
  return batch;
}

void
FleetScheduler::OnBatchStored(std::uint64_t aBatch, Instant aNow)
{
  (void)aNow;
  for (const std::string& id : std::exchange(storing_, {})) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
      continue;
    }
    found->second.storedState_ = found->second.stateInBatch_;
    if (IsFinal(found->second.storedState_)) {
      found->second.job_->FreePayload();
    }
  }
  std::size_t waited = 0;
  for (auto& [node, worker] : workers_) {
    while (!worker.unstored_.empty() &&
           worker.unstored_.front().batch_ <= aBatch) {
      waited += worker.unstored_.front().waitsForJob_ ? 1 : 0;
      worker.endsStored_ = worker.unstored_.front().number_;
      worker.acknowledgementDue_ = true;
      worker.unstored_.pop_front();
    }
  }
  if (waited > 0) {
    LogEvent("end-wait-over",
             {},
             {},
             "batch " + std::to_string(aBatch) + ": " + std::to_string(waited) +
               " ends");
  }
}

// Queries.

std::optional<WorkerProtocol>
FleetScheduler::Protocol() const
{
  std::optional<WorkerProtocol> protocol;
  for (const auto& [node, worker] : workers_) {
    if (!worker.synced_ || worker.facts_.id_.empty()) {
      continue;
    }
    if (worker.facts_.startedAtMs_ == 0) {
      return WorkerProtocol::IdOnly;
    }
    protocol = WorkerProtocol::WithStartTime;
  }
  return protocol;
}

std::optional<JobState>
FleetScheduler::StateOf(std::string_view aJob) const
{
  const auto found = jobs_.find(std::string(aJob));
  if (found == jobs_.end()) {
    return std::nullopt;
  }
  const JobEntry& entry = found->second;
  if (IsFinal(entry.storedState_)) {
    return entry.storedState_;
  }
  // A cancellation is stored before the scheduler receives it.
  if (entry.job_->State() == JobState::Cancelled) {
    return JobState::Cancelled;
  }
  return entry.job_->EverStarted() ? JobState::Running : JobState::Pending;
}

std::uint64_t
FleetScheduler::Waiting(std::string_view aQueue) const
{
  return static_cast<std::uint64_t>(
    std::count_if(jobs_.begin(), jobs_.end(), [aQueue](const auto& aEntry) {
      const FleetJob& job = *aEntry.second.job_;
      return job.Spec().queue_ == aQueue && !job.IsOver() && !job.EverStarted();
    }));
}

std::size_t
FleetScheduler::ReadyCount() const
{
  return ready_.size();
}

std::vector<std::string>
FleetScheduler::Expired(std::int64_t aWallMs) const
{
  std::vector<std::string> expired;
  for (const auto& [id, entry] : jobs_) {
    if (IsFinal(entry.storedState_) &&
        aWallMs - entry.job_->EndedAtMs() > bounds_.keepFinished_.count()) {
      expired.push_back(id);
    }
  }
  return expired;
}

void
FleetScheduler::Forget(const std::string& aJob)
{
  jobs_.erase(aJob);
  overload_.open_.erase(aJob);
}

std::vector<std::string>
FleetScheduler::ExpiredEarlyCancels(Instant aNow) const
{
  std::vector<std::string> expired;
  for (const auto& [job, until] : earlyCancels_) {
    if (aNow >= until) {
      expired.push_back(job);
    }
  }
  return expired;
}

void
FleetScheduler::ForgetEarlyCancel(const std::string& aJob)
{
  earlyCancels_.erase(aJob);
}

}
