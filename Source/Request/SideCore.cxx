#include "Request/SideCore.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace cactusrail {

namespace {

/** Time for which attempt ids are stored after their deadline. */
constexpr Millis kAttemptIdLifetime{ 60000 };

/** Weight of the newest answer in the estimated service time. */
constexpr double kServiceTimeSmoothing = 0.1;

/** Maximum remaining time to a deadline: one day. Longer times are clamped. */
constexpr std::uint64_t kMaxRemainingMicros = 86400000000;

enum class AttemptState : std::uint8_t
{
  Queued,
  Running,
};

struct Attempt
{
  LinkId link_ = 0;
  bool linkLost_ = false;
  AttemptState state_ = AttemptState::Queued;
  DispatchMessage dispatch_;
  Instant deadline_;
  Instant arrivedAt_;
  Instant startedAt_;
  /** Position in the queue; 0 once the attempt runs. */
  std::uint64_t queuePosition_ = 0;
};

Micros
TimeLeft(const DispatchMessage& aDispatch)
{
  return Micros(std::min(aDispatch.remainingMicros_, kMaxRemainingMicros));
}

}

class SideCore::Private
{
public:
  explicit Private(const Limits& aLimits)
    : limits_(aLimits)
    , serviceMicros_(static_cast<double>(aLimits.assumedServiceTime_.count()))
  {
  }

  using Actions = std::vector<SideAction>;

  static void Record(Actions& aActions,
                     const std::string& aRequestId,
                     std::string aStep,
                     Verdict aVerdict,
                     bool aConclusive,
                     std::string aDetail,
                     std::string aAttemptId);
  void Refuse(Actions& aActions,
              LinkId aLink,
              const DispatchMessage& aDispatch,
              std::string aReason,
              Millis aRetryAfter) const;
  void StoreAttemptId(const std::string& aAttemptId, Instant aForgetAt);
  bool HasEnded(std::uint64_t aIncarnation) const;
  void EndIncarnation(std::uint64_t aIncarnation);
  std::string ReasonToRefuse(const DispatchMessage& aDispatch,
                             Instant aNow) const;
  void Start(Actions& aActions, const std::string& aAttemptId, Instant aNow);
  void StartQueued(Actions& aActions, Instant aNow);
  void RefuseQueued(Actions& aActions, const std::string& aReason);
  void DropQueued(const std::string& aAttemptId);
  void LeaveQueue(const Attempt& aAttempt);
  void UpdateServiceTime(Micros aTook);
  void Finish(Actions& aActions, AnswerMessage aAnswer, Instant aNow);
  void RemoveExpiredIds(Instant aNow);
  Micros ExpectedWait(Instant aNow) const;
  Millis RetryAfter(const DispatchMessage& aDispatch, Instant aNow) const;

  Limits limits_;
  std::optional<Announcement> upstream_;
  /** Incarnation of the latest accepted announcement, expired or not. */
  std::uint64_t lastIncarnation_ = 0;
  bool upstreamLeaving_ = false;
  bool stopping_ = false;
  std::unordered_map<std::string, Attempt> attempts_;
  /** Waiting attempts in queue order. */
  std::map<std::uint64_t, std::string> queue_;
  /** Total size of the waiting bodies. */
  std::size_t queuedBytes_ = 0;
  std::uint64_t nextQueuePosition_ = 1;
  /** Smoothed service time of attempts at the upstream. */
  double serviceMicros_;
  std::size_t running_ = 0;
  /** Accepted and refused attempt ids, with their expiry times. */
  std::unordered_set<std::string> seenAttempts_;
  std::set<std::pair<Instant, std::string>> seenAttemptsOrder_;
  /** Upstream incarnations that left or were replaced. */
  std::deque<std::uint64_t> endedIncarnations_;
};

void
SideCore::Private::Record(Actions& aActions,
                          const std::string& aRequestId,
                          std::string aStep,
                          Verdict aVerdict,
                          bool aConclusive,
                          std::string aDetail,
                          std::string aAttemptId)
{
  aActions.emplace_back(RecordStep{ MakeStep(aRequestId,
                                             std::move(aStep),
                                             aVerdict,
                                             aConclusive,
                                             std::move(aDetail),
                                             std::move(aAttemptId)) });
}

void
SideCore::Private::Refuse(Actions& aActions,
                          LinkId aLink,
                          const DispatchMessage& aDispatch,
                          std::string aReason,
                          Millis aRetryAfter) const
{
  Record(aActions,
         aDispatch.requestId_,
         "refused",
         Verdict::DidNotRun,
         false,
         aReason,
         aDispatch.attemptId_);
  AnswerMessage answer;
  answer.requestId_ = aDispatch.requestId_;
  answer.attemptId_ = aDispatch.attemptId_;
  answer.verdict_ = Verdict::DidNotRun;
  answer.reason_ = std::move(aReason);
  answer.retryAfterMs_ = static_cast<std::uint32_t>(aRetryAfter.count());
  aActions.emplace_back(SendAnswer{ aLink, std::move(answer) });
}

void
SideCore::Private::StoreAttemptId(const std::string& aAttemptId,
                                  Instant aForgetAt)
{
  seenAttempts_.insert(aAttemptId);
  seenAttemptsOrder_.emplace(aForgetAt, aAttemptId);
}

bool
SideCore::Private::HasEnded(std::uint64_t aIncarnation) const
{
  return std::find(endedIncarnations_.begin(),
                   endedIncarnations_.end(),
                   aIncarnation) != endedIncarnations_.end();
}

void
SideCore::Private::EndIncarnation(std::uint64_t aIncarnation)
{
  if (HasEnded(aIncarnation)) {
    return;
  }
  endedIncarnations_.push_back(aIncarnation);
  if (endedIncarnations_.size() > limits_.maxEndedIncarnations_) {
    endedIncarnations_.pop_front();
  }
}

std::string
SideCore::Private::ReasonToRefuse(const DispatchMessage& aDispatch,
                                  Instant aNow) const
{
  if (stopping_) {
    return "The side is stopping.";
  }
  if (!upstream_.has_value() || upstream_->deadline_ <= aNow) {
    return "No upstream is announced here.";
  }
  if (upstreamLeaving_) {
    return "The upstream is leaving.";
  }
  if (aDispatch.upstreamIncarnation_ != upstream_->incarnation_) {
    return "The upstream was started anew since the entry last heard of it.";
  }
  if (aDispatch.remainingMicros_ == 0) {
    return "The deadline had passed on arrival.";
  }
  if (running_ < upstream_->slots_) {
    return {};
  }
  if (queue_.size() >= limits_.maxQueued_ ||
      queuedBytes_ + aDispatch.body_.size() > limits_.maxQueuedBytes_) {
    return "All slots are taken and the queue is full.";
  }
  if (ExpectedWait(aNow) > TimeLeft(aDispatch)) {
    return "All slots are taken, and no slot would be free in time.";
  }
  return {};
}

/**
 * Estimates the time for which an attempt that arrives now waits for a slot.
 *
 * The estimate uses the larger of the service time of answered attempts and the
 * mean time that the running attempts have taken so far, because an upstream
 * that hangs gives no answers to measure.
 */
Micros
SideCore::Private::ExpectedWait(Instant aNow) const
{
  if (running_ < upstream_->slots_) {
    return Micros(0);
  }
  Micros elapsed{ 0 };
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.state_ == AttemptState::Running) {
      elapsed += aNow - attempt.startedAt_;
    }
  }
  const auto running = static_cast<double>(running_);
  const double service =
    std::max(serviceMicros_, static_cast<double>(elapsed.count()) / running);
  const auto ahead = static_cast<double>(queue_.size() + 1);
  const double slots = std::max<double>(1, upstream_->slots_);
  return Micros(static_cast<std::int64_t>(service * ahead / slots));
}

/** Estimates the delay after which an attempt with the same remaining time
 * would be accepted. */
Millis
SideCore::Private::RetryAfter(const DispatchMessage& aDispatch,
                              Instant aNow) const
{
  if (!upstream_.has_value()) {
    return limits_.retryAfter_;
  }
  const Micros late = ExpectedWait(aNow) - TimeLeft(aDispatch);
  return std::max(limits_.retryAfter_, std::chrono::ceil<Millis>(late));
}

void
SideCore::Private::Start(Actions& aActions,
                         const std::string& aAttemptId,
                         Instant aNow)
{
  Attempt& attempt = attempts_.at(aAttemptId);
  attempt.state_ = AttemptState::Running;
  attempt.startedAt_ = aNow;
  LeaveQueue(attempt);
  ++running_;
  Record(aActions,
         attempt.dispatch_.requestId_,
         "started",
         Verdict::MayHaveRun,
         false,
         "sent to the upstream",
         aAttemptId);
  CallUpstream call;
  call.attemptId_ = aAttemptId;
  call.url_ = "http://" + upstream_->address_ + ":" +
              std::to_string(upstream_->port_) + attempt.dispatch_.target_;
  call.dispatch_ = attempt.dispatch_;
  // Closing the call at the deadline would leave the outcome of an at-most-once
  // request unknown forever. The caller has its answer by then; the outcome is
  // stored for a retry with the same key.
  const bool atMostOnce = !attempt.dispatch_.idempotent_;
  call.deadline_ =
    attempt.deadline_ + (atMostOnce ? limits_.outcomeGrace_ : Millis(0));
  aActions.emplace_back(std::move(call));
}

void
SideCore::Private::StartQueued(Actions& aActions, Instant aNow)
{
  const bool open = upstream_.has_value() && upstream_->deadline_ > aNow;
  while (open && !queue_.empty() && running_ < upstream_->slots_) {
    Start(aActions, std::string(queue_.begin()->second), aNow);
  }
}

void
SideCore::Private::RefuseQueued(Actions& aActions, const std::string& aReason)
{
  for (const auto& [turn, attemptId] : queue_) {
    const Attempt& attempt = attempts_.at(attemptId);
    Refuse(
      aActions, attempt.link_, attempt.dispatch_, aReason, limits_.retryAfter_);
    attempts_.erase(attemptId);
  }
  queue_.clear();
  queuedBytes_ = 0;
}

void
SideCore::Private::DropQueued(const std::string& aAttemptId)
{
  const auto found = attempts_.find(aAttemptId);
  LeaveQueue(found->second);
  attempts_.erase(found);
}

void
SideCore::Private::LeaveQueue(const Attempt& aAttempt)
{
  queue_.erase(aAttempt.queuePosition_);
  queuedBytes_ -= aAttempt.dispatch_.body_.size();
}

void
SideCore::Private::UpdateServiceTime(Micros aTook)
{
  serviceMicros_ += kServiceTimeSmoothing *
                    (static_cast<double>(aTook.count()) - serviceMicros_);
}

void
SideCore::Private::Finish(Actions& aActions,
                          AnswerMessage aAnswer,
                          Instant aNow)
{
  const auto found = attempts_.find(aAnswer.attemptId_);
  if (found == attempts_.end()) {
    return;
  }
  const Attempt& attempt = found->second;
  aAnswer.requestId_ = attempt.dispatch_.requestId_;
  aAnswer.queuedMicros_ = static_cast<std::uint64_t>(
    (attempt.startedAt_ - attempt.arrivedAt_).count());
  aAnswer.servedMicros_ =
    static_cast<std::uint64_t>((aNow - attempt.startedAt_).count());
  if (aAnswer.verdict_ == Verdict::Ran) {
    UpdateServiceTime(aNow - attempt.startedAt_);
  }
  const std::string detail = aAnswer.status_ != 0
                               ? "status " + std::to_string(aAnswer.status_)
                               : aAnswer.reason_;
  Record(aActions,
         aAnswer.requestId_,
         aAnswer.verdict_ == Verdict::Ran ? "ran" : "failed",
         aAnswer.verdict_,
         aAnswer.verdict_ == Verdict::Ran,
         detail,
         aAnswer.attemptId_);
  if (!attempt.linkLost_) {
    aActions.emplace_back(SendAnswer{ attempt.link_, std::move(aAnswer) });
  }
  attempts_.erase(found);
  --running_;
  StartQueued(aActions, aNow);
}

void
SideCore::Private::RemoveExpiredIds(Instant aNow)
{
  while (!seenAttemptsOrder_.empty() &&
         seenAttemptsOrder_.begin()->first <= aNow) {
    seenAttempts_.erase(seenAttemptsOrder_.begin()->second);
    seenAttemptsOrder_.erase(seenAttemptsOrder_.begin());
  }
}

SideCore::SideCore(const Limits& aLimits)
  : private_(std::make_unique<Private>(aLimits))
{
}

SideCore::~SideCore() = default;

std::vector<SideAction>
SideCore::OnAnnounce(const Announcement& aAnnouncement, Instant aNow)
{
  std::vector<SideAction> actions;
  Private& self = *private_;
  // An announcement that was in flight when the upstream sent its goodbye, or
  // one from an old upstream that was frozen, must not reopen a leaving
  // upstream.
  if (self.HasEnded(aAnnouncement.incarnation_)) {
    return actions;
  }
  const bool restarted =
    self.upstream_.has_value() &&
    self.upstream_->incarnation_ != aAnnouncement.incarnation_;
  if (restarted) {
    self.EndIncarnation(self.upstream_->incarnation_);
    self.RefuseQueued(actions, "The upstream was started again.");
  }
  self.upstreamLeaving_ = false;
  self.upstream_ = aAnnouncement;
  self.lastIncarnation_ = aAnnouncement.incarnation_;
  self.StartQueued(actions, aNow);
  return actions;
}

std::vector<SideAction>
SideCore::OnGoodbye(std::uint64_t aIncarnation, Instant)
{
  std::vector<SideAction> actions;
  Private& self = *private_;
  const std::uint64_t leaving =
    aIncarnation == 0 ? self.lastIncarnation_ : aIncarnation;
  // The incarnation also ends if the upstream is not announced now: a late
  // repeat of its announcement must not reopen it.
  self.EndIncarnation(leaving);
  const bool current =
    self.upstream_.has_value() && self.upstream_->incarnation_ == leaving;
  if (current) {
    self.upstreamLeaving_ = true;
    self.RefuseQueued(actions, "The upstream is leaving.");
  }
  return actions;
}

std::vector<SideAction>
SideCore::OnDispatch(LinkId aLink,
                     const DispatchMessage& aDispatch,
                     Instant aNow)
{
  std::vector<SideAction> actions;
  Private& self = *private_;
  // A duplicate dispatch must not run twice. It gets no answer, because "did
  // not run" would be false if the first copy runs.
  if (self.seenAttempts_.contains(aDispatch.attemptId_)) {
    return actions;
  }
  std::string reason = self.ReasonToRefuse(aDispatch, aNow);
  const Instant deadline = aNow + TimeLeft(aDispatch);
  // Stores refused attempts too: a duplicate of one must not run.
  self.StoreAttemptId(aDispatch.attemptId_, deadline + kAttemptIdLifetime);
  if (!reason.empty()) {
    self.Refuse(actions,
                aLink,
                aDispatch,
                std::move(reason),
                self.RetryAfter(aDispatch, aNow));
    return actions;
  }
  Attempt attempt;
  attempt.link_ = aLink;
  attempt.dispatch_ = aDispatch;
  attempt.deadline_ = deadline;
  attempt.arrivedAt_ = aNow;
  attempt.queuePosition_ = self.nextQueuePosition_++;
  self.queue_.emplace(attempt.queuePosition_, aDispatch.attemptId_);
  self.queuedBytes_ += aDispatch.body_.size();
  self.attempts_.emplace(aDispatch.attemptId_, std::move(attempt));
  self.StartQueued(actions, aNow);
  return actions;
}

std::vector<SideAction>
SideCore::OnCancel(LinkId aLink, const CancelMessage& aCancel, Instant)
{
  std::vector<SideAction> actions;
  const auto found = private_->attempts_.find(aCancel.attemptId_);
  if (found == private_->attempts_.end() || found->second.link_ != aLink ||
      found->second.state_ != AttemptState::Queued) {
    // A running attempt continues: the upstream can't cancel it, and its answer
    // is the only source of the outcome.
    return actions;
  }
  private_->Refuse(actions,
                   aLink,
                   found->second.dispatch_,
                   "The caller gave up while the request was queued.",
                   private_->limits_.retryAfter_);
  private_->DropQueued(aCancel.attemptId_);
  return actions;
}

std::vector<SideAction>
SideCore::OnUpstreamAnswer(const std::string& aAttemptId,
                           int aStatus,
                           const HeaderList& aHeaders,
                           const std::string& aBody,
                           Instant aNow)
{
  std::vector<SideAction> actions;
  AnswerMessage answer;
  answer.attemptId_ = aAttemptId;
  answer.verdict_ = Verdict::Ran;
  answer.status_ = static_cast<std::uint16_t>(aStatus);
  answer.headers_ = aHeaders;
  answer.body_ = aBody;
  private_->Finish(actions, std::move(answer), aNow);
  return actions;
}

std::vector<SideAction>
SideCore::OnUpstreamFailure(const std::string& aAttemptId,
                            const Failure& aFailure,
                            Instant aNow)
{
  std::vector<SideAction> actions;
  AnswerMessage answer;
  answer.attemptId_ = aAttemptId;
  answer.verdict_ = aFailure.verdict_;
  answer.reason_ = aFailure.message_;
  private_->Finish(actions, std::move(answer), aNow);
  return actions;
}

std::vector<SideAction>
SideCore::OnLinkLost(LinkId aLink, Instant)
{
  std::vector<SideAction> actions;
  std::vector<std::string> dropped;
  for (auto& [attemptId, attempt] : private_->attempts_) {
    if (attempt.link_ != aLink) {
      continue;
    }
    attempt.linkLost_ = true;
    if (attempt.state_ == AttemptState::Queued) {
      dropped.push_back(attemptId);
    }
  }
  std::sort(dropped.begin(), dropped.end());
  for (const std::string& attemptId : dropped) {
    private_->Record(actions,
                     private_->attempts_.at(attemptId).dispatch_.requestId_,
                     "dropped",
                     Verdict::DidNotRun,
                     false,
                     "its entry was lost while it was queued",
                     attemptId);
    private_->DropQueued(attemptId);
  }
  return actions;
}

std::vector<SideAction>
SideCore::OnStop(Instant)
{
  private_->stopping_ = true;
  return {};
}

std::vector<SideAction>
SideCore::OnStopTimeout(Instant aNow)
{
  std::vector<SideAction> actions;
  Private& self = *private_;
  self.stopping_ = true;
  self.RefuseQueued(actions, "The side's planned stop ended.");
  std::vector<std::string> left;
  for (const auto& [attemptId, attempt] : self.attempts_) {
    left.push_back(attemptId);
  }
  std::sort(left.begin(), left.end());
  for (const std::string& attemptId : left) {
    AnswerMessage answer;
    answer.attemptId_ = attemptId;
    answer.verdict_ = Verdict::MayHaveRun;
    answer.reason_ = "The side's planned stop ended before the answer came.";
    self.Finish(actions, std::move(answer), aNow);
  }
  return actions;
}

std::vector<SideAction>
SideCore::OnTick(Instant aNow)
{
  std::vector<SideAction> actions;
  Private& self = *private_;
  if (self.upstream_.has_value() && self.upstream_->deadline_ <= aNow) {
    self.upstream_.reset();
    self.RefuseQueued(actions, "The upstream is no longer announced.");
  }
  std::vector<std::string> expired;
  for (const auto& [turn, attemptId] : self.queue_) {
    if (self.attempts_.at(attemptId).deadline_ <= aNow) {
      expired.push_back(attemptId);
    }
  }
  for (const std::string& attemptId : expired) {
    const Attempt& attempt = self.attempts_.at(attemptId);
    self.Refuse(actions,
                attempt.link_,
                attempt.dispatch_,
                "The deadline passed while the request was queued.",
                self.limits_.retryAfter_);
    self.DropQueued(attemptId);
  }
  self.RemoveExpiredIds(aNow);
  return actions;
}

HeartbeatMessage
SideCore::Heartbeat(Instant aNow) const
{
  HeartbeatMessage heartbeat;
  if (!private_->upstream_.has_value() ||
      private_->upstream_->deadline_ <= aNow) {
    return heartbeat;
  }
  const Announcement& upstream = *private_->upstream_;
  const bool leaving = private_->upstreamLeaving_ || private_->stopping_;
  heartbeat.state_ = leaving ? SideState::Leaving : SideState::Ready;
  heartbeat.service_ = upstream.service_;
  heartbeat.labels_ = upstream.labels_;
  heartbeat.upstreamIncarnation_ = upstream.incarnation_;
  heartbeat.slots_ = upstream.slots_;
  heartbeat.busy_ = static_cast<std::uint16_t>(private_->running_);
  heartbeat.queued_ = static_cast<std::uint16_t>(private_->queue_.size());
  return heartbeat;
}

bool
SideCore::Idle() const
{
  return private_->attempts_.empty();
}

}
