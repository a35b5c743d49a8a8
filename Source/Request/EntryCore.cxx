#include "Request/EntryCore.h"

#include <algorithm>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace cactusrail {

namespace {

enum class RequestState : std::uint8_t
{
  WaitsForClaim,
  WaitsForAnswer,
};

struct Request
{
  RequestFacts facts_;
  RequestState state_ = RequestState::WaitsForClaim;
  bool claimed_ = false;
  std::size_t attempts_ = 0;
  std::string attemptId_;
  std::string sideId_;
  std::set<std::string> tried_;
  /** What the attempts that ended say together. */
  Verdict verdict_ = Verdict::DidNotRun;
};

}

class EntryCore::Private
{
public:
  using Actions = std::vector<EntryAction>;

  explicit Private(const Limits& aLimits)
    : limits_(aLimits)
  {
  }

  void Record(Actions& aActions,
              const std::string& aRequestId,
              std::string aStep,
              Verdict aVerdict,
              bool aConclusive,
              std::string aDetail) const;
  std::optional<SideView> Choose(const Request& aRequest, Instant aNow) const;
  void Dispatch(Actions& aActions, Request& aRequest, Instant aNow);
  void RetryOrGiveUp(Actions& aActions,
                     Request& aRequest,
                     const std::string& aReason,
                     Instant aNow);
  void GiveUp(Actions& aActions,
              const std::string& aRequestId,
              int aStatus,
              std::string aReason);
  void EndAttempt(Request& aRequest);
  void Forget(const std::string& aRequestId);

  Limits limits_;
  MembershipView membership_;
  std::unordered_map<std::string, Request> requests_;
  /** Requests by deadline, so that a tick costs only what expired. */
  std::set<std::pair<Instant, std::string>> deadlines_;
  /** Attempts of this lane in progress, by side. */
  std::unordered_map<std::string, std::size_t> sent_;
};

void
EntryCore::Private::Record(Actions& aActions,
                           const std::string& aRequestId,
                           std::string aStep,
                           Verdict aVerdict,
                           bool aConclusive,
                           std::string aDetail) const
{
  RequestStep step;
  step.requestId_ = aRequestId;
  step.step_ = std::move(aStep);
  step.verdict_ = aVerdict;
  step.conclusive_ = aConclusive;
  step.detail_ = std::move(aDetail);
  aActions.emplace_back(RecordEntryStep{ std::move(step) });
}

std::optional<SideView>
EntryCore::Private::Choose(const Request& aRequest, Instant aNow) const
{
  std::optional<SideView> best;
  std::int64_t bestRoom = 0;
  const std::string& service = aRequest.facts_.service_;
  for (const SideView& side : membership_.Usable(service, aNow)) {
    const HeartbeatMessage& facts = side.heartbeat_;
    if (aRequest.tried_.contains(facts.sideId_)) {
      continue;
    }
    const auto own = sent_.find(facts.sideId_);
    const std::int64_t mine =
      own == sent_.end() ? 0 : static_cast<std::int64_t>(own->second);
    const std::int64_t load =
      std::max<std::int64_t>(facts.busy_ + facts.queued_, mine);
    std::int64_t room = facts.slots_ - load;
    if (facts.dataCentre_ == limits_.dataCentre_ && room > 0) {
      room += facts.slots_;
    }
    if (!best.has_value() || room > bestRoom) {
      best = side;
      bestRoom = room;
    }
  }
  return best;
}

void
EntryCore::Private::Dispatch(Actions& aActions, Request& aRequest, Instant aNow)
{
  const std::optional<SideView> side = Choose(aRequest, aNow);
  const std::string requestId = aRequest.facts_.requestId_;
  if (!side.has_value()) {
    GiveUp(aActions,
           requestId,
           503,
           aRequest.attempts_ == 0
             ? "No upstream of the service is there just now."
             : "No further upstream of the service is there to try.");
    return;
  }
  ++aRequest.attempts_;
  aRequest.state_ = RequestState::WaitsForAnswer;
  aRequest.sideId_ = side->heartbeat_.sideId_;
  aRequest.attemptId_ = requestId + "." + std::to_string(aRequest.attempts_);
  aRequest.tried_.insert(aRequest.sideId_);
  ++sent_[aRequest.sideId_];
  Record(aActions,
         requestId,
         "dispatched",
         Verdict::MayHaveRun,
         false,
         "attempt " + aRequest.attemptId_ + " to side/" + aRequest.sideId_);
  SendDispatch send;
  send.sideId_ = aRequest.sideId_;
  DispatchMessage& message = send.dispatch_;
  message.requestId_ = requestId;
  message.attemptId_ = aRequest.attemptId_;
  message.upstreamIncarnation_ = side->heartbeat_.upstreamIncarnation_;
  message.remainingMicros_ = MicrosUntil(aRequest.facts_.deadline_, aNow);
  message.tenant_ = aRequest.facts_.tenant_;
  message.idempotent_ = aRequest.facts_.idempotent_;
  message.method_ = aRequest.facts_.method_;
  message.target_ = aRequest.facts_.target_;
  message.headers_ = aRequest.facts_.headers_;
  message.body_ = aRequest.facts_.body_;
  aActions.emplace_back(std::move(send));
}

void
EntryCore::Private::EndAttempt(Request& aRequest)
{
  if (aRequest.attemptId_.empty()) {
    return;
  }
  const auto sent = sent_.find(aRequest.sideId_);
  if (sent != sent_.end() && --sent->second == 0) {
    sent_.erase(sent);
  }
  aRequest.attemptId_.clear();
  aRequest.sideId_.clear();
}

void
EntryCore::Private::Forget(const std::string& aRequestId)
{
  const auto found = requests_.find(aRequestId);
  EndAttempt(found->second);
  deadlines_.erase({ found->second.facts_.deadline_, aRequestId });
  requests_.erase(found);
}

void
EntryCore::Private::GiveUp(Actions& aActions,
                           const std::string& aRequestId,
                           int aStatus,
                           std::string aReason)
{
  const Request& request = requests_.at(aRequestId);
  Verdict verdict = request.verdict_;
  if (!request.attemptId_.empty()) {
    verdict = CombineVerdicts(verdict, Verdict::MayHaveRun);
    aActions.emplace_back(
      SendCancel{ request.sideId_, CancelMessage{ request.attemptId_ } });
  }
  if (request.claimed_) {
    ClaimRecord record;
    record.requestId_ = aRequestId;
    record.finished_ = true;
    record.verdict_ = verdict;
    aActions.emplace_back(
      WriteOutcome{ request.facts_.tenant_, request.facts_.key_, record });
  }
  Record(aActions,
         aRequestId,
         "given up",
         verdict,
         verdict == Verdict::DidNotRun,
         aReason);
  AnswerCaller answer;
  answer.requestId_ = aRequestId;
  answer.verdict_ = verdict;
  answer.status_ = aStatus;
  answer.reason_ = std::move(aReason);
  answer.retryAfter_ = limits_.retryAfter_;
  aActions.emplace_back(std::move(answer));
  Forget(aRequestId);
}

void
EntryCore::Private::RetryOrGiveUp(Actions& aActions,
                                  Request& aRequest,
                                  const std::string& aReason,
                                  Instant aNow)
{
  const bool mayRunAgain =
    aRequest.facts_.idempotent_ || aRequest.verdict_ == Verdict::DidNotRun;
  const bool hasAttempts = aRequest.attempts_ < limits_.maxAttempts_;
  const bool hasTime = aRequest.facts_.deadline_ > aNow;
  if (mayRunAgain && hasAttempts && hasTime) {
    Dispatch(aActions, aRequest, aNow);
    return;
  }
  const int status = aRequest.verdict_ == Verdict::DidNotRun ? 503 : 502;
  GiveUp(aActions, aRequest.facts_.requestId_, status, aReason);
}

EntryCore::EntryCore(const Limits& aLimits)
  : private_(std::make_unique<Private>(aLimits))
{
}

EntryCore::~EntryCore() = default;

MembershipChange
EntryCore::OnHeartbeat(const HeartbeatMessage& aHeartbeat, Instant aNow)
{
  return private_->membership_.Observe(aHeartbeat, aNow);
}

const MembershipView&
EntryCore::Membership() const
{
  return private_->membership_;
}

std::vector<EntryAction>
EntryCore::OnRequest(const RequestFacts& aRequest, Instant aNow)
{
  std::vector<EntryAction> actions;
  Private& self = *private_;
  const std::string& id = aRequest.requestId_;
  self.Record(actions,
              id,
              "received",
              Verdict::DidNotRun,
              false,
              aRequest.method_ + " for service " + aRequest.service_ +
                " by tenant " + aRequest.tenant_ +
                (aRequest.idempotent_ ? ", idempotent" : ", at most once"));
  const bool full = self.requests_.size() >= self.limits_.maxRequests_;
  Request& request = self.requests_[id];
  request.facts_ = aRequest;
  self.deadlines_.emplace(aRequest.deadline_, id);
  if (full) {
    self.GiveUp(actions, id, 503, "This entry has too many requests open.");
    return actions;
  }
  if (self.membership_.Usable(aRequest.service_, aNow).empty()) {
    self.GiveUp(
      actions, id, 503, "No upstream of the service is there just now.");
    return actions;
  }
  if (aRequest.idempotent_) {
    self.Dispatch(actions, request, aNow);
    return actions;
  }
  actions.emplace_back(
    WriteClaim{ id, aRequest.tenant_, aRequest.key_, aRequest.deadline_ });
  return actions;
}

std::vector<EntryAction>
EntryCore::OnClaim(const std::string& aRequestId,
                   ClaimOutcome aOutcome,
                   const ClaimRecord& aRecord,
                   Instant aNow)
{
  std::vector<EntryAction> actions;
  Private& self = *private_;
  const auto found = self.requests_.find(aRequestId);
  if (found == self.requests_.end() ||
      found->second.state_ != RequestState::WaitsForClaim) {
    return actions;
  }
  Request& request = found->second;
  if (aOutcome == ClaimOutcome::Unknown) {
    self.GiveUp(actions,
                aRequestId,
                503,
                "The table service can't be asked, so the request can't be "
                "kept from running twice; it was not started.");
    return actions;
  }
  if (aOutcome == ClaimOutcome::Taken) {
    self.Record(actions,
                aRequestId,
                "repeated",
                aRecord.verdict_,
                false,
                "the key was claimed by request " + aRecord.requestId_);
    AnswerCaller answer;
    answer.requestId_ = aRequestId;
    answer.verdict_ =
      aRecord.finished_ ? aRecord.verdict_ : Verdict::MayHaveRun;
    const bool replay = aRecord.finished_ && aRecord.verdict_ == Verdict::Ran;
    answer.status_ = replay ? aRecord.status_ : 409;
    answer.body_ = aRecord.body_;
    answer.headers_.emplace_back("Content-Type", aRecord.contentType_);
    answer.reason_ = replay ? std::string()
                            : "The key was used by request " +
                                aRecord.requestId_ + "; ask for that one.";
    answer.retryAfter_ =
      aRecord.finished_ ? Millis(0) : self.limits_.retryAfter_;
    actions.emplace_back(std::move(answer));
    self.Forget(aRequestId);
    return actions;
  }
  request.claimed_ = true;
  self.Record(actions,
              aRequestId,
              "claimed",
              Verdict::DidNotRun,
              false,
              "key " + request.facts_.key_ + " in the table service");
  self.Dispatch(actions, request, aNow);
  return actions;
}

std::vector<EntryAction>
EntryCore::OnAnswer(const std::string& aSideId,
                    const AnswerMessage& aAnswer,
                    Instant aNow)
{
  std::vector<EntryAction> actions;
  Private& self = *private_;
  const auto found = self.requests_.find(aAnswer.requestId_);
  // Late, doubled or misdirected: only the attempt in progress, answered by the
  // side that it was sent to, reaches the caller.
  if (found == self.requests_.end() ||
      found->second.attemptId_ != aAnswer.attemptId_ ||
      found->second.sideId_ != aSideId) {
    self.Record(actions,
                aAnswer.requestId_,
                "late answer dropped",
                aAnswer.verdict_,
                aAnswer.verdict_ == Verdict::Ran,
                "attempt " + aAnswer.attemptId_ + " from side/" + aSideId);
    return actions;
  }
  Request& request = found->second;
  request.verdict_ = CombineVerdicts(request.verdict_, aAnswer.verdict_);
  if (aAnswer.verdict_ != Verdict::Ran || aAnswer.status_ == 0) {
    self.Record(actions,
                aAnswer.requestId_,
                "attempt failed",
                aAnswer.verdict_,
                false,
                "attempt " + aAnswer.attemptId_ + ": " + aAnswer.reason_);
    self.EndAttempt(request);
    self.RetryOrGiveUp(actions, request, aAnswer.reason_, aNow);
    return actions;
  }
  self.Record(actions,
              aAnswer.requestId_,
              "answered",
              Verdict::Ran,
              true,
              "status " + std::to_string(aAnswer.status_) + " from side/" +
                aSideId);
  if (request.claimed_) {
    ClaimRecord record;
    record.requestId_ = aAnswer.requestId_;
    record.finished_ = true;
    record.verdict_ = Verdict::Ran;
    record.status_ = aAnswer.status_;
    record.body_ = aAnswer.body_;
    actions.emplace_back(
      WriteOutcome{ request.facts_.tenant_, request.facts_.key_, record });
  }
  AnswerCaller answer;
  answer.requestId_ = aAnswer.requestId_;
  answer.verdict_ = Verdict::Ran;
  answer.status_ = aAnswer.status_;
  answer.headers_ = aAnswer.headers_;
  answer.body_ = aAnswer.body_;
  actions.emplace_back(std::move(answer));
  self.Forget(aAnswer.requestId_);
  return actions;
}

std::vector<EntryAction>
EntryCore::OnSideLost(const std::string& aSideId,
                      bool aNeverConnected,
                      Instant aNow)
{
  std::vector<EntryAction> actions;
  Private& self = *private_;
  std::vector<std::string> hit;
  for (const auto& [id, request] : self.requests_) {
    if (request.sideId_ == aSideId) {
      hit.push_back(id);
    }
  }
  std::sort(hit.begin(), hit.end());
  for (const std::string& id : hit) {
    Request& request = self.requests_.at(id);
    const Verdict verdict =
      aNeverConnected ? Verdict::DidNotRun : Verdict::MayHaveRun;
    request.verdict_ = CombineVerdicts(request.verdict_, verdict);
    self.Record(actions,
                id,
                "side lost",
                verdict,
                false,
                "attempt " + request.attemptId_ + " on side/" + aSideId);
    self.EndAttempt(request);
    self.RetryOrGiveUp(actions,
                       request,
                       "The connection to the upstream's side was lost.",
                       aNow);
  }
  return actions;
}

std::vector<EntryAction>
EntryCore::OnCallerGone(const std::string& aRequestId, Instant)
{
  std::vector<EntryAction> actions;
  if (private_->requests_.contains(aRequestId)) {
    private_->GiveUp(actions, aRequestId, 499, "The caller hung up.");
  }
  return actions;
}

std::vector<EntryAction>
EntryCore::OnTick(Instant aNow)
{
  std::vector<EntryAction> actions;
  Private& self = *private_;
  while (!self.deadlines_.empty() && self.deadlines_.begin()->first <= aNow) {
    const std::string id = self.deadlines_.begin()->second;
    self.GiveUp(actions, id, 504, "The deadline passed.");
  }
  return actions;
}

std::vector<EntryAction>
EntryCore::OnStopBound()
{
  std::vector<EntryAction> actions;
  while (!private_->deadlines_.empty()) {
    const std::string id = private_->deadlines_.begin()->second;
    private_->GiveUp(
      actions, id, 503, "This entry is stopping and can't wait any longer.");
  }
  return actions;
}

std::size_t
EntryCore::InProgress() const
{
  return private_->requests_.size();
}

}
