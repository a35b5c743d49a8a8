#include "Request/EntryCore.h"

#include "Request/AwakeClock.h"
#include "Request/ServiceSides.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace cactusrail {

namespace {

constexpr Millis kForgetInterval{ 1000 };
constexpr Millis kHeartbeatCheckInterval{ 100 };

/** Effect of the end of an attempt on the statistics of its side. */
enum class AttemptEnd : std::uint8_t
{
  Answered,
  Failed,
  /** The attempt was abandoned; the statistics of the side don't change. */
  Cancelled,
};

enum class RequestState : std::uint8_t
{
  WaitsForClaim,
  WaitsForAnswer,
};

struct Request
{
  RequestFacts facts_;
  RequestState state_ = RequestState::WaitsForClaim;
  std::string fingerprint_;
  /** The claim write in flight; 0 if none. */
  std::uint64_t claimWrite_ = 0;
  std::size_t claimWrites_ = 0;
  /** Revision of the claim's row once the request owns it; before that, the
   * expected revision. */
  std::uint64_t claimRevision_ = 0;
  std::size_t attempts_ = 0;
  std::string attemptId_;
  std::string sideId_;
  ServiceSides::Choice choice_;
  Instant dispatchedAt_;
  /** Earliest retry time of the caller, sent as a delay with the answer. */
  Instant retryAt_;
  /** Sides to which an attempt was sent. */
  ServiceSides::Tried tried_;
  /** Combined verdict of the attempts that ended. */
  Verdict verdict_ = Verdict::DidNotRun;
};

/** A claimed request that was abandoned with an unknown attempt outcome. */
struct AbandonedRequest
{
  std::string attemptId_;
  std::string sideId_;
  ClaimRecord record_;
  Verdict earlier_ = Verdict::DidNotRun;
};

ClaimRecord
AnswerRecord(ClaimRecord aRecord, const AnswerMessage& aAnswer)
{
  aRecord.finished_ = true;
  aRecord.verdict_ = aAnswer.verdict_;
  aRecord.status_ = aAnswer.status_;
  aRecord.bodyBytes_ = aAnswer.body_.size();
  if (aAnswer.body_.size() <= kMaxStoredBodyBytes) {
    aRecord.body_ = aAnswer.body_;
  }
  for (const auto& [name, value] : aAnswer.headers_) {
    if (name == "Content-Type" || name == "content-type") {
      aRecord.contentType_ = value;
    }
  }
  return aRecord;
}

}

class EntryCore::Private
{
public:
  using Actions = std::vector<EntryAction>;

  explicit Private(const Limits& aLimits)
    : limits_(aLimits)
    , outcomes_(OutcomeWriter::Limits{}, nextWriteId_)
  {
  }

  static void Record(Actions& aActions,
                     const std::string& aRequestId,
                     std::string aStep,
                     Verdict aVerdict,
                     bool aConclusive,
                     std::string aDetail,
                     std::string aAttemptId = {});
  ServiceSides& SidesOf(const std::string& aService);
  std::optional<ServiceSides::Choice> Choose(const Request& aRequest,
                                             Instant aNow);
  void Claim(Actions& aActions, Request& aRequest, Instant aNow);
  void ReadRow(Actions& aActions,
               Request& aRequest,
               const ClaimWriteResult& aRow,
               Instant aNow);
  void OnClaimAcquired(Actions& aActions,
                       Request& aRequest,
                       std::uint64_t aRevision,
                       Instant aNow);
  void RetryOrAbandonClaim(Actions& aActions,
                           Request& aRequest,
                           ClaimWrite aOutcome,
                           Instant aNow);
  void AnswerDuplicate(Actions& aActions,
                       const Request& aRequest,
                       ClaimState aClaimState,
                       const ClaimRecord& aRecord);
  void WriteOutcome(Actions& aActions,
                    const Request& aRequest,
                    const ClaimRecord& aRecord,
                    Instant aNow);
  void HandleLateAnswer(Actions& aActions,
                        const std::string& aSideId,
                        const AnswerMessage& aAnswer,
                        Instant aNow);
  void KeepUnknownOutcome(const Request& aRequest,
                          const ClaimRecord& aRecord,
                          Instant aNow);
  void Dispatch(Actions& aActions, Request& aRequest, Instant aNow);
  /** Dispatches the request again if it is idempotent or did not run, and if
   * attempts, time and the retry budget permit; otherwise abandons it. */
  void RetryOrAbandon(Actions& aActions,
                      Request& aRequest,
                      const std::string& aReason,
                      Instant aNow);
  void RemoveUnresponsiveSides(Instant aNow);
  void HandleUnresponsiveSides(Actions& aActions, Instant aNow);
  void HandleUnresponsiveSide(Actions& aActions,
                              Request& aRequest,
                              Instant aNow);
  void Abandon(Actions& aActions,
               const std::string& aRequestId,
               int aStatus,
               std::string aReason,
               Instant aNow);
  void EndAttempt(Request& aRequest, AttemptEnd aEnd, Instant aNow);
  void Forget(const std::string& aRequestId, Instant aNow);

  Limits limits_;
  /** Awake time of this entry, for heartbeat timeouts. */
  AwakeClock awakeClock_;
  MembershipView membership_;
  std::unordered_map<std::string, ServiceSides> services_;
  /** Service of each side, from its latest heartbeat. */
  std::unordered_map<std::string, std::string> serviceOf_;
  std::uint64_t choiceCount_ = 0;
  Instant nextForgetAt_;
  Instant nextHeartbeatCheckAt_;
  std::uint64_t nextWriteId_ = 0;
  OutcomeWriter outcomes_;
  std::unordered_map<std::string, Request> requests_;
  /** Requests by deadline, so that a tick visits only expired requests. */
  std::set<std::pair<Instant, std::string>> deadlines_;
  /** Requests with an attempt in flight, by side. */
  std::unordered_map<std::string, std::set<std::string>> inFlightBySide_;
  std::unordered_map<std::string, AbandonedRequest> abandoned_;
  std::deque<std::pair<Instant, std::string>> abandonedOrder_;
};

void
EntryCore::Private::Record(Actions& aActions,
                           const std::string& aRequestId,
                           std::string aStep,
                           Verdict aVerdict,
                           bool aConclusive,
                           std::string aDetail,
                           std::string aAttemptId)
{
  aActions.emplace_back(RecordEntryStep{ MakeStep(aRequestId,
                                                  std::move(aStep),
                                                  aVerdict,
                                                  aConclusive,
                                                  std::move(aDetail),
                                                  std::move(aAttemptId)) });
}

ServiceSides&
EntryCore::Private::SidesOf(const std::string& aService)
{
  return services_.try_emplace(aService, limits_.dataCentre_).first->second;
}

std::optional<ServiceSides::Choice>
EntryCore::Private::Choose(const Request& aRequest, Instant aNow)
{
  return SidesOf(aRequest.facts_.service_)
    .Choose(aRequest.tried_,
            ++choiceCount_ + limits_.seed_,
            awakeClock_.At(aNow),
            aNow);
}

void
EntryCore::Private::Claim(Actions& aActions, Request& aRequest, Instant aNow)
{
  const RequestFacts& facts = aRequest.facts_;
  ++aRequest.claimWrites_;
  WriteClaim write;
  write.requestId_ = facts.requestId_;
  write.writeId_ = ++nextWriteId_;
  write.tenant_ = facts.tenant_;
  write.key_ = facts.key_;
  write.expectedRevision_ = aRequest.claimRevision_;
  write.record_.requestId_ = facts.requestId_;
  write.record_.fingerprint_ = aRequest.fingerprint_;
  write.deadline_ = std::min(facts.deadline_, aNow + limits_.claimTimeout_);
  write.alone_ = aRequest.claimWrites_ > 1;
  aRequest.claimWrite_ = write.writeId_;
  aActions.emplace_back(std::move(write));
}

void
EntryCore::Private::OnClaimAcquired(Actions& aActions,
                                    Request& aRequest,
                                    std::uint64_t aRevision,
                                    Instant aNow)
{
  aRequest.claimRevision_ = aRevision;
  const std::string id = aRequest.facts_.requestId_;
  Record(aActions,
         id,
         "claimed",
         Verdict::DidNotRun,
         false,
         "key " + aRequest.facts_.key_ + " in the table service");
  Dispatch(aActions, aRequest, aNow);
}

void
EntryCore::Private::RetryOrAbandonClaim(Actions& aActions,
                                        Request& aRequest,
                                        ClaimWrite aOutcome,
                                        Instant aNow)
{
  // Repeats the write: if the first one was applied, the row shows it.
  const bool again = aOutcome == ClaimWrite::Unknown &&
                     aRequest.claimWrites_ < limits_.maxClaimWrites_ / 2 &&
                     aRequest.facts_.deadline_ > aNow;
  if (again) {
    Claim(aActions, aRequest, aNow);
    return;
  }
  Abandon(aActions,
          std::string(aRequest.facts_.requestId_),
          503,
          "The table service can't be asked, so the request can't be kept from "
          "running twice; it was not started.",
          aNow);
}

void
EntryCore::Private::ReadRow(Actions& aActions,
                            Request& aRequest,
                            const ClaimWriteResult& aRow,
                            Instant aNow)
{
  const std::string id = aRequest.facts_.requestId_;
  const ClaimState claimState = ClassifyClaim(aRow, id, aRequest.fingerprint_);
  if (claimState == ClaimState::OwnedByRequest) {
    OnClaimAcquired(aActions, aRequest, aRow.revision_, aNow);
    return;
  }
  if (claimState != ClaimState::Free) {
    AnswerDuplicate(aActions, aRequest, claimState, aRow.record_);
    Forget(id, aNow);
    return;
  }
  aRequest.claimRevision_ = aRow.revision_;
  if (aRequest.claimWrites_ < limits_.maxClaimWrites_) {
    Claim(aActions, aRequest, aNow);
    return;
  }
  Abandon(aActions,
          id,
          503,
          "Several requests compete for the key; retry the request.",
          aNow);
}

void
EntryCore::Private::AnswerDuplicate(Actions& aActions,
                                    const Request& aRequest,
                                    ClaimState aClaimState,
                                    const ClaimRecord& aRecord)
{
  const std::string& first = aRecord.requestId_;
  AnswerCaller answer;
  answer.requestId_ = aRequest.facts_.requestId_;
  answer.status_ = 409;
  switch (aClaimState) {
    case ClaimState::Replay:
      answer.verdict_ = Verdict::Ran;
      answer.status_ = aRecord.status_;
      answer.body_ = aRecord.body_;
      answer.headers_.emplace_back("Content-Type", aRecord.contentType_);
      break;
    case ClaimState::AnswerNotStored:
      answer.verdict_ = Verdict::Ran;
      answer.reason_ = "The key was used by request " + first +
                       ", which ran; its answer was not kept.";
      break;
    case ClaimState::DifferentRequest:
      answer.verdict_ = Verdict::DidNotRun;
      answer.status_ = 422;
      answer.reason_ = "The key was used by request " + first +
                       ", which was a different one; use a new key.";
      break;
    default:
      answer.verdict_ = Verdict::MayHaveRun;
      answer.retryAfter_ = limits_.retryAfter_;
      answer.reason_ =
        "The key is used by request " + first +
        (aClaimState == ClaimState::UnknownOutcome ? ", which may have run."
                                                   : ", which is in progress.");
      break;
  }
  Record(aActions,
         aRequest.facts_.requestId_,
         "repeated",
         Verdict::DidNotRun,
         true,
         "the key belongs to request " + first);
  aActions.emplace_back(std::move(answer));
}

void
EntryCore::Private::WriteOutcome(Actions& aActions,
                                 const Request& aRequest,
                                 const ClaimRecord& aRecord,
                                 Instant aNow)
{
  const RequestFacts& facts = aRequest.facts_;
  aActions.emplace_back(outcomes_.Add(
    { facts.tenant_, facts.key_, aRequest.claimRevision_ }, aRecord, aNow));
}

void
EntryCore::Private::KeepUnknownOutcome(const Request& aRequest,
                                       const ClaimRecord& aRecord,
                                       Instant aNow)
{
  if (aRequest.attemptId_.empty()) {
    return;
  }
  const std::string& id = aRequest.facts_.requestId_;
  abandoned_[id] = AbandonedRequest{
    aRequest.attemptId_, aRequest.sideId_, aRecord, aRequest.verdict_
  };
  abandonedOrder_.emplace_back(aNow + limits_.lateAnswerTimeout_, id);
  if (abandonedOrder_.size() > limits_.maxRequests_) {
    abandoned_.erase(abandonedOrder_.front().second);
    abandonedOrder_.pop_front();
  }
}

void
EntryCore::Private::HandleLateAnswer(Actions& aActions,
                                     const std::string& aSideId,
                                     const AnswerMessage& aAnswer,
                                     Instant aNow)
{
  const auto found = abandoned_.find(aAnswer.requestId_);
  if (found == abandoned_.end() ||
      found->second.attemptId_ != aAnswer.attemptId_ ||
      found->second.sideId_ != aSideId) {
    return;
  }
  const AbandonedRequest& request = found->second;
  ClaimRecord record = AnswerRecord(request.record_, aAnswer);
  record.verdict_ = CombineVerdicts(request.earlier_, aAnswer.verdict_);
  if (record.verdict_ == Verdict::MayHaveRun) {
    return;
  }
  std::optional<WriteClaim> write = outcomes_.Amend(record, aNow);
  if (write.has_value()) {
    aActions.emplace_back(std::move(*write));
  }
}

void
EntryCore::Private::Dispatch(Actions& aActions, Request& aRequest, Instant aNow)
{
  const std::string requestId = aRequest.facts_.requestId_;
  // After a stall of the entry, the table's answer can arrive when the caller's
  // deadline has passed.
  if (aRequest.facts_.deadline_ <= aNow) {
    Abandon(aActions, requestId, 504, "The deadline passed.", aNow);
    return;
  }
  const std::optional<ServiceSides::Choice> side = Choose(aRequest, aNow);
  if (!side.has_value()) {
    Abandon(aActions,
            requestId,
            503,
            aRequest.attempts_ == 0
              ? "No upstream of the service is there just now."
              : "No further upstream of the service is there to try.",
            aNow);
    return;
  }
  ++aRequest.attempts_;
  aRequest.state_ = RequestState::WaitsForAnswer;
  aRequest.sideId_ = side->sideId_;
  aRequest.choice_ = *side;
  aRequest.dispatchedAt_ = aNow;
  SidesOf(aRequest.facts_.service_).OnSent(*side, aNow);
  aRequest.attemptId_ = requestId + "." + std::to_string(aRequest.attempts_);
  aRequest.tried_.emplace(side->sideId_, side->incarnation_);
  inFlightBySide_[aRequest.sideId_].insert(requestId);
  Record(aActions,
         requestId,
         std::string(kStepDispatched),
         Verdict::MayHaveRun,
         false,
         "to side/" + aRequest.sideId_,
         aRequest.attemptId_);
  SendDispatch send;
  send.sideId_ = aRequest.sideId_;
  DispatchMessage& message = send.dispatch_;
  message.requestId_ = requestId;
  message.attemptId_ = aRequest.attemptId_;
  message.upstreamIncarnation_ = side->incarnation_;
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
EntryCore::Private::EndAttempt(Request& aRequest, AttemptEnd aEnd, Instant aNow)
{
  if (aRequest.attemptId_.empty()) {
    return;
  }
  ServiceSides& sides = SidesOf(aRequest.facts_.service_);
  if (aEnd == AttemptEnd::Answered) {
    sides.OnAnswer(aRequest.choice_, aNow - aRequest.dispatchedAt_, aNow);
  } else if (aEnd == AttemptEnd::Failed) {
    sides.OnFailure(aRequest.choice_, aNow);
  } else {
    sides.OnCancelled(aRequest.choice_, aNow);
  }
  const auto sent = inFlightBySide_.find(aRequest.sideId_);
  if (sent != inFlightBySide_.end()) {
    sent->second.erase(aRequest.facts_.requestId_);
    if (sent->second.empty()) {
      inFlightBySide_.erase(sent);
    }
  }
  aRequest.attemptId_.clear();
  aRequest.sideId_.clear();
}

void
EntryCore::Private::Forget(const std::string& aRequestId, Instant aNow)
{
  const auto found = requests_.find(aRequestId);
  EndAttempt(found->second, AttemptEnd::Cancelled, aNow);
  deadlines_.erase({ found->second.facts_.deadline_, aRequestId });
  requests_.erase(found);
}

void
EntryCore::Private::Abandon(Actions& aActions,
                            const std::string& aRequestId,
                            int aStatus,
                            std::string aReason,
                            Instant aNow)
{
  const Request& request = requests_.at(aRequestId);
  Verdict verdict = request.verdict_;
  if (!request.attemptId_.empty()) {
    verdict = CombineVerdicts(verdict, Verdict::MayHaveRun);
    aActions.emplace_back(
      SendCancel{ request.sideId_, CancelMessage{ request.attemptId_ } });
  }
  // The outcome is also written while the claim write is in flight: if the
  // claim write is applied later, the key would stay claimed by a request that
  // was answered with "did not run".
  if (request.claimWrites_ > 0) {
    ClaimRecord record;
    record.requestId_ = aRequestId;
    record.fingerprint_ = request.fingerprint_;
    record.finished_ = true;
    record.verdict_ = verdict;
    WriteOutcome(aActions, request, record, aNow);
    KeepUnknownOutcome(request, record, aNow);
  }
  Record(aActions,
         aRequestId,
         std::string(kStepGivenUp),
         verdict,
         verdict == Verdict::DidNotRun,
         aReason);
  AnswerCaller answer;
  answer.requestId_ = aRequestId;
  answer.verdict_ = verdict;
  answer.status_ = aStatus;
  answer.reason_ = std::move(aReason);
  answer.retryAfter_ = std::max(
    limits_.retryAfter_, std::chrono::ceil<Millis>(request.retryAt_ - aNow));
  aActions.emplace_back(std::move(answer));
  Forget(aRequestId, aNow);
}

void
EntryCore::Private::RetryOrAbandon(Actions& aActions,
                                   Request& aRequest,
                                   const std::string& aReason,
                                   Instant aNow)
{
  const bool mayRunAgain =
    aRequest.facts_.idempotent_ || aRequest.verdict_ == Verdict::DidNotRun;
  const bool hasAttempts = aRequest.attempts_ < limits_.maxAttempts_;
  const bool hasTime = aRequest.facts_.deadline_ > aNow;
  if (mayRunAgain && hasAttempts && hasTime) {
    RetryBudget& budget = SidesOf(aRequest.facts_.service_).Budget();
    if (budget.TryTake(aNow)) {
      Dispatch(aActions, aRequest, aNow);
      return;
    }
    aRequest.retryAt_ = budget.NextAt(aNow);
  }
  const int status = aRequest.verdict_ == Verdict::DidNotRun ? 503 : 502;
  Abandon(
    aActions, std::string(aRequest.facts_.requestId_), status, aReason, aNow);
}

void
EntryCore::Private::HandleUnresponsiveSide(Actions& aActions,
                                           Request& aRequest,
                                           Instant aNow)
{
  const bool canRetry =
    aRequest.facts_.idempotent_ && aRequest.attempts_ < limits_.maxAttempts_ &&
    Choose(aRequest, aNow).has_value() &&
    SidesOf(aRequest.facts_.service_).Budget().TryTake(aNow);
  if (!canRetry) {
    return;
  }
  Record(aActions,
         aRequest.facts_.requestId_,
         "side silent",
         Verdict::MayHaveRun,
         false,
         "on side/" + aRequest.sideId_,
         aRequest.attemptId_);
  aActions.emplace_back(
    SendCancel{ aRequest.sideId_, CancelMessage{ aRequest.attemptId_ } });
  aRequest.verdict_ = CombineVerdicts(aRequest.verdict_, Verdict::MayHaveRun);
  EndAttempt(aRequest, AttemptEnd::Failed, aNow);
  Dispatch(aActions, aRequest, aNow);
}

void
EntryCore::Private::RemoveUnresponsiveSides(Instant aNow)
{
  if (aNow < nextForgetAt_) {
    return;
  }
  nextForgetAt_ = aNow + kForgetInterval;
  for (const std::string& id : membership_.Forget(awakeClock_.At(aNow))) {
    SidesOf(serviceOf_[id]).Remove(id);
    serviceOf_.erase(id);
  }
}

void
EntryCore::Private::HandleUnresponsiveSides(Actions& aActions, Instant aNow)
{
  if (aNow < nextHeartbeatCheckAt_) {
    return;
  }
  nextHeartbeatCheckAt_ = aNow + kHeartbeatCheckInterval;
  // The connection of a frozen side stays open for minutes. Its attempts would
  // wait until their deadlines although another side has free capacity.
  std::set<std::string> waiting;
  for (const auto& [sideId, ids] : inFlightBySide_) {
    if (membership_.IsUnresponsive(sideId, awakeClock_.At(aNow))) {
      waiting.insert(ids.begin(), ids.end());
    }
  }
  for (const std::string& id : waiting) {
    HandleUnresponsiveSide(aActions, requests_.at(id), aNow);
  }
}

EntryCore::EntryCore(const Limits& aLimits)
  : private_(std::make_unique<Private>(aLimits))
{
}

EntryCore::~EntryCore() = default;

MembershipChange
EntryCore::OnHeartbeat(const HeartbeatMessage& aHeartbeat, Instant aNow)
{
  Private& self = *private_;
  const Instant awakeAt = self.awakeClock_.At(aNow);
  const MembershipChange change = self.membership_.Observe(aHeartbeat, awakeAt);
  if (change == MembershipChange::Stale) {
    return change;
  }
  const std::string& id = aHeartbeat.sideId_;
  std::string& service = self.serviceOf_[id];
  if (service != aHeartbeat.service_) {
    self.SidesOf(service).Remove(id);
    service = aHeartbeat.service_;
  }
  self.SidesOf(service).Observe(
    aHeartbeat, awakeAt + kSideHeartbeatTimeout, aNow);
  return change;
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
    self.Abandon(actions,
                 id,
                 503,
                 "This entry has too many open requests; retry later.",
                 aNow);
    return actions;
  }
  ServiceSides& sides = self.SidesOf(aRequest.service_);
  sides.Budget().OnRequest(aNow);
  if (!sides.AnyUsable(self.awakeClock_.At(aNow))) {
    self.Abandon(
      actions, id, 503, "No upstream of the service is there just now.", aNow);
    return actions;
  }
  if (aRequest.idempotent_) {
    self.Dispatch(actions, request, aNow);
    return actions;
  }
  request.fingerprint_ = RequestFingerprint(
    aRequest.service_, aRequest.method_, aRequest.target_, aRequest.body_);
  self.Claim(actions, request, aNow);
  return actions;
}

std::vector<EntryAction>
EntryCore::OnClaimWritten(const std::string& aRequestId,
                          std::uint64_t aWriteId,
                          const ClaimWriteResult& aResult,
                          Instant aNow)
{
  std::vector<EntryAction> actions;
  Private& self = *private_;
  const auto found = self.requests_.find(aRequestId);
  if (found == self.requests_.end()) {
    std::optional<WriteClaim> next =
      self.outcomes_.OnWritten(aRequestId, aWriteId, aResult, aNow);
    if (next.has_value()) {
      actions.emplace_back(std::move(*next));
    }
    return actions;
  }
  Request& request = found->second;
  if (request.claimWrite_ != aWriteId) {
    return actions;
  }
  request.claimWrite_ = 0;
  switch (aResult.outcome_) {
    case ClaimWrite::Applied:
      self.OnClaimAcquired(actions, request, aResult.revision_, aNow);
      break;
    case ClaimWrite::Refused:
      self.ReadRow(actions, request, aResult, aNow);
      break;
    default:
      self.RetryOrAbandonClaim(actions, request, aResult.outcome_, aNow);
      break;
  }
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
  // Drops late, duplicate and misdirected answers: only the answer to the
  // attempt in flight, from the side to which it was sent, reaches the caller.
  if (found == self.requests_.end() ||
      found->second.attemptId_ != aAnswer.attemptId_ ||
      found->second.sideId_ != aSideId) {
    self.Record(actions,
                aAnswer.requestId_,
                "late answer dropped",
                aAnswer.verdict_,
                aAnswer.verdict_ == Verdict::Ran,
                "from side/" + aSideId,
                aAnswer.attemptId_);
    self.HandleLateAnswer(actions, aSideId, aAnswer, aNow);
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
                aAnswer.reason_,
                aAnswer.attemptId_);
    self.EndAttempt(request, AttemptEnd::Failed, aNow);
    self.RetryOrAbandon(actions, request, aAnswer.reason_, aNow);
    return actions;
  }
  self.Record(actions,
              aAnswer.requestId_,
              "answered",
              Verdict::Ran,
              true,
              "status " + std::to_string(aAnswer.status_) + " from side/" +
                aSideId,
              aAnswer.attemptId_);
  if (request.claimWrites_ > 0) {
    ClaimRecord record;
    record.requestId_ = aAnswer.requestId_;
    record.fingerprint_ = request.fingerprint_;
    self.WriteOutcome(actions, request, AnswerRecord(record, aAnswer), aNow);
  }
  AnswerCaller answer;
  answer.requestId_ = aAnswer.requestId_;
  answer.verdict_ = Verdict::Ran;
  answer.status_ = aAnswer.status_;
  answer.headers_ = aAnswer.headers_;
  answer.body_ = aAnswer.body_;
  actions.emplace_back(std::move(answer));
  self.EndAttempt(request, AttemptEnd::Answered, aNow);
  self.Forget(aAnswer.requestId_, aNow);
  return actions;
}

std::vector<EntryAction>
EntryCore::OnSideLost(const std::string& aSideId,
                      bool aNeverConnected,
                      Instant aNow)
{
  std::vector<EntryAction> actions;
  Private& self = *private_;
  const auto sent = self.inFlightBySide_.find(aSideId);
  if (sent == self.inFlightBySide_.end()) {
    return actions;
  }
  const std::set<std::string> hit = std::exchange(sent->second, {});
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
                "on side/" + aSideId,
                request.attemptId_);
    self.EndAttempt(request, AttemptEnd::Failed, aNow);
    self.RetryOrAbandon(actions,
                        request,
                        "The connection to the upstream's side was lost.",
                        aNow);
  }
  return actions;
}

std::vector<EntryAction>
EntryCore::OnCallerDisconnected(const std::string& aRequestId, Instant aNow)
{
  std::vector<EntryAction> actions;
  if (private_->requests_.contains(aRequestId)) {
    private_->Abandon(actions, aRequestId, 499, "The caller hung up.", aNow);
  }
  return actions;
}

std::vector<EntryAction>
EntryCore::OnTick(Instant aNow)
{
  std::vector<EntryAction> actions;
  Private& self = *private_;
  self.awakeClock_.OnTick(aNow);
  while (!self.deadlines_.empty() && self.deadlines_.begin()->first <= aNow) {
    const std::string id = self.deadlines_.begin()->second;
    self.Abandon(actions, id, 504, "The deadline passed.", aNow);
  }
  self.HandleUnresponsiveSides(actions, aNow);
  self.RemoveUnresponsiveSides(aNow);
  while (!self.abandonedOrder_.empty() &&
         self.abandonedOrder_.front().first <= aNow) {
    self.abandoned_.erase(self.abandonedOrder_.front().second);
    self.abandonedOrder_.pop_front();
  }
  for (WriteClaim& write : self.outcomes_.OnTick(aNow)) {
    actions.emplace_back(std::move(write));
  }
  return actions;
}

std::vector<EntryAction>
EntryCore::OnStopTimeout(Instant aNow)
{
  std::vector<EntryAction> actions;
  Private& self = *private_;
  while (!self.deadlines_.empty()) {
    const std::string id = self.deadlines_.begin()->second;
    self.Abandon(actions, id, 503, "The entry's planned stop ended.", aNow);
  }
  return actions;
}

std::size_t
EntryCore::UnwrittenOutcomes() const
{
  return private_->outcomes_.Unwritten();
}

std::size_t
EntryCore::InProgress() const
{
  return private_->requests_.size();
}

}
