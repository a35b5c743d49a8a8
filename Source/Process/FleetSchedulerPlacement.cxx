// FleetScheduler: placement of waiting tasks on workers.

#include "Process/FleetScheduler.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

/**
 * Time after which a backfill job without any run accepts any worker; users
 * count a job as lost after three seconds. A job waits only once, see
 * PlaceStarving.
 */
constexpr Millis kStarvationTimeout{ 1500 };
/**
 * Longest time ahead for which the load of serving tasks is predicted when
 * backfill is placed. The time ahead is the duration of the backfill task, but
 * the load cannot be predicted for longer.
 */
constexpr Millis kMaxPredictionAhead{ 300 };

}

FleetOrders&
FleetScheduler::OrdersFor(FleetWorker& aWorker)
{
  return orders_[aWorker.node_];
}

Instant
FleetScheduler::StartExpiry() const
{
  return std::min(tableAsOf_ + (bounds_.cancelBound_ - kStartMargin),
                  evacuations_.currentAsOf_ +
                    (bounds_.evacuationBound_ - kStartMargin));
}

/**
 * Whether an order given now could still be carried out.
 *
 * A leader that is seconds behind the table would start tasks whose
 * cancellation has been acknowledged, or whose data centre has been evacuated.
 * The table answers at least every 0.8 s,
 * so starts in a healthy fleet are never withheld.
 */
bool
FleetScheduler::MayStart(Instant aNow)
{
  const bool canStart = loaded_ && aNow + kMinStartValidity < StartExpiry();
  if (loaded_ && canStart == startsWithheld_) {
    startsWithheld_ = !canStart;
    const Instant asOf = std::min(tableAsOf_, evacuations_.currentAsOf_);
    const auto age = std::chrono::duration_cast<Millis>(aNow - asOf);
    LogEvent(canStart ? "starts-go-on" : "starts-withheld",
             {},
             {},
             "the view of the table is " + std::to_string(age.count()) +
               " ms old");
  }
  return canStart;
}

std::vector<SideOrders>
FleetScheduler::TakeOrders(Instant aNow, std::int64_t aWallMs)
{
  wallMs_ = aWallMs;
  BeginDueJobs(aNow, aWallMs);
  ApplyWaitingReports(aNow);
  AbandonUnreachable(aNow);
  if (MayStart(aNow)) {
    PlaceReady(aNow);
  }
  UpdateLoad(aNow);
  std::vector<SideOrders> due;
  for (auto& [node, worker] : workers_) {
    if (!worker.linked_ || !worker.synced_) {
      orders_.erase(node);
      continue;
    }
    const bool renewalDue = aNow - worker.grantedAt_ >= OrderPeriod(worker);
    const auto found = orders_.find(node);
    if (found == orders_.end() && !renewalDue && !worker.acknowledgementDue_) {
      continue;
    }
    SideOrders orders;
    orders.node_ = node;
    if (found != orders_.end()) {
      orders.orders_ = std::move(found->second);
      orders_.erase(found);
    }
    orders.orders_.epoch_ = epoch_;
    orders.orders_.sequence_ = ++worker.ordersSent_;
    orders.orders_.echoMicros_ = worker.echoMicros_;
    if (!orders.orders_.starts_.empty()) {
      // The side read its clock for the echo before the leader received the
      // report. The starts expire earlier by this delay at most.
      const Micros remaining = StartExpiry() - worker.reportedAt_;
      orders.orders_.startsUntilMicros_ =
        worker.echoMicros_ + static_cast<std::uint64_t>(remaining.count());
    }
    orders.orders_.leaseMicros_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<Micros>(kAuthority).count());
    orders.orders_.highFrequencyMicros_ =
      worker.highFrequency_
        ? static_cast<std::uint64_t>(Micros(kHighFrequencyValidity).count())
        : 0;
    orders.orders_.workerId_ = worker.facts_.id_;
    orders.orders_.workerStartedAtMs_ = worker.facts_.startedAtMs_;
    orders.orders_.endsStored_ = worker.endsStored_;
    worker.acknowledgementDue_ = false;
    worker.grantedAt_ = aNow;
    due.push_back(std::move(orders));
  }
  return due;
}

void
FleetScheduler::PlaceReady(Instant aNow)
{
  const bool deferOldWork = DefersOldWork(aNow);
  UpdateSelection(aNow);
  misses_.Clear();
  std::vector<ReadyKey> placed;
  for (auto& [node, worker] : workers_) {
    worker.withheldFor_.reset();
  }
  for (const ReadyKey& key : PlacementOrder()) {
    const auto found = jobs_.find(key.job_);
    if (found == jobs_.end() || found->second.job_->IsOver()) {
      placed.push_back(key);
      continue;
    }
    if (deferOldWork && (found->second.fromEarlierLeader_ ||
                         found->second.knownToFormerLeader_)) {
      continue;
    }
    // An earlier leader, whose clock was ahead, may have begun the occurrence.
    if (found->second.job_->DueMs(key.occurrence_) > wallMs_) {
      continue;
    }
    const FleetStep* step =
      found->second.job_->FindStep(key.occurrence_, key.step_);
    if (step == nullptr) {
      placed.push_back(key);
      continue;
    }
    if (IsDeferred(found->second, *step, aNow)) {
      continue;
    }
    if (PlaceStep(key, aNow)) {
      placed.push_back(key);
    }
  }
  for (const ReadyKey& key : placed) {
    ready_.erase(key);
  }
  // Only after the pass, and not while old work is deferred: a task that could
  // not be placed for a while still finds its reservation.
  if (!deferOldWork) {
    for (auto& [node, worker] : workers_) {
      worker.DropExpiredReservations(aNow);
    }
  }
}

JobRank
FleetScheduler::RankNow(const FleetJob& aJob, const FleetStep& aStep) const
{
  const JobDescription& spec = aJob.Spec();
  if (aStep.spec_->longRunning_) {
    const bool restarting = HasRestarting(jobs_.at(spec.id_), aStep);
    return { restarting ? JobOutlook::Restarting : JobOutlook::LongRunning,
             spec.acceptedAtMs_ };
  }
  std::vector<double> all;
  std::vector<double> remaining;
  const auto occurrence = aJob.Occurrences().find(aStep.occurrence_);
  for (std::size_t i = 0; i < spec.steps_.size(); ++i) {
    const bool begun = occurrence != aJob.Occurrences().end();
    const FleetStep* step = begun ? &occurrence->second.steps_[i] : nullptr;
    all.push_back(step != nullptr ? ExpectedMillis(aJob, *step)
                                  : durations_.ExpectedMillis(
                                      spec.queue_, spec.steps_[i].estimateMs_));
    remaining.push_back(step != nullptr && step->AllDone() ? 0 : all.back());
  }
  JobTimes times;
  times.dueMs_ = DueMsOf(spec, aStep.occurrence_);
  times.chainMs_ = ChainMillis(spec.steps_, all);
  times.leftMs_ = ChainMillis(spec.steps_, remaining);
  const JobRank rank = RankOf(spec, times, wallMs_);
  return occurrence == aJob.Occurrences().end()
           ? rank
           : RankInOverload(rank, occurrence->second);
}

std::vector<FleetScheduler::ReadyKey>
FleetScheduler::PlacementOrder()
{
  struct Ranked
  {
    JobRank rank_;
    const ReadyKey* key_;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(ready_.size());
  for (const ReadyKey& key : ready_) {
    const auto found = jobs_.find(key.job_);
    const FleetStep* step =
      found == jobs_.end()
        ? nullptr
        : found->second.job_->FindStep(key.occurrence_, key.step_);
    const JobRank rank =
      step == nullptr ? JobRank() : RankNow(*found->second.job_, *step);
    ranked.push_back({ rank, &key });
  }
  std::stable_sort(ranked.begin(),
                   ranked.end(),
                   [](const Ranked& aLeft, const Ranked& aRight) {
                     return std::tie(aLeft.key_->priority_, aLeft.rank_) <
                            std::tie(aRight.key_->priority_, aRight.rank_);
                   });
  std::vector<ReadyKey> order;
  order.reserve(ranked.size());
  for (const Ranked& one : ranked) {
    order.push_back(*one.key_);
  }
  return order;
}

bool
FleetScheduler::IsDeferred(JobEntry& aEntry,
                           const FleetStep& aStep,
                           Instant aNow)
{
  return aStep.spec_->longRunning_ && !HasRestarting(aEntry, aStep) &&
         AdmissibleNewTasks(aEntry, aStep, aNow) == 0;
}

bool
FleetScheduler::PlaceStep(const ReadyKey& aKey, Instant aNow)
{
  JobEntry& entry = jobs_.at(aKey.job_);
  FleetStep& step = *entry.job_->FindStep(aKey.occurrence_, aKey.step_);
  if (step.spec_->gang_) {
    return PlaceGang(entry, step, aNow);
  }
  if (MissesAgain(entry, step, aNow)) {
    return false;
  }
  FillOptions(*entry.job_, step, aNow);
  bool allPlaced = true;
  bool missed = false;
  // Tasks that never ran would take the capacity of restarting tasks, also of
  // other jobs.
  const bool restarting = HasRestarting(entry, step);
  std::size_t admissible = AdmissibleNewTasks(entry, step, aNow);
  for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
    const FleetTask& task = step.tasks_[i];
    if (!task.Waits()) {
      continue;
    }
    const bool isNew = IsNew(entry, task);
    // All tasks of a step request the same resources, so after a miss only a
    // task with a reservation can still find a worker. A last attempt may miss
    // although there is capacity, on workers that it does not trust.
    const bool mustWait = (isNew && (restarting || admissible == 0)) ||
                          (missed && task.reservedOn_.empty());
    if (mustWait || task.notBefore_ > aNow) {
      allPlaced = false;
    } else if (!PlaceOrMiss(entry, step, i, aNow)) {
      allPlaced = false;
      missed = missed || !IsLastAttempt(*entry.job_, step, task);
    } else if (isNew) {
      --admissible;
    }
  }
  return allPlaced;
}

bool
FleetScheduler::PlaceOrMiss(JobEntry& aEntry,
                            FleetStep& aStep,
                            std::uint32_t aIndex,
                            Instant aNow)
{
  if (PlaceTask(aEntry, aStep, aIndex, aNow)) {
    aEntry.idleSince_.reset();
    return true;
  }
  if (PlaceStarving(aEntry, aStep, aIndex, aNow)) {
    return true;
  }
  const FleetTask& task = aStep.tasks_[aIndex];
  if (!IsLastAttempt(*aEntry.job_, aStep, task)) {
    RecordMiss(*aEntry.job_, aStep, aNow);
  }
  PreemptFor(*aEntry.job_, aStep, task, aNow);
  LogLongRunningWait(aEntry, aStep, aIndex, aNow);
  ReserveWorkerFor(aEntry, aStep, aStep.tasks_[aIndex], aNow);
  return false;
}

void
FleetScheduler::RecordMiss(const FleetJob& aJob,
                           const FleetStep& aStep,
                           Instant aNow)
{
  const JobDescription& spec = aJob.Spec();
  misses_.Add(spec, *aStep.spec_);
  if (!aStep.spec_->longRunning_ && !aStep.spec_->backfill_) {
    longRunningAdmission_.AddMiss(spec.service_, spec.priority_, aNow);
  }
}

/** Whether a similar step has found no worker in this pass. */
bool
FleetScheduler::MissesAgain(JobEntry& aEntry,
                            const FleetStep& aStep,
                            Instant aNow)
{
  const JobDescription& spec = aEntry.job_->Spec();
  // Backfill jobs without a run are placed by PlaceStarving, and jobs with a
  // reservation can use their reserved worker.
  const bool idle = aStep.spec_->backfill_ && aEntry.job_->Idle();
  return !idle && misses_.Covers(spec, *aStep.spec_) &&
         reservations_.NodeOf(spec.id_, aNow).empty();
}

void
FleetScheduler::FillOptions(const FleetJob& aJob,
                            const FleetStep& aStep,
                            Instant aNow)
{
  std::map<std::string_view, std::uint32_t> sameStep;
  if (aStep.spec_->maxPerWorker_ > 0) {
    for (const FleetTask& task : aStep.tasks_) {
      for (const TaskRun& run : task.runs_) {
        ++sameStep[run.node_];
      }
    }
  }
  options_.clear();
  ++workerScans_;
  for (auto& [node, worker] : workers_) {
    const auto same = sameStep.find(node);
    WorkerOption option;
    option.worker_ = &worker;
    option.sameStep_ = same == sameStep.end() ? 0 : same->second;
    option.cordoned_ = health_.IsCordoned(node, aNow);
    option.suspect_ = health_.IsSuspect(node);
    option.evacuated_ = IsEvacuated(worker);
    option.reserved_ =
      reservations_.IsReservedFrom(aJob.Spec().id_, worker.node_, aNow);
    option.withheld_ = worker.withheldFor_.has_value() &&
                       aJob.Spec().priority_ > *worker.withheldFor_;
    option.fit_ = FitOn(worker, aJob, *aStep.spec_);
    options_.push_back(option);
  }
}

void
FleetScheduler::UpdateOption(std::size_t aOption,
                             const FleetJob& aJob,
                             const FleetStep& aStep)
{
  WorkerOption& option = options_[aOption];
  ++option.sameStep_;
  option.fit_ = FitOn(workers_.at(option.worker_->node_), aJob, *aStep.spec_);
}

BackfillFit
FleetScheduler::FitOn(FleetWorker& aWorker,
                      const FleetJob& aJob,
                      const StepSpec& aStep)
{
  if (!aStep.backfill_ || aWorker.serving_ == 0) {
    return {};
  }
  auto known = aWorker.fits_.find(aStep.image_);
  if (known == aWorker.fits_.end()) {
    std::map<std::string, double> backfill;
    for (const auto& [image, cpuMilli] : aWorker.backfillImages_) {
      backfill.emplace(image, aWorker.TenthsOf(cpuMilli));
    }
    const Millis expected(static_cast<std::int64_t>(
      durations_.ExpectedMillis(aJob.Spec().queue_, aStep.estimateMs_)));
    const Millis ahead = std::min(kMaxPredictionAhead, expected);
    known = aWorker.fits_
              .emplace(aStep.image_,
                       interference_.FitOfAdditionalTask(
                         aWorker.servingGroups_, backfill, aStep.image_, ahead))
              .first;
  }
  BackfillFit fit = known->second;
  fit.speed_ = std::min(1.0, fit.tenths_ / aWorker.TenthsOf(aStep.cpuMilli_));
  return fit;
}

std::string
FleetScheduler::RackInUse(const FleetStep& aStep) const
{
  if (!aStep.spec_->sameRack_) {
    return {};
  }
  for (const FleetTask& task : aStep.tasks_) {
    for (const TaskRun& run : task.runs_) {
      const auto found = workers_.find(run.node_);
      if (found != workers_.end()) {
        return found->second.facts_.rack_;
      }
    }
  }
  return {};
}

bool
FleetScheduler::IsLastAttempt(const FleetJob& aJob,
                              const FleetStep& aStep,
                              const FleetTask& aTask)
{
  const auto failures = static_cast<std::int64_t>(aTask.failedRuns_.size());
  return !aStep.spec_->longRunning_ && failures > 0 &&
         failures + 1 >= aJob.Spec().maxAttempts_;
}

std::optional<std::size_t>
FleetScheduler::ChooseAmongOptions(const FleetJob& aJob,
                                   const FleetStep& aStep,
                                   const FleetTask& aTask,
                                   Instant aNow,
                                   bool aStarving) const
{
  const std::string rack = RackInUse(aStep);
  ChoiceFacts facts = FactsFor(aJob, aStep, aTask, rack, aNow);
  facts.starving_ = aStarving;
  return ChooseWorker(options_, facts);
}

ChoiceFacts
FleetScheduler::FactsFor(const FleetJob& aJob,
                         const FleetStep& aStep,
                         const FleetTask& aTask,
                         std::string_view aRack,
                         Instant aNow) const
{
  ChoiceFacts facts;
  facts.step_ = aStep.spec_;
  facts.service_ = aJob.Spec().service_;
  facts.avoid_ = aTask.avoid_;
  facts.farFactor_ = bounds_.farFactor_;
  facts.rackInUse_ = aRack;
  facts.now_ = aNow;
  facts.lastAttempt_ = IsLastAttempt(aJob, aStep, aTask);
  return facts;
}

bool
FleetScheduler::PlaceTask(JobEntry& aEntry,
                          FleetStep& aStep,
                          std::uint32_t aIndex,
                          Instant aNow)
{
  FleetTask& task = aStep.tasks_[aIndex];
  if (!task.reservedOn_.empty()) {
    return PlaceWithReservation(aEntry, aStep, aIndex, aNow);
  }
  const auto chosen = ChooseAmongOptions(*aEntry.job_, aStep, task, aNow);
  if (!chosen.has_value()) {
    return false;
  }
  PlaceOn(*chosen, aEntry, aStep, aIndex, aNow);
  return true;
}

/**
 * Places a task that has a reservation, on the reserved worker or elsewhere.
 */
bool
FleetScheduler::PlaceWithReservation(JobEntry& aEntry,
                                     FleetStep& aStep,
                                     std::uint32_t aIndex,
                                     Instant aNow)
{
  FleetTask& task = aStep.tasks_[aIndex];
  const std::string node = std::exchange(task.reservedOn_, {});
  const TaskKey name{
    aEntry.job_->Spec().id_, aStep.occurrence_, aStep.index_, aIndex
  };
  const auto keeper = workers_.find(node);
  const std::optional<TaskReservation> kept =
    keeper == workers_.end() ? std::nullopt
                             : keeper->second.TakeReservation(name.Text());
  const bool placed = PlaceTask(aEntry, aStep, aIndex, aNow);
  if (!placed && kept.has_value()) {
    keeper->second.Reserve(name.Text(), *kept);
    task.reservedOn_ = node;
  }
  return placed;
}

void
FleetScheduler::PlaceOn(std::size_t aOption,
                        JobEntry& aEntry,
                        FleetStep& aStep,
                        std::uint32_t aIndex,
                        Instant aNow)
{
  const BackfillFit fit = options_[aOption].fit_;
  FleetTask& task = aStep.tasks_[aIndex];
  FleetWorker& worker = workers_.at(options_[aOption].worker_->node_);
  StartRun(aEntry, aStep, aIndex, worker, aEntry.job_->NextRun(task), aNow);
  UpdateOption(aOption, *aEntry.job_, aStep);
  if (aStep.spec_->backfill_) {
    // Only backfill: PaceBackfill would never raise the pace of other tasks.
    StartAtPace(worker, aEntry, aStep, aIndex, fit.speed_);
  }
  if (!fit.known_) {
    worker.trialStartedAt_ = aNow;
  }
}

/**
 * Starts one task of a backfill job that would disturb serving tasks on every
 * worker: on the worker where it disturbs least, at a pace that makes it
 * harmless.
 *
 * Such a job must still make progress. It waits kStarvationTimeout for a better
 * worker, but only once and not after each of its tasks. For the same reason a
 * task that is stopped for a move and finds its new place taken restarts at
 * once.
 *
 * A last attempt starts on a worker that is not trusted once its job has had
 * nothing running for as long, beside capacity on such a worker.
 */
bool
FleetScheduler::PlaceStarving(JobEntry& aEntry,
                              FleetStep& aStep,
                              std::uint32_t aIndex,
                              Instant aNow)
{
  const bool backfill = aStep.spec_->backfill_;
  FleetTask& task = aStep.tasks_[aIndex];
  if (!aEntry.job_->Idle()) {
    aEntry.idleSince_.reset();
    return false;
  }
  if (!backfill && !IsLastAttempt(*aEntry.job_, aStep, task)) {
    return false;
  }
  if (backfill && !IsStarving(aEntry, aNow)) {
    return false;
  }
  const auto chosen = ChooseAmongOptions(*aEntry.job_, aStep, task, aNow, true);
  if (!chosen.has_value()) {
    if (!backfill) {
      // The task waits for capacity, not for a worker that is trusted.
      aEntry.idleSince_.reset();
    }
    return false;
  }
  if (!IsStarving(aEntry, aNow)) {
    return false;
  }
  const auto idle =
    std::chrono::duration_cast<Millis>(aNow - *aEntry.idleSince_);
  aEntry.starving_ = aEntry.starving_ || backfill;
  aEntry.idleSince_.reset();
  PlaceOn(*chosen, aEntry, aStep, aIndex, aNow);
  task.runs_.back().starving_ = backfill;
  LogEvent(backfill ? "backfill-starving" : "last-attempt-starving",
           aEntry.job_->Spec().id_,
           task.runs_.back().node_,
           "no task of the job ran for " + std::to_string(idle.count()) +
             " ms");
  return true;
}

bool
FleetScheduler::IsStarving(JobEntry& aEntry, Instant aNow)
{
  aEntry.idleSince_ = aEntry.idleSince_.value_or(aNow);
  return aEntry.starving_ || aNow - *aEntry.idleSince_ >= kStarvationTimeout;
}

bool
FleetScheduler::PlaceGang(JobEntry& aEntry, FleetStep& aStep, Instant aNow)
{
  // All members of a gang start together under one run number, or none does: an
  // incomplete gang would occupy resources without progress.
  const bool allWaiting = std::all_of(
    aStep.tasks_.begin(), aStep.tasks_.end(), [aNow](const FleetTask& aTask) {
      return aTask.Waits() && aTask.notBefore_ <= aNow;
    });
  if (!allWaiting) {
    return false;
  }
  std::uint32_t run = 0;
  std::string checkpoint;
  for (FleetTask& task : aStep.tasks_) {
    run = std::max({ run, task.lastRun_ + 1, firstRun_ });
    if (checkpoint.empty()) {
      checkpoint = task.checkpoint_;
    }
  }
  std::vector<FleetWorker*> chosen = ChooseForGang(aEntry, aStep, run, aNow);
  if (chosen.empty()) {
    chosen = ChooseForStarvingGang(aEntry, aStep, run, aNow);
  }
  if (chosen.empty()) {
    PreemptFor(*aEntry.job_, aStep, aStep.tasks_.front(), aNow);
    return false;
  }
  aEntry.idleSince_.reset();
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    aStep.tasks_[i].lastRun_ = run;
    aStep.tasks_[i].checkpoint_ = checkpoint;
    StartRun(aEntry, aStep, i, *chosen[i], run, aNow);
  }
  return true;
}

std::vector<FleetWorker*>
FleetScheduler::ChooseForStarvingGang(JobEntry& aEntry,
                                      FleetStep& aStep,
                                      std::uint32_t aRun,
                                      Instant aNow)
{
  const FleetJob& job = *aEntry.job_;
  const bool isLast = std::any_of(aStep.tasks_.begin(),
                                  aStep.tasks_.end(),
                                  [&job, &aStep](const FleetTask& aTask) {
                                    return IsLastAttempt(job, aStep, aTask);
                                  });
  if (!isLast || !job.Idle()) {
    return {};
  }
  std::vector<FleetWorker*> chosen =
    ChooseForGang(aEntry, aStep, aRun, aNow, true);
  if (chosen.empty()) {
    aEntry.idleSince_.reset();
  } else if (!IsStarving(aEntry, aNow)) {
    chosen.clear();
  }
  return chosen;
}

std::vector<FleetWorker*>
FleetScheduler::ChooseForGang(JobEntry& aEntry,
                              FleetStep& aStep,
                              std::uint32_t aRun,
                              Instant aNow,
                              bool aStarving)
{
  FillOptions(*aEntry.job_, aStep, aNow);
  std::vector<FleetWorker*> chosen;
  for (std::uint32_t i = 0; i < aStep.tasks_.size(); ++i) {
    const auto option =
      ChooseAmongOptions(*aEntry.job_, aStep, aStep.tasks_[i], aNow, aStarving);
    if (!option.has_value()) {
      break;
    }
    FleetWorker* worker = &workers_.at(options_[*option].worker_->node_);
    const TaskKey name{
      aEntry.job_->Spec().id_, aStep.occurrence_, aStep.index_, i
    };
    worker->Hold(
      name.Text(), aRun, TaskResourcesOf(*aStep.spec_, aEntry.job_->Spec()));
    UpdateOption(*option, *aEntry.job_, aStep);
    TaskRun placeholder;
    placeholder.node_ = worker->node_;
    aStep.tasks_[i].runs_.push_back(placeholder);
    chosen.push_back(worker);
  }
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    const TaskKey name{
      aEntry.job_->Spec().id_, aStep.occurrence_, aStep.index_, i
    };
    chosen[i]->Release(name.Text(), aRun);
    aStep.tasks_[i].runs_.clear();
  }
  if (chosen.size() < aStep.tasks_.size()) {
    chosen.clear();
  }
  return chosen;
}

void
FleetScheduler::StartRun(JobEntry& aEntry,
                         FleetStep& aStep,
                         std::uint32_t aIndex,
                         FleetWorker& aWorker,
                         std::uint32_t aRun,
                         Instant aNow)
{
  const JobDescription& spec = aEntry.job_->Spec();
  const TaskKey name{ spec.id_, aStep.occurrence_, aStep.index_, aIndex };
  FleetTask& task = aStep.tasks_[aIndex];
  TaskRun run;
  run.run_ = aRun;
  run.node_ = aWorker.node_;
  run.orderSequence_ = aWorker.ordersSent_ + 1;
  run.startedAt_ = aNow;
  run.progressAt_ = aNow;
  task.runs_.push_back(run);
  const std::string text = name.Text();
  aWorker.Hold(text, aRun, TaskResourcesOf(*aStep.spec_, spec));
  health_.OnStart(aWorker.node_, aNow);
  if (aStep.spec_->longRunning_ && !aEntry.job_->EverStarted()) {
    // Stored so that the next leader does not defer the job.
    MarkChanged(aEntry);
  }
  aEntry.job_->SetStarted();
  OrdersFor(aWorker).starts_.push_back(
    { text,
      aRun,
      spec.payload_,
      aStep.spec_->checkpoints_ ? task.checkpoint_ : std::string(),
      {} });
  if (localPacing_) {
    AddProfile(aWorker, text, aRun, *aStep.spec_);
  }
  const std::string detail = "run " + std::to_string(aRun);
  LogEvent("run-ordered", text, aWorker.node_, detail);
  if (aStep.spec_->longRunning_ && task.endedAt_.has_value()) {
    // A separate event, because run-ordered is so frequent that in a large
    // fleet a third of its lines are only counted.
    const auto downtime =
      std::chrono::duration_cast<Millis>(aNow - *task.endedAt_);
    LogEvent("lasting-back",
             text,
             aWorker.node_,
             detail + ", after a downtime of " +
               std::to_string(downtime.count()) + " ms");
  }
}

}
