#include "FleetWorld.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace cactusrail {

namespace {

constexpr Millis kStep{ 10 };
/** Maximum lease that a worker grants. */
constexpr Millis kMaxLease{ 10000 };
/** Difference of the fences of two incarnations of a side, which take them from
 * the wall clock. */
constexpr std::uint64_t kSideFence = 1000;

std::int64_t
MillisOf(Instant aTime)
{
  return std::chrono::duration_cast<Millis>(aTime.time_since_epoch()).count();
}

bool
StartsWithAny(const std::string& aTask, const std::set<std::string>& aStarts)
{
  return std::any_of(
    aStarts.begin(), aStarts.end(), [&aTask](const std::string& aStart) {
      return aTask.starts_with(aStart);
    });
}

}

Instant
At(std::int64_t aMillis)
{
  return Instant(Millis(aMillis));
}

FleetReport
IdleReport(Instant aNow)
{
  FleetReport report;
  report.clockMicros_ =
    static_cast<std::uint64_t>(aNow.time_since_epoch().count());
  report.worker_.id_ = "w1";
  report.worker_.service_ = "service";
  report.worker_.room_ = { 16000, 64000, 0 };
  report.worker_.answers_ = true;
  return report;
}

JobDescription
MakeJob(const std::string& aId, std::uint32_t aTasks, std::int64_t aCpuMilli)
{
  JobDescription job;
  job.id_ = aId;
  job.queue_ = "host/queue/";
  job.service_ = "service";
  job.maxAttempts_ = 2;
  job.payload_ = "payload of " + aId;
  StepSpec step;
  step.count_ = aTasks;
  step.cpuMilli_ = aCpuMilli;
  step.memoryMb_ = 100;
  step.estimateMs_ = 1000;
  job.steps_.push_back(step);
  return job;
}

// Worker.

CallAnswer
WorkerFake::Take(const WorkerCall& aCall, Instant aNow, bool aAnswered)
{
  Advance(aNow);
  ++calls_;
  if (mute_) {
    return {};
  }
  if (gone_) {
    CallAnswer refused;
    refused.outcome_ = CallOutcome::PortRefused;
    return refused;
  }
  const CallHeader& head = std::visit(
    [](const auto& aOne) -> const CallHeader& { return aOne.head_; }, aCall);
  CallAnswer answer;
  if (head.workerId_ != id_) {
    answer.outcome_ = CallOutcome::WrongIncarnation;
    return answer;
  }
  answer.clockMs_ = ClockMs(aNow);
  if (head.fence_ < fence_) {
    answer.outcome_ = CallOutcome::Fenced;
    return answer;
  }
  fence_ = head.fence_;
  if (const auto* start = std::get_if<StartCall>(&aCall)) {
    return Start(*start, aNow, aAnswered);
  }
  if (const auto* stop = std::get_if<StopCall>(&aCall)) {
    return Stop(*stop, aNow);
  }
  if (const auto* hold = std::get_if<HoldCall>(&aCall)) {
    return Hold(*hold, aNow, aAnswered);
  }
  return Pace(std::get<PaceCall>(aCall), aNow);
}

CallAnswer
WorkerFake::Pace(const PaceCall& aCall, Instant aNow)
{
  ++paceCalls_;
  for (Run& run : runs_) {
    if (run.task_ == aCall.order_.task_ && run.run_ == aCall.order_.run_) {
      run.pace_ = aCall.order_.percent_;
    }
  }
  if (losesPaceAnswers_) {
    return {};
  }
  CallAnswer answer;
  answer.clockMs_ = ClockMs(aNow);
  answer.outcome_ = CallOutcome::Accepted;
  return answer;
}

std::uint32_t
WorkerFake::PaceOf(const std::string& aTask) const
{
  const auto found =
    std::find_if(runs_.begin(), runs_.end(), [&aTask](const Run& aRun) {
      return aRun.task_ == aTask;
    });
  return found == runs_.end() ? 100 : found->pace_;
}

std::uint32_t
WorkerFake::Latency() const
{
  std::uint32_t paces = 0;
  for (const Run& run : runs_) {
    paces += IsLongRunning(run.task_) ? 0 : run.pace_;
  }
  return latencyMs_ + harmMs_ * paces / 100;
}

CallAnswer
WorkerFake::Start(const StartCall& aCall, Instant aNow, bool aAnswered)
{
  CallAnswer answer;
  answer.clockMs_ = ClockMs(aNow);
  answer.outcome_ = CallOutcome::Accepted;
  const StartOrder& order = aCall.order_;
  for (const Run& run : runs_) {
    if (run.task_ == order.task_ && run.run_ == order.run_) {
      return answer;
    }
  }
  const auto ended = highestEnded_.find(order.task_);
  if (ended != highestEnded_.end() && order.run_ <= ended->second) {
    answer.outcome_ = CallOutcome::Old;
    return answer;
  }
  if (aCall.leaseUntilMs_ <= ClockMs(aNow)) {
    answer.outcome_ = CallOutcome::LeaseExpired;
    return answer;
  }
  leaseUntil_ = std::max(leaseUntil_, LeaseEnd(aCall.leaseUntilMs_, aNow));
  runs_.push_back(
    { order.task_,
      order.run_,
      order.checkpoint_,
      IsLongRunning(order.task_) ? Instant::max() : aNow + taskTime_,
      std::nullopt });
  started_.push_back(order.task_ + "/" + std::to_string(order.run_));
  startedAt_.push_back(aNow);
  records_.push_back(
    { order.task_, false, !aAnswered && fence_ <= formerFence_ });
  return answer;
}

CallAnswer
WorkerFake::Stop(const StopCall& aCall, Instant aNow)
{
  CallAnswer answer;
  answer.clockMs_ = ClockMs(aNow);
  answer.outcome_ = CallOutcome::Accepted;
  for (Run& run : runs_) {
    if (run.task_ == aCall.order_.task_ && run.run_ == aCall.order_.run_ &&
        !run.stopsAt_.has_value()) {
      run.stopsAt_ = aNow + stopTime_;
    }
  }
  std::uint32_t& highest = highestEnded_[aCall.order_.task_];
  highest = std::max(highest, aCall.order_.run_);
  return answer;
}

CallAnswer
WorkerFake::Hold(const HoldCall& aCall, Instant aNow, bool aAnswered)
{
  CallAnswer answer;
  answer.clockMs_ = ClockMs(aNow);
  answer.startedAtMs_ = startedAtMs_;
  answer.outcome_ = CallOutcome::Accepted;
  if (aCall.leaseUntilMs_.has_value()) {
    leaseUntil_ = std::max(leaseUntil_, LeaseEnd(*aCall.leaseUntilMs_, aNow));
  }
  acknowledged_ = std::max(acknowledged_, aCall.endsStored_);
  while (!ends_.empty() && ends_.front().number_ <= aCall.endsStored_) {
    unseenEnds_ += ends_.front().number_ > listedEnds_ ? 1 : 0;
    if (ends_.front().kind_ == EndKind::Done) {
      records_.push_back({ ends_.front().task_, true });
    }
    ends_.pop_front();
  }
  for (const Run& run : runs_) {
    // A run that is being stopped is not listed until it has ended.
    if (run.stopsAt_.has_value()) {
      continue;
    }
    const auto left = std::chrono::duration_cast<Millis>(run.endsAt_ - aNow);
    const bool longRunning = IsLongRunning(run.task_);
    const auto percent =
      longRunning ? 100
                  : 100 - 100 * std::max<std::int64_t>(0, left.count()) /
                            taskTime_.count();
    answer.runs_.push_back({ run.task_,
                             run.run_,
                             false,
                             run.checkpoint_,
                             static_cast<std::uint32_t>(percent),
                             longRunning ? Latency() : 0 });
  }
  answer.ends_.assign(ends_.begin(), ends_.end());
  if (aAnswered && !ends_.empty()) {
    listedEnds_ = ends_.back().number_;
  }
  return answer;
}

void
WorkerFake::End(const Run& aRun, EndKind aKind)
{
  RunEndReport end{
    nextEnd_++, aRun.task_, aRun.run_, aKind, aRun.checkpoint_
  };
  std::uint32_t& highest = highestEnded_[aRun.task_];
  highest = std::max(highest, aRun.run_);
  ends_.push_back(end);
}

void
WorkerFake::Advance(Instant aNow)
{
  std::vector<Run> left;
  const Micros passed = aNow - std::exchange(advancedAt_, aNow);
  for (Run& run : runs_) {
    if (!IsLongRunning(run.task_)) {
      run.endsAt_ += passed * (100 - run.pace_) / 100;
    }
    if (aNow >= leaseUntil_) {
      End(run, EndKind::Lapsed);
    } else if (run.stopsAt_.has_value() && aNow >= *run.stopsAt_) {
      End(run, EndKind::Stopped);
    } else if (!run.stopsAt_.has_value() && !run.waitsForGang_ &&
               aNow >= run.endsAt_) {
      End(run, Fails(run.task_) ? EndKind::Failed : EndKind::Done);
    } else {
      left.push_back(run);
    }
  }
  runs_ = std::move(left);
}

bool
WorkerFake::IsLongRunning(const std::string& aTask) const
{
  return StartsWithAny(aTask, lasting_);
}

bool
WorkerFake::Fails(const std::string& aTask) const
{
  return failsRuns_ || StartsWithAny(aTask, failing_);
}

bool
WorkerFake::IsHealthy(const Run& aRun, Instant aNow) const
{
  return !aRun.stopsAt_.has_value() && !Fails(aRun.task_) && aNow < leaseUntil_;
}

void
WorkerFake::FailRun(const std::string& aTask)
{
  const auto failed =
    std::find_if(runs_.begin(), runs_.end(), [&aTask](const Run& aRun) {
      return aRun.task_ == aTask;
    });
  if (failed != runs_.end()) {
    End(*failed, EndKind::Failed);
    runs_.erase(failed);
  }
}

void
WorkerFake::Crash(std::string aNewId)
{
  id_ = std::move(aNewId);
  Forget();
}

void
WorkerFake::Restart(Instant aNow, std::uint64_t aHighestFenceSent)
{
  formerFence_ = aHighestFenceSent;
  startedAtMs_ = kWallMs + MillisOf(aNow);
  clockZero_ = aNow;
  Forget();
}

std::int64_t
WorkerFake::ClockMs(Instant aNow) const
{
  return MillisOf(aNow) - MillisOf(clockZero_);
}

Instant
WorkerFake::LeaseEnd(std::int64_t aUntilMs, Instant aNow) const
{
  return std::min(clockZero_ + Millis(aUntilMs), aNow + kMaxLease);
}

void
WorkerFake::Forget()
{
  runs_.clear();
  ends_.clear();
  highestEnded_.clear();
  fence_ = 0;
  acknowledged_ = 0;
  nextEnd_ = 1;
  listedEnds_ = 0;
  leaseUntil_ = Instant();
}

std::size_t
WorkerFake::RunsOf(const std::string& aTask) const
{
  return static_cast<std::size_t>(
    std::count_if(runs_.begin(), runs_.end(), [&aTask](const Run& aRun) {
      return aRun.task_ == aTask;
    }));
}

// Fleet.

FleetWorld::FleetWorld(std::size_t aHosts,
                       FleetResources aRoom,
                       const FleetBounds& aBounds)
  : now_(At(1000000))
  , bounds_(aBounds)
{
  for (std::size_t i = 0; i < aHosts; ++i) {
    const std::string number = std::to_string(i);
    HostFake host{ .node_ = "side" + number,
                   .worker_ = WorkerFake("w" + number + "-1"),
                   .room_ = aRoom,
                   .rack_ = "r1" };
    host.keeper_ = std::make_unique<WorkerKeeper>(KeeperSettings(1), now_);
    hosts_.push_back(std::move(host));
  }
  StartLeader(1);
}

std::int64_t
FleetWorld::WallMs() const
{
  return kWallMs + MillisOf(now_) + clockOffset_.count();
}

WorkerKeeper::Settings
FleetWorld::KeeperSettings(std::uint64_t aFence) const
{
  WorkerKeeper::Settings settings;
  settings.fence_ = aFence;
  settings.stopTimeout_ = Millis(500);
  settings.localPacing_ = bounds_.features_.localPacing_;
  return settings;
}

void
FleetWorld::StartLeader(std::uint64_t aEpoch)
{
  epoch_ = aEpoch;
  LoseWrite();
  scheduler_ = std::make_unique<FleetScheduler>(aEpoch, bounds_, WallMs());
  if (former_.has_value()) {
    scheduler_->OnFormerLeader(former_->leaseEnd_);
  }
  for (const auto& [id, job] : jobs_) {
    scheduler_->OnJobStored(job, now_);
  }
  unseenJobs_.clear();
  leaderLost_ = false;
  if (!former_.has_value()) {
    sentOrders_.clear();
  }
  for (const auto& [at, id] : cancelled_) {
    scheduler_->OnCancelStored(id, now_);
  }
  deliveredCancels_ = cancelled_.size();
  for (const auto& [id, progress] : progress_) {
    scheduler_->OnProgressLoaded(id, progress, now_);
  }
  for (HostFake& host : hosts_) {
    if (host.registered_) {
      scheduler_->OnSideRegistered(host.node_, now_);
    }
    host.linked_ = host.linked_ && host.linkedToFormer_;
  }
  scheduler_->OnTableCurrent(now_);
  scheduler_->OnEvacuations({ evacuated_, now_ });
  deliveredEvacuations_ = evacuations_.size();
  scheduler_->OnLoaded(now_, WallMs());
}

void
FleetWorld::ChangeLeader()
{
  StartLeader(epoch_ + 1);
}

void
FleetWorld::TakeOver(Millis aLeaseLeft)
{
  former_.emplace(FormerLeaderFake{ .epoch_ = epoch_,
                                    .scheduler_ = std::move(scheduler_),
                                    .leaseEnd_ = now_ + aLeaseLeft });
  former_->scheduler_->OnOnlyLeaderUntil(now_);
  // The former leader's view of the table is current from now on.
  for (const auto& [at, id] : unseenJobs_) {
    former_->scheduler_->OnJobStored(jobs_.at(id), now_);
  }
  for (HostFake& host : hosts_) {
    host.linkedToFormer_ = host.linked_;
  }
  ChangeLeader();
}

void
FleetWorld::Deregister(std::size_t aHost)
{
  HostFake& host = hosts_.at(aHost);
  LoseLink(host);
  host.registered_ = false;
  scheduler_->OnSideRemoved(host.node_);
}

void
FleetWorld::Register(std::size_t aHost)
{
  HostFake& host = hosts_.at(aHost);
  host.registered_ = true;
  host.acceptsFrom_ = sidesReadLease_ ? epoch_ : host.acceptsFrom_;
  scheduler_->OnSideRegistered(host.node_, now_);
  if (former_.has_value()) {
    former_->scheduler_->OnSideRegistered(host.node_, now_);
  }
}

void
FleetWorld::CutFromFormer(std::size_t aHost, bool aCut)
{
  HostFake& host = hosts_.at(aHost);
  host.cutFromFormer_ = aCut;
  if (aCut && host.linkedToFormer_) {
    LoseLink(host);
  }
}

bool
FleetWorld::FormerReaches(const HostFake& aHost) const
{
  return former_.has_value() && aHost.registered_ && !aHost.cutFromFormer_ &&
         former_->epoch_ >= aHost.acceptsFrom_;
}

FleetScheduler&
FleetWorld::SchedulerOf(const HostFake& aHost)
{
  return aHost.linkedToFormer_ ? *former_->scheduler_ : *scheduler_;
}

void
FleetWorld::Apply(const ProgressBatch& aBatch)
{
  for (const auto& [id, progress] : aBatch.jobs_) {
    progress_[id] = progress;
  }
  std::erase_if(waitingEnds_, [this](const std::string& aTask) {
    return IsFinal(progress_[TaskKey::Parse(aTask)->job_].state_);
  });
}

void
FleetWorld::LoseWrite()
{
  if (writing_.has_value() && lostWriteIsApplied_) {
    Apply(*writing_);
  }
  writing_.reset();
  leadersLostWithWaitingEnd_ += waitingEnds_.empty() ? 0 : 1;
  waitingEnds_.clear();
}

void
FleetWorld::LoseLeader()
{
  leaderLost_ = true;
  LoseWrite();
  for (HostFake& host : hosts_) {
    host.linked_ = host.linked_ && host.linkedToFormer_;
  }
}

void
FleetWorld::SuspendLeader(Millis aFor)
{
  leaderContinuesAt_ = now_ + aFor;
}

void
FleetWorld::RestartSide(std::size_t aHost)
{
  HostFake& host = hosts_.at(aHost);
  host.keeper_ = std::make_unique<WorkerKeeper>(
    KeeperSettings((++host.sideIncarnation_) * kSideFence), now_);
  host.acceptsFrom_ = sidesReadLease_ ? epoch_ : 0;
  LoseLink(host);
}

void
FleetWorld::RestartWorker(std::size_t aHost, Millis aDelay)
{
  HostFake& host = hosts_.at(aHost);
  host.worker_.Restart(now_, host.highestFenceSent_);
  host.sequence_ = 0;
  host.announcesAt_ = now_ + aDelay;
}

void
FleetWorld::LoseLink(HostFake& aHost)
{
  if (aHost.linked_) {
    aHost.linked_ = false;
    SchedulerOf(aHost).OnLinkLost(aHost.node_, now_);
    aHost.linkedToFormer_ = false;
  }
}

void
FleetWorld::Relink(std::size_t aHost)
{
  LoseLink(hosts_.at(aHost));
}

void
FleetWorld::Cut(std::size_t aHost, bool aCut)
{
  HostFake& host = hosts_.at(aHost);
  host.cut_ = aCut;
  if (aCut && !host.linkedToFormer_) {
    LoseLink(host);
  }
}

void
FleetWorld::Submit(const JobDescription& aJob)
{
  jobs_.emplace(aJob.id_, aJob);
  if (former_.has_value() && now_ < former_->leaseEnd_) {
    former_->scheduler_->OnJobStored(aJob, now_);
  }
  unseenJobs_.emplace_back(now_, aJob.id_);
  DeliverJobs();
}

void
FleetWorld::DeliverJobs()
{
  while (!leaderLost_ && !unseenJobs_.empty() &&
         unseenJobs_.front().first + jobLag_ <= now_) {
    scheduler_->OnJobStored(jobs_.at(unseenJobs_.front().second), now_);
    unseenJobs_.pop_front();
  }
}

void
FleetWorld::Cancel(const std::string& aJob)
{
  cancelled_.emplace_back(now_, aJob);
  DeliverCancellations();
}

void
FleetWorld::DeliverCancellations()
{
  while (!leaderLost_ && deliveredCancels_ < cancelled_.size() &&
         cancelled_[deliveredCancels_].first + leaderLag_ <= now_) {
    scheduler_->OnCancelStored(cancelled_[deliveredCancels_++].second, now_);
  }
}

void
FleetWorld::Evacuate(const std::string& aDataCentre, bool aEvacuated)
{
  if (aEvacuated) {
    evacuated_.insert(aDataCentre);
  } else {
    evacuated_.erase(aDataCentre);
  }
  evacuations_.emplace_back(now_, evacuated_);
}

void
FleetWorld::DeliverEvacuations()
{
  while (deliveredEvacuations_ < evacuations_.size() &&
         evacuations_[deliveredEvacuations_].first + leaderLag_ <= now_) {
    ++deliveredEvacuations_;
  }
  EvacuationView view;
  if (deliveredEvacuations_ > 0) {
    view.dataCentres_ = evacuations_[deliveredEvacuations_ - 1].second;
  }
  view.currentAsOf_ = now_ - leaderLag_;
  scheduler_->OnEvacuations(view);
}

JobState
FleetWorld::StateOf(const std::string& aJob)
{
  return scheduler_->StateOf(aJob).value_or(JobState::Pending);
}

std::size_t
FleetWorld::EndsAcknowledgedUnseen() const
{
  std::size_t unseen = 0;
  for (const HostFake& host : hosts_) {
    unseen += host.worker_.unseenEnds_;
  }
  return unseen;
}

std::size_t
FleetWorld::Starts(const std::string& aTask) const
{
  std::size_t starts = 0;
  for (const HostFake& host : hosts_) {
    for (const std::string& started : host.worker_.started_) {
      starts += started.starts_with(aTask + "/") ? 1 : 0;
    }
  }
  return starts;
}

std::string
FleetWorld::EventDetails(std::string_view aEvent) const
{
  std::string said;
  for (const FleetEvent& event : events_) {
    if (event.event_ == aEvent) {
      said += event.detail_ + "; ";
    }
  }
  return said;
}

std::size_t
FleetWorld::EventCount(std::string_view aEvent) const
{
  return static_cast<std::size_t>(
    std::count_if(events_.begin(), events_.end(), [aEvent](const auto& aOne) {
      return aOne.event_ == aEvent;
    }));
}

std::optional<Instant>
FleetWorld::LastStart(const std::string& aTask) const
{
  std::optional<Instant> last;
  for (const HostFake& host : hosts_) {
    const WorkerFake& worker = host.worker_;
    for (std::size_t i = 0; i < worker.started_.size(); ++i) {
      if (worker.started_[i].starts_with(aTask + "/")) {
        last =
          std::max(last.value_or(worker.startedAt_[i]), worker.startedAt_[i]);
      }
    }
  }
  return last;
}

void
FleetWorld::Run(Millis aFor)
{
  const Instant until = now_ + aFor;
  while (now_ < until) {
    now_ += kStep;
    Step();
  }
}

void
FleetWorld::Announce(HostFake& aHost)
{
  WorkerAnnouncement announcement;
  announcement.facts_.id_ = aHost.worker_.id_;
  announcement.facts_.service_ = "service";
  announcement.facts_.dataCentre_ = aHost.dataCentre_;
  announcement.facts_.rack_ = aHost.rack_;
  announcement.facts_.labels_ = aHost.labels_;
  announcement.facts_.room_ = aHost.room_;
  announcement.facts_.startedAtMs_ = aHost.worker_.startedAtMs_;
  announcement.clockMs_ = aHost.worker_.ClockMs(now_);
  announcement.sequence_ = ++aHost.sequence_;
  aHost.keeper_->OnAnnounced(announcement, now_);
}

void
FleetWorld::Deliver(HostFake& aHost, const WorkerCall& aCall)
{
  const CallHeader& head = std::visit(
    [](const auto& aOne) -> const CallHeader& { return aOne.head_; }, aCall);
  const std::uint64_t id = head.id_;
  aHost.highestFenceSent_ = std::max(aHost.highestFenceSent_, head.fence_);
  ++aHost.calls_;
  if (aHost.lateCallInterval_ != 0 &&
      aHost.calls_ % aHost.lateCallInterval_ == 0) {
    aHost.lateCalls_.push_back({ now_ + aHost.lateness_, aCall });
    aHost.keeper_->OnAnswer(id, CallAnswer(), now_);
    return;
  }
  aHost.keeper_->OnAnswer(id, aHost.worker_.Take(aCall, now_), now_);
}

void
FleetWorld::DeliverLateCalls(HostFake& aHost)
{
  std::erase_if(aHost.lateCalls_, [&](const LateCall& aLate) {
    if (aLate.executedAt_ > now_) {
      return false;
    }
    aHost.worker_.Take(aLate.call_, now_, false);
    return true;
  });
}

void
FleetWorld::StepHost(HostFake& aHost)
{
  const WorkerIncarnation worker{ aHost.worker_.id_,
                                  aHost.worker_.startedAtMs_ };
  if (now_ >= aHost.announcesAt_ &&
      (MillisOf(now_) % 1000 == 0 || aHost.keeper_->Incarnation() != worker)) {
    Announce(aHost);
  }
  aHost.worker_.Advance(now_);
  DeliverLateCalls(aHost);
  for (const WorkerCall& call : aHost.keeper_->TakeCalls(now_)) {
    Deliver(aHost, call);
  }
  CheckStarts(aHost.worker_);
  ChooseLink(aHost);
  if (!aHost.linked_) {
    return;
  }
  if (auto report = aHost.keeper_->TakeReport(now_)) {
    const auto host = static_cast<std::size_t>(&aHost - hosts_.data());
    sentReports_.push_back({ now_ + reportDelay_,
                             host,
                             aHost.link_,
                             aHost.encoder_.Encode(std::move(*report)) });
  }
  DeliverReports();
}

/** Links the host to the leader, or to the former leader if only that one
 * reaches it. The side accepts no lower epoch than it has met or read. */
void
FleetWorld::ChooseLink(HostFake& aHost)
{
  const bool reached = !aHost.cut_ && !leaderLost_ && aHost.registered_;
  if (aHost.linked_ && aHost.linkedToFormer_ &&
      (reached || !FormerReaches(aHost))) {
    LoseLink(aHost);
  }
  if (aHost.linked_ || (!reached && !FormerReaches(aHost))) {
    return;
  }
  aHost.linked_ = true;
  aHost.linkedToFormer_ = !reached;
  aHost.acceptsFrom_ =
    std::max(aHost.acceptsFrom_, reached ? epoch_ : former_->epoch_);
  aHost.up_ = false;
  ++aHost.link_;
  aHost.encoder_.Reset();
  aHost.decoder_ = ReportDecoder();
  aHost.keeper_->OnLeaderLink(now_);
}

/**
 * As in FleetLeader, the scheduler considers a link up from its first report
 * on.
 */
void
FleetWorld::DeliverReports()
{
  std::size_t next = 0;
  while (next < sentReports_.size() && sentReports_[next].arrivesAt_ <= now_) {
    HostFake& host = hosts_.at(sentReports_[next].host_);
    if (now_ <
        (host.linkedToFormer_ ? former_->continuesAt_ : leaderContinuesAt_)) {
      ++next;
      continue;
    }
    const SentReport sent = std::move(sentReports_[next]);
    sentReports_.erase(sentReports_.begin() +
                       static_cast<std::ptrdiff_t>(next));
    if (!host.linked_ || sent.link_ != host.link_) {
      continue;
    }
    const auto* whole = std::get_if<FleetReport>(&sent.message_);
    const std::optional<FleetReport> report =
      whole != nullptr
        ? host.decoder_.Take(*whole)
        : host.decoder_.Take(std::get<FleetReportChange>(sent.message_));
    if (!report.has_value()) {
      ++reportsOutOfSequence_;
      LoseLink(host);
      continue;
    }
    if (!host.up_) {
      host.up_ = true;
      SchedulerOf(host).OnLinkUp(host.node_, now_);
    }
    SchedulerOf(host).OnReport(host.node_, *report, now_);
  }
}

void
FleetWorld::StepLeader()
{
  const std::int64_t wall = WallMs();
  DeliverJobs();
  DeliverCancellations();
  if (!storeUnavailable_) {
    scheduler_->OnTableCurrent(now_ - std::max(leaderLag_, jobLag_));
    DeliverEvacuations();
  }
  Send(scheduler_->TakeOrders(now_, wall));
  DeliverOrders();
  for (FleetEvent& event : scheduler_->TakeEvents()) {
    if (event.event_ == "end-waits") {
      waitingEnds_.insert(event.task_);
    }
    events_.push_back(std::move(event));
  }
  if (storeUnavailable_) {
    return;
  }
  if (!writing_.has_value()) {
    writing_ = scheduler_->TakeBatch();
    writtenAt_ = now_ + storeLatency_;
  }
  if (writing_.has_value() && writtenAt_ <= now_) {
    Apply(*writing_);
    const std::uint64_t number = writing_->number_;
    writing_.reset();
    scheduler_->OnBatchStored(number, now_);
  }
  for (const std::string& id : scheduler_->Expired(wall)) {
    scheduler_->Forget(id);
  }
}

void
FleetWorld::Send(std::vector<SideOrders> aOrders)
{
  for (SideOrders& orders : aOrders) {
    const auto host = std::find_if(
      hosts_.begin(), hosts_.end(), [&orders](const HostFake& aHost) {
        return aHost.node_ == orders.node_;
      });
    sentOrders_.push_back(
      { now_ + orderDelay_, host->link_, std::move(orders) });
  }
}

/** The former leader stores nothing: its writes fail since the new leader wrote
 * the head row. */
void
FleetWorld::StepFormer()
{
  if (now_ >= former_->leaseEnd_ + orderDelay_) {
    for (HostFake& host : hosts_) {
      if (host.linkedToFormer_) {
        LoseLink(host);
      }
    }
    former_.reset();
    return;
  }
  if (now_ >= former_->continuesAt_ && now_ < former_->leaseEnd_) {
    former_->continuesAt_ = now_ + former_->pause_;
    if (!former_->cutFromStore_) {
      former_->scheduler_->OnTableCurrent(now_);
    }
    Send(former_->scheduler_->TakeOrders(now_, WallMs()));
  }
  DeliverOrders();
}

void
FleetWorld::DeliverOrders()
{
  while (!sentOrders_.empty() && sentOrders_.front().arrivesAt_ <= now_) {
    for (HostFake& host : hosts_) {
      if (host.node_ == sentOrders_.front().orders_.node_ && host.linked_ &&
          host.link_ == sentOrders_.front().link_) {
        host.keeper_->OnOrders(sentOrders_.front().orders_.orders_, now_);
      }
    }
    sentOrders_.pop_front();
  }
}

void
FleetWorld::Check()
{
  std::map<std::string, std::size_t> running;
  for (const HostFake& host : hosts_) {
    std::int64_t cpu = 0;
    for (const WorkerFake::Run& run : host.worker_.runs_) {
      ++running[run.task_];
      const auto name = TaskKey::Parse(run.task_);
      const auto job = jobs_.find(name->job_);
      const StepSpec& step = job->second.steps_.at(name->step_);
      cpu += step.backfill_ ? 0 : step.cpuMilli_;
    }
    capacityExceeded_ = capacityExceeded_ || cpu > host.room_.cpuMilli_;
  }
  for (const auto& [task, count] : running) {
    maxConcurrentRuns_ = std::max(maxConcurrentRuns_, count);
  }
}

void
FleetWorld::CheckStarts(WorkerFake& aWorker)
{
  for (const WorkerFake::Record& record : std::exchange(aWorker.records_, {})) {
    if (record.acknowledged_) {
      acknowledgedDone_.insert(record.task_);
      continue;
    }
    const auto name = TaskKey::Parse(record.task_);
    const StepSpec& step = jobs_.at(name->job_).steps_.at(name->step_);
    if (!step.allowsCopies_ && !step.longRunning_ && !record.late_ &&
        acknowledgedDone_.contains(record.task_)) {
      ++startsAfterAcknowledgedEnd_;
      startedAfterAcknowledgedEnd_ += record.task_ + "; ";
    }
  }
}

void
FleetWorld::AlignGangs()
{
  using Members = std::vector<std::pair<HostFake*, WorkerFake::Run*>>;
  std::map<std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint32_t>,
           Members>
    gangs;
  for (HostFake& host : hosts_) {
    for (WorkerFake::Run& run : host.worker_.runs_) {
      const auto name = TaskKey::Parse(run.task_);
      if (jobs_.at(name->job_).steps_.at(name->step_).gang_) {
        gangs[{ name->job_, name->occurrence_, name->step_, run.run_ }]
          .emplace_back(&host, &run);
      }
    }
  }
  for (const auto& [key, members] : gangs) {
    const StepSpec& step =
      jobs_.at(std::get<0>(key)).steps_.at(std::get<2>(key));
    const bool complete =
      members.size() == step.count_ &&
      std::all_of(members.begin(), members.end(), [this](const auto& aMember) {
        return aMember.first->worker_.IsHealthy(*aMember.second, now_);
      });
    const bool due =
      std::all_of(members.begin(), members.end(), [this](const auto& aMember) {
        return aMember.second->endsAt_ <= now_;
      });
    for (const auto& [host, run] : members) {
      run->waitsForGang_ = (complete ? !due : incompleteGangsWait_) &&
                           !host->worker_.Fails(run->task_);
    }
  }
}

void
FleetWorld::Step()
{
  if (gangsEndTogether_) {
    AlignGangs();
  }
  for (HostFake& host : hosts_) {
    StepHost(host);
  }
  if (former_.has_value()) {
    StepFormer();
  }
  if (!leaderLost_ && now_ >= leaderContinuesAt_) {
    StepLeader();
  }
  Check();
}

}
