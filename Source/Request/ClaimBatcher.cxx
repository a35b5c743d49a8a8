#include "Request/ClaimBatcher.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace cactusrail {

ClaimBatcher::ClaimBatcher(const Limits& aLimits)
  : limits_(aLimits)
{
}

void
ClaimBatcher::Add(WriteClaim aWrite)
{
  waiting_.push_back(std::move(aWrite));
}

std::optional<ClaimBatcher::Batch>
ClaimBatcher::Begin(Instant aNow)
{
  // A row that the table service can't store fails its transaction on each
  // attempt, and all other claims in the transaction would get an unknown
  // outcome.
  const auto alone =
    std::find_if(waiting_.begin(),
                 waiting_.end(),
                 [](const WriteClaim& aWrite) { return aWrite.alone_; });
  if (alone != waiting_.end()) {
    Batch batch{ nextBatchId_++, { std::move(*alone) }, alone->deadline_ };
    waiting_.erase(alone);
    inFlight_.emplace(batch.id_, batch.writes_);
    return batch;
  }
  // A lost answer would block every claim of the lane until the call times out,
  // and the claims would exceed their deadlines. Parallel transactions are safe
  // because each row's condition guards it.
  const bool held = inFlight_.contains(lastBatchId_) &&
                    aNow < lastBegin_ + limits_.answerTimeout_;
  if (held || waiting_.empty() || aNow < nextBegin_) {
    return std::nullopt;
  }
  Batch batch;
  batch.id_ = nextBatchId_++;
  std::set<std::pair<std::string, std::string>> keys;
  std::deque<WriteClaim> deferred;
  for (WriteClaim& write : waiting_) {
    // Two writes of one key can't share a transaction: the condition of the
    // second would be checked before the first is written, and both requests
    // would own the key.
    const bool fits = batch.writes_.size() < limits_.maxRows_ &&
                      keys.emplace(write.tenant_, write.key_).second;
    if (!fits) {
      deferred.push_back(std::move(write));
      continue;
    }
    batch.deadline_ = std::max(batch.deadline_, write.deadline_);
    batch.writes_.push_back(std::move(write));
  }
  waiting_ = std::move(deferred);
  inFlight_.emplace(batch.id_, batch.writes_);
  lastBatchId_ = batch.id_;
  lastBegin_ = aNow;
  nextBegin_ = aNow + limits_.interval_;
  return batch;
}

std::vector<WriteClaim>
ClaimBatcher::Take(std::uint64_t aBatchId)
{
  auto node = inFlight_.extract(aBatchId);
  return node.empty() ? std::vector<WriteClaim>() : std::move(node.mapped());
}

std::vector<ClaimBatcher::Ended>
ClaimBatcher::OnApplied(std::uint64_t aBatchId,
                        std::span<const std::uint64_t> aRevisions)
{
  std::vector<WriteClaim> batch = Take(aBatchId);
  std::vector<Ended> ended;
  for (std::size_t index = 0; index < batch.size(); ++index) {
    ClaimWriteResult result;
    // Rows without a revision in the answer have an unknown outcome.
    if (index < aRevisions.size()) {
      result.outcome_ = ClaimWrite::Applied;
      result.revision_ = aRevisions[index];
    }
    ended.push_back({ std::move(batch[index]), result });
  }
  return ended;
}

std::vector<ClaimBatcher::Ended>
ClaimBatcher::OnRefused(std::uint64_t aBatchId,
                        std::span<const RefusedRow> aRows)
{
  // Without a refused row the batch would be resent forever.
  if (aRows.empty()) {
    return OnFailed(aBatchId, ClaimWrite::NotWritten);
  }
  std::vector<WriteClaim> batch = Take(aBatchId);
  std::map<std::size_t, ClaimWriteResult> refused;
  for (const RefusedRow& row : aRows) {
    refused.insert(row);
  }
  std::vector<Ended> ended;
  std::deque<WriteClaim> requeued;
  for (std::size_t index = 0; index < batch.size(); ++index) {
    const auto found = refused.find(index);
    if (found == refused.end()) {
      requeued.push_back(std::move(batch[index]));
    } else {
      ended.push_back({ std::move(batch[index]), found->second });
    }
  }
  waiting_.insert(waiting_.begin(),
                  std::make_move_iterator(requeued.begin()),
                  std::make_move_iterator(requeued.end()));
  nextBegin_ = Instant();
  return ended;
}

std::vector<ClaimBatcher::Ended>
ClaimBatcher::OnFailed(std::uint64_t aBatchId, ClaimWrite aOutcome)
{
  std::vector<Ended> ended;
  for (WriteClaim& write : Take(aBatchId)) {
    ended.push_back({ std::move(write), { aOutcome, 0, {} } });
  }
  return ended;
}

std::vector<ClaimBatcher::Ended>
ClaimBatcher::OnTick(Instant aNow)
{
  std::vector<Ended> ended;
  std::deque<WriteClaim> remaining;
  for (WriteClaim& write : waiting_) {
    if (write.deadline_ <= aNow) {
      ended.push_back({ std::move(write), { ClaimWrite::NotWritten, 0, {} } });
    } else {
      remaining.push_back(std::move(write));
    }
  }
  waiting_ = std::move(remaining);
  return ended;
}

std::size_t
ClaimBatcher::Waiting() const
{
  return waiting_.size();
}

}
