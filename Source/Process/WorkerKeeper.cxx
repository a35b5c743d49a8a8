#include "Process/WorkerKeeper.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

/** Timeout of an order. A worker on the same host answers within a few ms;
 * under bad conditions one order in twenty has no answer, and a retry is
 * harmless. */
constexpr Millis kOrderTimeout{ 400 };
/** Margin added to the maximum duration of a stop. */
constexpr Millis kStopMargin{ 100 };
/** Delay before the retry of an order that was not accepted. A start that the
 * worker rejects for good, such as for lack of resources, is not retried. */
constexpr Millis kOrderRetry{ 100 };
/** Timeout of a hold in addition to its own wait. */
constexpr Millis kHoldTimeout{ 700 };
/** Maximum wait of a hold for an end; also the interval at which progress is
 * read. */
constexpr Millis kHoldWait{ 500 };
/** Maximum wait of a hold while the worker has no runs. */
constexpr Millis kIdleHoldWait{ 1500 };
/** Delay of the next hold while ends are not stored. Such ends make a hold
 * return at once, so the delay gives the leader time to store them. */
constexpr Millis kUnstoredDelay{ 150 };
constexpr Millis kHoldRetry{ 150 };
/** Number of consecutive refusals of the worker's port, 150 ms apart, after the
 * start of this side that show that no worker is running. */
constexpr std::uint32_t kRefusalsWithoutWorker = 3;
/** Limit of orders in flight; a worker accepts 64 connections. */
constexpr std::size_t kMaxOrdersInFlight = 24;
/** Time without an answer after which a worker gets no new work. */
constexpr Millis kAnswerTimeout{ 1600 };
/** Time without an answer after which leases are no longer renewed. The worker
 * may still execute each renewal without an answer, so for a worker that is
 * gone for good the latest possible end of the leases would never be reached.
 */
constexpr Millis kRenewalTimeout{ 2500 };
/** Interval between reports of changes that are not urgent, such as accepted
 * starts and measurements. */
constexpr Millis kDeferredReportInterval{ 100 };
/** Margin for the latency of a call. A lease is requested to end at least
 * this much before the authority ends, and is assumed to end this much later on
 * the clock of this side than requested. */
constexpr Millis kLeaseMargin{ 200 };
/** Increase of a fence that is too low because the wall clock was set back: one
 * hour in ms, which is more than any clock correction. */
constexpr std::uint64_t kFenceIncrement = 3600000;
/** Time after which a worker no longer executes a call without an answer. Users
 * describe orders that are carried out up to 12 s late. */
constexpr Millis kLateCallBound{ 13000 };
/** Interval at which a pace is ordered again until that time has passed. */
constexpr Millis kPaceRepetition{ 1000 };

Millis
MaxLeaseDuration(Millis aLease)
{
  return std::chrono::duration_cast<Millis>(aLease / (1 - kWorkerClockDrift)) +
         kLeaseMargin;
}

}

WorkerKeeper::WorkerKeeper(const Settings& aSettings, Instant aNow)
  : settings_(aSettings)
  , fence_(aSettings.fence_)
  , leasesExpireAt_(aNow + MaxLeaseDuration(aSettings.maxLease_))
  , reportedAt_(aNow)
{
}

std::int64_t
WorkerKeeper::WorkerClock(Instant aNow) const
{
  return clockMs_ +
         std::chrono::duration_cast<Millis>(aNow - clockReadAt_).count();
}

std::optional<std::int64_t>
WorkerKeeper::LeaseUntil(Millis aLease, Instant aNow)
{
  const Millis authority =
    std::chrono::duration_cast<Millis>(authorityUntil_ - aNow);
  // A slow clock of the worker makes a lease last longer than requested.
  const auto allowed = std::chrono::duration_cast<Millis>(
    authority * (1 - kWorkerClockDrift) - kLeaseMargin);
  const Millis lease = std::min(aLease, allowed);
  if (lease <= Millis(0) || clockReadAt_ == Instant() || aNow > renewUntil_) {
    return std::nullopt;
  }
  leasesExpireAt_ = std::max(leasesExpireAt_, aNow + MaxLeaseDuration(lease));
  return WorkerClock(aNow) + lease.count();
}

/** Returns whether the announcement contradicts what is known of the worker. */
bool
WorkerKeeper::IsInvalid(const WorkerAnnouncement& aAnnouncement) const
{
  return startTimeSeen_ && aAnnouncement.facts_.startedAtMs_ == 0;
}

bool
WorkerKeeper::ConfirmsOtherService(const WorkerAnnouncement& aAnnouncement)
{
  const std::optional<WorkerAnnouncement> former =
    std::exchange(contradiction_, aAnnouncement);
  return former.has_value() &&
         former->facts_.service_ == aAnnouncement.facts_.service_ &&
         former->sequence_ < aAnnouncement.sequence_;
}

AnnouncementOutcome
WorkerKeeper::OnAnnounced(const WorkerAnnouncement& aAnnouncement, Instant aNow)
{
  if (IsInvalid(aAnnouncement)) {
    return AnnouncementOutcome::Invalid;
  }
  const WorkerIncarnation announced = aAnnouncement.facts_.Incarnation();
  if (pastIncarnations_.contains(announced) ||
      (leaving_ && announced == Incarnation())) {
    return AnnouncementOutcome::Ignored;
  }
  if (facts_.id_.empty()) {
    BeginIncarnation(aAnnouncement, fence_, aNow);
    return AnnouncementOutcome::Accepted;
  }
  if (announced != Incarnation()) {
    // Either the worker has restarted after a crash, or this announcement of an
    // earlier incarnation was delayed. A probe of the worker decides.
    candidate_ = aAnnouncement;
    nextHoldAt_ = aNow;
    return AnnouncementOutcome::Accepted;
  }
  // A process does not change its service, so one of the two announcements is
  // from another writer: this one, or the first one after the side's start.
  const bool otherService = aAnnouncement.facts_.service_ != facts_.service_;
  if (otherService && !ConfirmsOtherService(aAnnouncement)) {
    return AnnouncementOutcome::Invalid;
  }
  contradiction_.reset();
  if (aAnnouncement.sequence_ < sequence_ && !otherService) {
    return AnnouncementOutcome::Ignored;
  }
  leaveUnverified_ = leaveUnverified_ && aAnnouncement.sequence_ == sequence_;
  sequence_ = aAnnouncement.sequence_;
  const bool changed =
    facts_.draining_ != aAnnouncement.facts_.draining_ ||
    facts_.remainingMicros_ != aAnnouncement.facts_.remainingMicros_;
  const bool answers = facts_.answers_;
  facts_ = aAnnouncement.facts_;
  facts_.answers_ = answers;
  if (clockReadAt_ == Instant()) {
    clockMs_ = aAnnouncement.clockMs_;
    clockReadAt_ = aNow;
  }
  reportDue_ = reportDue_ || changed || otherService;
  return AnnouncementOutcome::Accepted;
}

bool
WorkerKeeper::HasPastIncarnation(const std::string& aWorkerId) const
{
  const auto first = pastIncarnations_.lower_bound({ aWorkerId, 0 });
  return first != pastIncarnations_.end() && first->id_ == aWorkerId;
}

void
WorkerKeeper::BeginIncarnation(const WorkerAnnouncement& aAnnouncement,
                               std::uint64_t aMinFence,
                               Instant aNow)
{
  predatesSide_ = !incarnationSeen_;
  incarnationSeen_ = true;
  if (!facts_.id_.empty()) {
    pastIncarnations_.insert(Incarnation());
    RemoveAllRuns();
  }
  restartedUnderId_ = aAnnouncement.facts_.startedAtMs_ != 0 &&
                      HasPastIncarnation(aAnnouncement.facts_.id_);
  if (restartedUnderId_) {
    // Calls with the present fence may have been sent to the former
    // incarnation, and the new one has received no fence.
    fence_ = std::max(fence_ + 1, aMinFence);
    AssumeUnknownLeases(aNow);
  }
  facts_ = aAnnouncement.facts_;
  facts_.answers_ = false;
  contradiction_.reset();
  leaving_ = false;
  leaveUnverified_ = false;
  otherAnswers_ = false;
  sequence_ = aAnnouncement.sequence_;
  clockMs_ = aAnnouncement.clockMs_;
  clockReadAt_ = aNow;
  renewUntil_ = aNow + kRenewalTimeout;
  runsKnown_ = false;
  ends_.clear();
  endsStored_ = 0;
  endsReported_ = 0;
  candidate_.reset();
  nextHoldAt_ = aNow;
}

void
WorkerKeeper::RemoveAllRuns()
{
  runs_.clear();
  refused_.clear();
  std::erase_if(calls_, [](const auto& aEntry) {
    return aEntry.second.kind_ == CallInFlight::Kind::Start ||
           aEntry.second.kind_ == CallInFlight::Kind::Stop ||
           aEntry.second.kind_ == CallInFlight::Kind::Pace;
  });
  ordersInFlight_ = 0;
  reportDue_ = true;
}

bool
WorkerKeeper::OnWorkerLeft(const std::string& aWorkerId,
                           Instant aNow,
                           std::int64_t aStartedAtMs)
{
  // The worker exits once this message is answered, or some seconds later if
  // the answer is lost. Its runs may continue until its port refuses.
  const WorkerIncarnation left{ aWorkerId, aStartedAtMs };
  const bool isCandidate =
    candidate_.has_value() && candidate_->facts_.Incarnation() == left;
  if (isCandidate) {
    candidate_.reset();
  }
  if (left == Incarnation()) {
    leaving_ = true;
    nextHoldAt_ = aNow;
    facts_.draining_ = true;
    reportDue_ = true;
    return true;
  }
  if (!left.HasStartTime() && aWorkerId == facts_.id_) {
    leaveUnverified_ = true;
    nextHoldAt_ = aNow;
    return true;
  }
  return isCandidate;
}

void
WorkerKeeper::EndIncarnation()
{
  // The runs of a worker end with its process.
  leaving_ = false;
  leaveUnverified_ = false;
  otherAnswers_ = false;
  pastIncarnations_.insert(Incarnation());
  facts_ = WorkerDescription();
  RemoveAllRuns();
  ends_.clear();
  endsStored_ = 0;
  endsReported_ = 0;
  runsKnown_ = true;
}

/**
 * Ends an incarnation that has never answered and in whose place another one
 * answers: its announcement was late.
 *
 * The other one may have runs from before the start of this side, so nothing is
 * reported until it has answered a hold.
 */
void
WorkerKeeper::EndUnansweredIncarnation(Instant aNow)
{
  EndIncarnation();
  runsKnown_ = false;
  incarnationSeen_ = false;
  portRefusals_ = 0;
  nextHoldAt_ = aNow + kHoldRetry;
}

/**
 * Extends the latest possible end of all leases for runs that the worker may
 * have started by late calls: their leases are in ms of the clock of a former
 * incarnation, and the worker shortens them to the maximum.
 */
void
WorkerKeeper::AssumeUnknownLeases(Instant aNow)
{
  leasesExpireAt_ =
    std::max(leasesExpireAt_, aNow + MaxLeaseDuration(settings_.maxLease_));
}

void
WorkerKeeper::OnLeaderLink(Instant aNow)
{
  (void)aNow;
  linked_ = true;
  pacing_.OnLinked();
  ordersSeen_ = 0;
  endsReported_ = endsStored_;
  reportDue_ = true;
}

bool
WorkerKeeper::OnOrders(const FleetOrders& aOrders, Instant aNow)
{
  if (aOrders.epoch_ < epoch_) {
    return false;
  }
  epoch_ = aOrders.epoch_;
  lastOrders_ = aNow;
  ordersSeen_ = aOrders.sequence_;
  const Instant until =
    Instant(Micros(static_cast<std::int64_t>(aOrders.echoMicros_))) +
    Micros(static_cast<std::int64_t>(aOrders.leaseMicros_));
  authorityUntil_ = std::max(authorityUntil_, until);
  highFrequencyUntil_ = Instant(Micros(static_cast<std::int64_t>(
    aOrders.echoMicros_ + aOrders.highFrequencyMicros_)));
  if (WorkerIncarnation{ aOrders.workerId_, aOrders.workerStartedAtMs_ } !=
      Incarnation()) {
    // The orders address a past incarnation of the worker, whose runs are gone;
    // the next report shows that.
    reportDue_ = true;
    return true;
  }
  if (aOrders.endsStored_ > endsStored_) {
    endsStored_ = aOrders.endsStored_;
    ends_.erase(ends_.begin(), ends_.upper_bound(endsStored_));
    nextHoldAt_ = aNow;
  }
  for (const StartOrder& order : aOrders.starts_) {
    const auto [entry, added] =
      runs_.try_emplace(RunKey(order.task_, order.run_));
    if (added) {
      entry->second.order_ = order;
      entry->second.pace_ = kUncappedPace;
      entry->second.appliedPace_ = kUncappedPace;
      entry->second.startUntil_ =
        Instant(Micros(static_cast<std::int64_t>(aOrders.startsUntilMicros_)));
      entry->second.nextCallAt_ = aNow;
    }
  }
  for (const StopOrder& order : aOrders.stops_) {
    const auto found = runs_.find(RunKey(order.task_, order.run_));
    if (found == runs_.end()) {
      reportDue_ = true;
    } else if (found->second.phase_ != Phase::Stopping) {
      found->second.phase_ = Phase::Stopping;
      found->second.nextCallAt_ = aNow;
    }
  }
  for (const PaceOrder& order : aOrders.paces_) {
    const auto found = runs_.find(RunKey(order.task_, order.run_));
    if (found != runs_.end()) {
      found->second.pace_ = order.percent_;
    }
  }
  ApplyProfiles(aOrders);
  // After the paces: once the leader is in charge again, only they apply.
  pacing_.OnOrders(
    Instant(Micros(static_cast<std::int64_t>(aOrders.echoMicros_))), aNow);
  return true;
}

void
WorkerKeeper::OnSuspended(Millis aGap)
{
  // The worker's clock stopped during the suspension as well. Extrapolation
  // from its last reading would set the end of a lease too late by aGap.
  if (clockReadAt_ != Instant()) {
    clockReadAt_ += aGap;
  }
  // The worker received no call during the suspension, so that time does not
  // count as time without an answer.
  renewUntil_ += aGap;
}

void
WorkerKeeper::OnStopping(Instant aNow)
{
  stopping_ = true;
  nextHoldAt_ = aNow;
  if (facts_.id_.empty() || runs_.empty()) {
    stopHoldDone_ = true;
  }
}

CallHeader
WorkerKeeper::Head(CallInFlight aCall, Millis aTimeout, Instant aNow)
{
  const bool probe = aCall.kind_ == CallInFlight::Kind::Probe;
  aCall.startedAtMs_ =
    probe ? candidate_->facts_.startedAtMs_ : facts_.startedAtMs_;
  // The incarnation in use, if it is still alive, accepts the higher fence as
  // well; its next calls are then refused until fence_ is raised.
  aCall.fence_ = probe && aCall.startedAtMs_ != 0 ? fence_ + 1 : fence_;
  CallHeader head;
  head.id_ = nextCall_++;
  head.workerId_ = aCall.workerId_;
  head.fence_ = aCall.fence_;
  head.deadline_ = aNow + aTimeout;
  aCall.sentAt_ = aNow;
  calls_.emplace(head.id_, std::move(aCall));
  return head;
}

Millis
WorkerKeeper::HoldWait(Instant aNow) const
{
  if (aNow < highFrequencyUntil_ ||
      (PacesLocally() && pacing_.InForce() && HasSharing())) {
    return kHighFrequencyReportPeriod;
  }
  return runs_.empty() ? kIdleHoldWait : kHoldWait;
}

bool
WorkerKeeper::HasUnstoredEnds() const
{
  return !ends_.empty();
}

void
WorkerKeeper::AddHold(std::vector<WorkerCall>& aCalls, Instant aNow)
{
  const bool holdBeforeStop = stopping_ && !stopHoldSent_ && !stopHoldDone_;
  if (facts_.id_.empty() ||
      (!holdBeforeStop && (holdInFlight_ || aNow < nextHoldAt_))) {
    return;
  }
  HoldCall call;
  CallInFlight open;
  if (candidate_.has_value() && !holdBeforeStop) {
    open.kind_ = CallInFlight::Kind::Probe;
    open.workerId_ = candidate_->facts_.id_;
    call.wait_ = Millis(0);
  } else if (otherAnswers_ && !holdBeforeStop) {
    // An acknowledgement or a lease would apply to the other incarnation.
    open.kind_ = CallInFlight::Kind::Hold;
    open.workerId_ = facts_.id_;
    call.wait_ = Millis(0);
  } else {
    open.kind_ = CallInFlight::Kind::Hold;
    open.workerId_ = facts_.id_;
    call.endsStored_ = endsStored_;
    call.wait_ = HoldWait(aNow);
    open.beforeStop_ = holdBeforeStop;
    call.leaseUntilMs_ =
      LeaseUntil(holdBeforeStop ? settings_.maxLease_ : kWorkerLease, aNow);
    if (!runsKnown_ || holdBeforeStop) {
      call.wait_ = Millis(0);
    }
  }
  stopHoldSent_ = stopHoldSent_ || holdBeforeStop;
  holdInFlight_ = true;
  call.head_ = Head(std::move(open), call.wait_ + kHoldTimeout, aNow);
  aCalls.emplace_back(std::move(call));
}

bool
WorkerKeeper::AddStart(std::vector<WorkerCall>& aCalls,
                       const RunKey& aKey,
                       LocalRun& aRun,
                       Instant aNow)
{
  const auto until = LeaseUntil(kWorkerLease, aNow);
  if (!until.has_value()) {
    return false;
  }
  CallInFlight open;
  open.kind_ = CallInFlight::Kind::Start;
  open.key_ = aKey;
  open.workerId_ = facts_.id_;
  StartCall call;
  call.order_ = aRun.order_;
  call.leaseUntilMs_ = *until;
  call.head_ = Head(std::move(open), kOrderTimeout, aNow);
  aCalls.emplace_back(std::move(call));
  return true;
}

void
WorkerKeeper::AddOrders(std::vector<WorkerCall>& aCalls, Instant aNow)
{
  for (auto& [key, run] : runs_) {
    if (ordersInFlight_ >= kMaxOrdersInFlight) {
      return;
    }
    if (PaceIsDue(run, aNow)) {
      AddPace(aCalls, key, run, aNow);
    }
    if (run.callInFlight_ || aNow < run.nextCallAt_) {
      continue;
    }
    if (run.phase_ == Phase::Starting) {
      if (AddStart(aCalls, key, run, aNow)) {
        run.callInFlight_ = true;
        ++ordersInFlight_;
      }
    } else if (run.phase_ == Phase::Stopping && !run.stopAnswered_) {
      CallInFlight open;
      open.kind_ = CallInFlight::Kind::Stop;
      open.key_ = key;
      open.workerId_ = facts_.id_;
      StopCall call;
      call.order_ = { key.first, key.second };
      call.head_ = Head(std::move(open), kOrderTimeout, aNow);
      aCalls.emplace_back(std::move(call));
      run.callInFlight_ = true;
      ++ordersInFlight_;
    }
  }
}

/**
 * Returns why a start without an answer must not be called again; std::nullopt
 * if it may be.
 *
 * A worker that is leaving accepts new runs only for a short time. A call after
 * the expiry of the order could start a task whose job has been cancelled in
 * the meantime.
 */
std::optional<StartRejection>
WorkerKeeper::WithdrawalReason(const LocalRun& aRun, Instant aNow) const
{
  if (aRun.phase_ != Phase::Starting || aRun.callInFlight_) {
    return std::nullopt;
  }
  if (facts_.draining_) {
    return StartRejection::Other;
  }
  if (aNow >= aRun.startUntil_) {
    return StartRejection::Expired;
  }
  return std::nullopt;
}

void
WorkerKeeper::WithdrawStarts(Instant aNow)
{
  for (auto entry = runs_.begin(); entry != runs_.end();) {
    const std::optional<StartRejection> why =
      WithdrawalReason(entry->second, aNow);
    if (!why.has_value()) {
      ++entry;
      continue;
    }
    entry = WithdrawStart(entry, *why);
  }
}

/**
 * Withdraws a start that the worker has not accepted; returns the next run.
 *
 * The worker may still execute a call without an answer, and only a stop makes
 * it refuse that call permanently. It may also have executed the call already,
 * and the run may have ended. A start with an unknown outcome is therefore
 * stopped first. It is refused once the worker has listed the run neither as
 * running nor as ended for the maximum duration of a stop.
 */
WorkerKeeper::Runs::iterator
WorkerKeeper::WithdrawStart(Runs::iterator aEntry, StartRejection aWhy)
{
  LocalRun& run = aEntry->second;
  if (run.startOutcomeUnknown_) {
    run.phase_ = Phase::Stopping;
    run.refusal_ = aWhy;
    return std::next(aEntry);
  }
  return RefuseStart(aEntry, aWhy);
}

/** Reports to the leader that the run did not start; returns the next run. */
WorkerKeeper::Runs::iterator
WorkerKeeper::RefuseStart(Runs::iterator aEntry, StartRejection aWhy)
{
  refused_.push_back({ aEntry->first.first, aEntry->first.second, aWhy });
  reportDue_ = true;
  return runs_.erase(aEntry);
}

std::vector<WorkerCall>
WorkerKeeper::TakeCalls(Instant aNow)
{
  CheckLeases(aNow);
  pacing_.OnTime(aNow);
  std::vector<WorkerCall> calls;
  if (facts_.id_.empty()) {
    AddPortCheck(calls, aNow);
    return calls;
  }
  WithdrawStarts(aNow);
  // Until the first hold is answered, the worker may still execute calls of an
  // earlier incarnation of this side; the hold raises the fence.
  if (runsKnown_ && aNow >= earlierStopsEndAt_ && !stopping_ &&
      !otherAnswers_) {
    AddOrders(calls, aNow);
  }
  AddHold(calls, aNow);
  return calls;
}

bool
WorkerKeeper::AddPortCheck(std::vector<WorkerCall>& aCalls, Instant aNow)
{
  if (incarnationSeen_ || runsKnown_ || holdInFlight_ || aNow < nextHoldAt_) {
    return false;
  }
  CallInFlight open;
  open.kind_ = CallInFlight::Kind::PortCheck;
  HoldCall call;
  holdInFlight_ = true;
  call.head_ = Head(std::move(open), kHoldTimeout, aNow);
  aCalls.emplace_back(std::move(call));
  return true;
}

void
WorkerKeeper::OnPortCheckAnswer(const CallAnswer& aAnswer, Instant aNow)
{
  nextHoldAt_ = aNow + kHoldRetry;
  if (aAnswer.outcome_ != CallOutcome::PortRefused) {
    portRefusals_ = 0;
    return;
  }
  // The host has restarted and the worker has not, so nothing runs there.
  // Without this check a leader would wait for the end of all possible leases,
  // about ten seconds after a power failure.
  if (++portRefusals_ >= kRefusalsWithoutWorker) {
    runsKnown_ = true;
    earlierStopsEndAt_ = aNow;
    reportDue_ = true;
  }
}

void
WorkerKeeper::CheckLeases(Instant aNow)
{
  const bool answers =
    runsKnown_ && !facts_.id_.empty() && aNow - lastAnswerAt_ < kAnswerTimeout;
  if (answers != facts_.answers_) {
    facts_.answers_ = answers;
    reportDue_ = true;
  }
  if (answers || aNow <= leasesExpireAt_) {
    return;
  }
  // All leases of the unresponsive worker have expired by now.
  if (leaving_) {
    EndIncarnation();
  } else if (!runs_.empty()) {
    RemoveAllRuns();
  }
  runsKnown_ = runsKnown_ || facts_.id_.empty();
}

bool
WorkerKeeper::IsCurrent(const CallInFlight& aCall) const
{
  return WorkerIncarnation{ aCall.workerId_, aCall.startedAtMs_ } ==
         Incarnation();
}

/**
 * Returns whether the answer is not from the incarnation that the call is meant
 * for. Only lists of runs always contain the start time of their worker.
 */
bool
WorkerKeeper::IsOfOtherIncarnation(const CallInFlight& aCall,
                                   const CallAnswer& aAnswer)
{
  const bool hasLists = (aCall.kind_ == CallInFlight::Kind::Hold ||
                         aCall.kind_ == CallInFlight::Kind::Probe) &&
                        aAnswer.outcome_ == CallOutcome::Accepted;
  return aAnswer.startedAtMs_ != aCall.startedAtMs_ &&
         (hasLists || aAnswer.startedAtMs_ != 0);
}

void
WorkerKeeper::OnAnswer(std::uint64_t aCall,
                       const CallAnswer& aAnswer,
                       Instant aNow)
{
  const auto found = calls_.find(aCall);
  if (found == calls_.end()) {
    return;
  }
  const CallInFlight call = found->second;
  calls_.erase(found);
  startTimeSeen_ = startTimeSeen_ || aAnswer.startedAtMs_ != 0;
  if (aAnswer.outcome_ == CallOutcome::Fenced && call.fence_ >= fence_) {
    fence_ += kFenceIncrement;
  }
  const bool fromOther = IsOfOtherIncarnation(call, aAnswer);
  // Another incarnation may have executed the order, which the one in use has
  // not answered.
  const CallAnswer none;
  const CallAnswer& answer = fromOther ? none : aAnswer;
  if (!fromOther && IsCurrent(call) && aAnswer.clockMs_.has_value()) {
    clockMs_ = *aAnswer.clockMs_;
    clockReadAt_ = aNow;
    lastAnswerAt_ = aNow;
    renewUntil_ = aNow + kRenewalTimeout;
  }
  switch (call.kind_) {
    case CallInFlight::Kind::Start:
      --ordersInFlight_;
      OnStartAnswer(call, answer, aNow);
      break;
    case CallInFlight::Kind::Stop:
      --ordersInFlight_;
      OnStopAnswer(call, answer, aNow);
      break;
    case CallInFlight::Kind::Pace:
      --ordersInFlight_;
      OnPaceAnswer(call, answer, aNow);
      break;
    case CallInFlight::Kind::Hold:
      holdInFlight_ = false;
      OnHoldAnswer(call, aAnswer, aNow);
      break;
    case CallInFlight::Kind::PortCheck:
      holdInFlight_ = false;
      OnPortCheckAnswer(aAnswer, aNow);
      break;
    case CallInFlight::Kind::Probe:
      holdInFlight_ = false;
      OnProbeAnswer(call, aAnswer, aNow);
      break;
  }
}

void
WorkerKeeper::OnStartAnswer(const CallInFlight& aCall,
                            const CallAnswer& aAnswer,
                            Instant aNow)
{
  const auto found = runs_.find(aCall.key_);
  if (found == runs_.end()) {
    return;
  }
  LocalRun& run = found->second;
  run.callInFlight_ = false;
  run.nextCallAt_ = aNow;
  StartRejection why = StartRejection::Other;
  switch (aAnswer.outcome_) {
    case CallOutcome::Accepted:
      if (run.phase_ == Phase::Starting) {
        run.phase_ = Phase::Running;
      }
      run.answeredAt_ = aNow;
      deferredReportDue_ = true;
      return;
    case CallOutcome::UnknownOutcome:
    case CallOutcome::Fenced:
    case CallOutcome::LeaseExpired:
    case CallOutcome::WrongIncarnation:
      // The start is retried; the next hold detects a wrong incarnation.
      run.startOutcomeUnknown_ =
        run.startOutcomeUnknown_ ||
        aAnswer.outcome_ == CallOutcome::UnknownOutcome;
      // The delay counts from the time of the call, so that a worker that
      // closes each connection at once is not called again at once.
      run.nextCallAt_ = std::max(aNow, aCall.sentAt_ + kOrderRetry);
      return;
    case CallOutcome::Old:
      why = StartRejection::Old;
      break;
    case CallOutcome::NoRoom:
      why = StartRejection::NoRoom;
      break;
    case CallOutcome::Ticket:
      why = StartRejection::Ticket;
      break;
    case CallOutcome::NotDone:
    case CallOutcome::PortRefused:
      break;
  }
  if (why == StartRejection::Old) {
    // The run ended before this answer; its end is listed or already stored.
    run.phase_ = Phase::Running;
    run.answeredAt_ = aNow;
    return;
  }
  WithdrawStart(found, why);
}

void
WorkerKeeper::OnStopAnswer(const CallInFlight& aCall,
                           const CallAnswer& aAnswer,
                           Instant aNow)
{
  const auto found = runs_.find(aCall.key_);
  if (found == runs_.end()) {
    return;
  }
  LocalRun& run = found->second;
  run.callInFlight_ = false;
  const bool accepted = aAnswer.outcome_ == CallOutcome::Accepted ||
                        aAnswer.outcome_ == CallOutcome::Old;
  if (!accepted) {
    run.nextCallAt_ = aNow + kOrderRetry;
    return;
  }
  // A worker answers each stop in the same way, so only its lists of runs and
  // ends show whether the run had started.
  run.stopAnswered_ = true;
  run.answeredAt_ = aNow;
}

void
WorkerKeeper::OnHoldAnswer(const CallInFlight& aCall,
                           const CallAnswer& aAnswer,
                           Instant aNow)
{
  stopHoldDone_ = stopHoldDone_ || aCall.beforeStop_;
  if (!IsCurrent(aCall)) {
    nextHoldAt_ = aNow;
    return;
  }
  const bool fromOther = IsOfOtherIncarnation(aCall, aAnswer);
  if (aAnswer.outcome_ == CallOutcome::WrongIncarnation &&
      !candidate_.has_value()) {
    // Another incarnation answers at this address, so this one has ended.
    if (runsKnown_) {
      EndIncarnation();
    } else {
      EndUnansweredIncarnation(aNow);
    }
    return;
  }
  if (aAnswer.outcome_ == CallOutcome::PortRefused &&
      (leaving_ || leaveUnverified_)) {
    EndIncarnation();
    return;
  }
  if (fromOther) {
    // Another incarnation answers under this id. It announces itself, and a
    // probe decides; until then nothing that it lists counts. The higher fence
    // of the next hold makes it refuse late calls already.
    otherAnswers_ = true;
    ++fence_;
    AssumeUnknownLeases(aNow);
    nextHoldAt_ = aNow + kHoldRetry;
    return;
  }
  if (aAnswer.outcome_ != CallOutcome::Accepted) {
    nextHoldAt_ = aNow + kHoldRetry;
    return;
  }
  if (!runsKnown_) {
    OnFirstHold(aNow);
  }
  runsKnown_ = true;
  otherAnswers_ = false;
  measuredAt_ = aNow;
  ApplyRunLists(aCall, aAnswer, aNow);
  ReadPressure(aAnswer, aNow);
  deferredReportDue_ = deferredReportDue_ || aNow < highFrequencyUntil_;
  nextHoldAt_ = HasUnstoredEnds() ? aNow + kUnstoredDelay : aNow;
}

/**
 * Handles the first hold that the worker has accepted in its incarnation. From
 * now on it refuses calls with a lower fence, but it may still be executing
 * stops of earlier ones, whose runs it does not list.
 */
void
WorkerKeeper::OnFirstHold(Instant aNow)
{
  const bool earlierStops = predatesSide_ || restartedUnderId_;
  earlierStopsEndAt_ =
    earlierStops ? aNow + settings_.stopTimeout_ + kStopMargin : aNow;
  if (restartedUnderId_) {
    AssumeUnknownLeases(aNow);
  }
}

void
WorkerKeeper::ApplyRunLists(const CallInFlight& aCall,
                            const CallAnswer& aAnswer,
                            Instant aNow)
{
  std::set<RunKey> listed;
  for (const RunStatus& fact : aAnswer.runs_) {
    const RunKey key(fact.task_, fact.run_);
    listed.insert(key);
    LocalRun& run = runs_[key];
    if (run.phase_ == Phase::Starting) {
      run.phase_ = Phase::Running;
      run.answeredAt_ = aCall.sentAt_;
    }
    run.refusal_.reset();
    run.checkpoint_ = fact.checkpoint_;
    run.percent_ = fact.percent_;
    run.measure_ = fact.measure_;
  }
  for (const RunEndReport& end : aAnswer.ends_) {
    if (end.number_ > endsStored_ && ends_.emplace(end.number_, end).second) {
      reportDue_ = true;
    }
    runs_.erase(RunKey(end.task_, end.run_));
  }
  if (aAnswer.endsTruncated_) {
    return;
  }
  RemoveMissingRuns(aCall, listed, aNow);
}

void
WorkerKeeper::RemoveMissingRuns(const CallInFlight& aCall,
                                const std::set<RunKey>& aListed,
                                Instant aNow)
{
  // A run that the worker does not list in an answer to a hold sent after the
  // run's last order was answered may still be stopping. Its resources stay
  // reserved for the maximum duration of a stop. Otherwise its task would start
  // elsewhere while it still runs, and its resources would be assigned twice.
  for (auto entry = runs_.begin(); entry != runs_.end();) {
    LocalRun& run = entry->second;
    const bool ordersComplete =
      run.phase_ == Phase::Running || run.stopAnswered_;
    const bool missing = ordersComplete && !run.callInFlight_ &&
                         run.answeredAt_ < aCall.sentAt_ &&
                         !aListed.contains(entry->first);
    if (!missing) {
      run.missingSince_.reset();
      ++entry;
      continue;
    }
    run.missingSince_ = run.missingSince_.value_or(aNow);
    if (aNow - *run.missingSince_ < settings_.stopTimeout_ + kStopMargin) {
      ++entry;
      continue;
    }
    if (run.refusal_.has_value()) {
      entry = RefuseStart(entry, *run.refusal_);
      continue;
    }
    entry = runs_.erase(entry);
    reportDue_ = true;
  }
}

void
WorkerKeeper::OnProbeAnswer(const CallInFlight& aCall,
                            const CallAnswer& aAnswer,
                            Instant aNow)
{
  nextHoldAt_ = aNow;
  const WorkerIncarnation probed{ aCall.workerId_, aCall.startedAtMs_ };
  const bool accepted = aAnswer.outcome_ == CallOutcome::Accepted;
  const bool fromOther = IsOfOtherIncarnation(aCall, aAnswer);
  const bool isCandidate =
    candidate_.has_value() && candidate_->facts_.Incarnation() == probed;
  if (isCandidate && accepted && !fromOther) {
    BeginIncarnation(*candidate_, aCall.fence_, aNow);
    return;
  }
  if (accepted) {
    // The incarnation in use has executed the probe with its higher fence.
    fence_ = std::max(fence_, aCall.fence_);
  }
  if (!isCandidate) {
    return;
  }
  const bool isOther =
    fromOther &&
    WorkerIncarnation{ aCall.workerId_, aAnswer.startedAtMs_ } == Incarnation();
  if (aAnswer.outcome_ == CallOutcome::WrongIncarnation || isOther) {
    pastIncarnations_.insert(probed);
    candidate_.reset();
    return;
  }
  nextHoldAt_ = aNow + kHoldRetry;
}

std::optional<FleetReport>
WorkerKeeper::TakeReport(Instant aNow)
{
  if (!linked_ || stopping_) {
    return std::nullopt;
  }
  const bool unknown = RunsAreUnknown(aNow) || aNow < earlierStopsEndAt_;
  const Millis interval =
    deferredReportDue_ ? kDeferredReportInterval : kReportPeriod;
  if (unknown || (!reportDue_ && aNow - reportedAt_ < interval)) {
    return std::nullopt;
  }
  reportDue_ = false;
  deferredReportDue_ = false;
  reportedAt_ = aNow;
  FleetReport report;
  report.clockMicros_ =
    static_cast<std::uint64_t>(aNow.time_since_epoch().count());
  report.ordersSeen_ = ordersSeen_;
  report.worker_ = facts_;
  report.measuredMicrosAgo_ =
    static_cast<std::uint64_t>((aNow - measuredAt_).count());
  for (const auto& [key, run] : runs_) {
    RunStatus fact;
    fact.task_ = key.first;
    fact.run_ = key.second;
    fact.starting_ = run.phase_ == Phase::Starting;
    fact.checkpoint_ = run.checkpoint_;
    fact.percent_ = run.percent_;
    fact.measure_ = run.measure_;
    fact.pace_ = static_cast<std::uint8_t>(
      run.appliedPace_.value_or(RunStatus::kUnknownPace));
    report.runs_.push_back(std::move(fact));
  }
  for (auto end = ends_.upper_bound(endsReported_); end != ends_.end(); ++end) {
    report.ends_.push_back(end->second);
    endsReported_ = end->first;
  }
  report.refused_ = std::exchange(refused_, {});
  pacing_.OnReportSent(aNow, PacesAreApplied());
  return report;
}

// Local pacing.

bool
WorkerKeeper::PacesLocally() const
{
  return IsEnabled(settings_.localPacing_,
                   facts_.startedAtMs_ == 0 ? WorkerProtocol::IdOnly
                                            : WorkerProtocol::WithStartTime);
}

void
WorkerKeeper::ApplyProfiles(const FleetOrders& aOrders)
{
  for (const RunProfile& profile : aOrders.profiles_) {
    const auto found = runs_.find(RunKey(profile.task_, profile.run_));
    if (found != runs_.end()) {
      found->second.latencyObjectiveMs_ = profile.latencyObjectiveMs_;
      found->second.backfill_ = profile.backfill_;
    }
  }
}

bool
WorkerKeeper::HasSharing() const
{
  bool serves = false;
  bool backfill = false;
  for (const auto& [key, run] : runs_) {
    serves = serves || run.latencyObjectiveMs_ > 0;
    backfill = backfill || run.backfill_;
  }
  return serves && backfill;
}

std::optional<std::uint32_t>
WorkerKeeper::WantedPace(const LocalRun& aRun) const
{
  const std::uint32_t cap = PacesLocally() ? pacing_.Cap() : kUncappedPace;
  if (!aRun.backfill_ || cap == kUncappedPace) {
    return aRun.pace_;
  }
  return std::min(aRun.pace_.value_or(kUncappedPace), cap);
}

bool
WorkerKeeper::PaceIsDue(const LocalRun& aRun, Instant aNow) const
{
  const std::optional<std::uint32_t> wanted = WantedPace(aRun);
  const bool maybeUndone = PacesLocally() && aNow < aRun.latePaceUntil_ &&
                           aNow - aRun.pacedAt_ >= kPaceRepetition;
  return aRun.phase_ != Phase::Starting && !aRun.stopAnswered_ &&
         wanted.has_value() && (wanted != aRun.appliedPace_ || maybeUndone) &&
         !aRun.paceCallInFlight_ && aNow >= aRun.nextCallAt_;
}

/** Whether all backfill works at the pace that it is meant to have. */
bool
WorkerKeeper::PacesAreApplied() const
{
  return std::none_of(runs_.begin(), runs_.end(), [this](const auto& aEntry) {
    const LocalRun& run = aEntry.second;
    const std::optional<std::uint32_t> wanted = WantedPace(run);
    return run.backfill_ && run.phase_ == Phase::Running &&
           wanted.has_value() && wanted != run.appliedPace_;
  });
}

void
WorkerKeeper::ReadPressure(const CallAnswer& aAnswer, Instant aNow)
{
  pressure_ = 0;
  for (const RunStatus& fact : aAnswer.runs_) {
    const auto found = runs_.find(RunKey(fact.task_, fact.run_));
    // A long-running task that is not operating yet has no latency.
    if (found != runs_.end() && found->second.latencyObjectiveMs_ > 0 &&
        fact.percent_ >= 100) {
      pressure_ = std::max(pressure_,
                           static_cast<double>(fact.measure_) /
                             found->second.latencyObjectiveMs_);
    }
  }
  std::uint32_t highest = 0;
  bool any = false;
  for (const auto& [key, run] : runs_) {
    if (run.backfill_) {
      any = true;
      highest = std::max(highest, WantedPace(run).value_or(kUncappedPace));
    }
  }
  pacing_.OnReading({ aNow, pressure_, any ? highest : kUncappedPace });
}

void
WorkerKeeper::AddPace(std::vector<WorkerCall>& aCalls,
                      const RunKey& aKey,
                      LocalRun& aRun,
                      Instant aNow)
{
  const std::uint32_t pace = WantedPace(aRun).value_or(kUncappedPace);
  CallInFlight open;
  open.kind_ = CallInFlight::Kind::Pace;
  open.key_ = aKey;
  open.workerId_ = facts_.id_;
  open.pace_ = pace;
  PaceCall call;
  call.order_ = { aKey.first, aKey.second, pace };
  call.head_ = Head(std::move(open), kOrderTimeout, aNow);
  aCalls.emplace_back(std::move(call));
  aRun.paceCallInFlight_ = true;
  ++ordersInFlight_;
}

void
WorkerKeeper::OnPaceAnswer(const CallInFlight& aCall,
                           const CallAnswer& aAnswer,
                           Instant aNow)
{
  const auto found = runs_.find(aCall.key_);
  if (found == runs_.end()) {
    return;
  }
  LocalRun& run = found->second;
  run.paceCallInFlight_ = false;
  if (aAnswer.outcome_ != CallOutcome::Accepted) {
    run.nextCallAt_ = aNow + kOrderRetry;
    if (aAnswer.outcome_ == CallOutcome::UnknownOutcome) {
      run.latePaceUntil_ = aCall.sentAt_ + kLateCallBound;
    }
    return;
  }
  run.appliedPace_ = aCall.pace_;
  run.pacedAt_ = aNow;
  // The cap is lifted only after the leader has seen the paces in force.
  deferredReportDue_ = deferredReportDue_ || pacing_.InForce();
}

}
