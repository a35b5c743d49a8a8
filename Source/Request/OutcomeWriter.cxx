#include "Request/OutcomeWriter.h"

namespace cactusrail {

OutcomeWriter::OutcomeWriter(const Limits& aLimits, std::uint64_t& aNextWriteId)
  : limits_(aLimits)
  , nextWriteId_(aNextWriteId)
{
}

WriteClaim
OutcomeWriter::StartWrite(Outcome& aOutcome, Instant aNow)
{
  WriteClaim write;
  write.requestId_ = aOutcome.record_.requestId_;
  write.writeId_ = ++nextWriteId_;
  write.tenant_ = aOutcome.claim_.tenant_;
  write.key_ = aOutcome.claim_.key_;
  // The write is always conditional: an entry that was stalled would otherwise
  // overwrite the claim of a request that claimed the key after this one was
  // abandoned.
  write.expectedRevision_ = aOutcome.claim_.revision_;
  write.record_ = aOutcome.record_;
  write.deadline_ = aNow + limits_.writeTimeout_;
  aOutcome.writeId_ = write.writeId_;
  aOutcome.inFlight_ = aOutcome.record_;
  retries_.erase({ aOutcome.nextWriteAt_, write.requestId_ });
  return write;
}

void
OutcomeWriter::ScheduleRetry(const std::string& aRequestId,
                             Outcome& aOutcome,
                             Instant aNow)
{
  aOutcome.writeId_ = 0;
  aOutcome.nextWriteAt_ = aNow + limits_.retryInterval_;
  retries_.emplace(aOutcome.nextWriteAt_, aRequestId);
}

void
OutcomeWriter::MarkWritten(const std::string& aRequestId, Outcome& aOutcome)
{
  aOutcome.writeId_ = 0;
  aOutcome.written_ = true;
  --unwritten_;
  if (aOutcome.record_.verdict_ != Verdict::MayHaveRun) {
    Forget(aRequestId);
  }
}

void
OutcomeWriter::Forget(const std::string& aRequestId)
{
  const auto found = outcomes_.find(aRequestId);
  if (found == outcomes_.end()) {
    return;
  }
  unwritten_ -= found->second.written_ ? 0 : 1;
  retries_.erase({ found->second.nextWriteAt_, aRequestId });
  expiries_.erase({ found->second.expiresAt_, aRequestId });
  outcomes_.erase(found);
}

WriteClaim
OutcomeWriter::Add(const Claim& aClaim,
                   const ClaimRecord& aRecord,
                   Instant aNow)
{
  if (outcomes_.size() >= limits_.maxOutcomes_) {
    Forget(std::string(expiries_.begin()->second));
  }
  Outcome& outcome = outcomes_[aRecord.requestId_];
  outcome.claim_ = aClaim;
  outcome.record_ = aRecord;
  outcome.expiresAt_ = aNow + limits_.lifetime_;
  expiries_.emplace(outcome.expiresAt_, aRecord.requestId_);
  ++unwritten_;
  return StartWrite(outcome, aNow);
}

std::optional<WriteClaim>
OutcomeWriter::Amend(const ClaimRecord& aRecord, Instant aNow)
{
  const auto found = outcomes_.find(aRecord.requestId_);
  if (found == outcomes_.end() ||
      found->second.record_.verdict_ != Verdict::MayHaveRun) {
    return std::nullopt;
  }
  Outcome& outcome = found->second;
  outcome.record_ = aRecord;
  unwritten_ += outcome.written_ ? 1 : 0;
  outcome.written_ = false;
  if (outcome.writeId_ != 0) {
    return std::nullopt;
  }
  return StartWrite(outcome, aNow);
}

std::optional<WriteClaim>
OutcomeWriter::OnWritten(const std::string& aRequestId,
                         std::uint64_t aWriteId,
                         const ClaimWriteResult& aResult,
                         Instant aNow)
{
  const auto found = outcomes_.find(aRequestId);
  if (found == outcomes_.end() || found->second.writeId_ != aWriteId) {
    return std::nullopt;
  }
  Outcome& outcome = found->second;
  if (aResult.outcome_ == ClaimWrite::NotWritten ||
      aResult.outcome_ == ClaimWrite::Unknown) {
    ScheduleRetry(aRequestId, outcome, aNow);
    return std::nullopt;
  }
  const bool applied = aResult.outcome_ == ClaimWrite::Applied;
  const bool ownsKey = applied || aResult.record_.requestId_ == aRequestId;
  if (!ownsKey) {
    // The claim write had no effect, and another request owns the key now.
    Forget(aRequestId);
    return std::nullopt;
  }
  outcome.claim_.revision_ = aResult.revision_;
  const ClaimRecord& stored = applied ? outcome.inFlight_ : aResult.record_;
  if (stored == outcome.record_) {
    MarkWritten(aRequestId, outcome);
    return std::nullopt;
  }
  return StartWrite(outcome, aNow);
}

std::vector<WriteClaim>
OutcomeWriter::OnTick(Instant aNow)
{
  while (!expiries_.empty() && expiries_.begin()->first <= aNow) {
    Forget(std::string(expiries_.begin()->second));
  }
  std::vector<WriteClaim> writes;
  while (!retries_.empty() && retries_.begin()->first <= aNow) {
    const std::string id = retries_.begin()->second;
    writes.push_back(StartWrite(outcomes_.at(id), aNow));
    writes.back().alone_ = true;
  }
  return writes;
}

std::size_t
OutcomeWriter::Unwritten() const
{
  return unwritten_;
}

}
