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
  if (!underWay_.empty() || waiting_.empty() || aNow < nextBegin_) {
    return std::nullopt;
  }
  Batch batch;
  std::set<std::pair<std::string, std::string>> keys;
  std::deque<WriteClaim> later;
  for (WriteClaim& write : waiting_) {
    // Two writes of one key in a transaction: the second's condition would be
    // read before the first's write, and both would think that they hold it.
    const bool fits = batch.writes_.size() < limits_.maxRows_ &&
                      keys.emplace(write.tenant_, write.key_).second;
    if (!fits) {
      later.push_back(std::move(write));
      continue;
    }
    batch.deadline_ = std::max(batch.deadline_, write.deadline_);
    batch.writes_.push_back(std::move(write));
  }
  waiting_ = std::move(later);
  underWay_ = batch.writes_;
  nextBegin_ = aNow + limits_.interval_;
  return batch;
}

std::vector<ClaimBatcher::Ended>
ClaimBatcher::OnApplied(std::span<const std::uint64_t> aRevisions)
{
  std::vector<WriteClaim> batch = std::exchange(underWay_, {});
  std::vector<Ended> ended;
  for (std::size_t place = 0; place < batch.size(); ++place) {
    ClaimWriteResult result;
    // An answer that is short of revisions is not trusted with the rest.
    if (place < aRevisions.size()) {
      result.outcome_ = ClaimWrite::Applied;
      result.revision_ = aRevisions[place];
    }
    ended.push_back({ std::move(batch[place]), result });
  }
  return ended;
}

std::vector<ClaimBatcher::Ended>
ClaimBatcher::OnRefused(std::span<const RefusedRow> aRows)
{
  // A refusal that names no row would be sent again and again.
  if (aRows.empty()) {
    return OnFailed(ClaimWrite::NotWritten);
  }
  std::vector<WriteClaim> batch = std::exchange(underWay_, {});
  std::map<std::size_t, ClaimWriteResult> refused;
  for (const RefusedRow& row : aRows) {
    refused.insert(row);
  }
  std::vector<Ended> ended;
  std::deque<WriteClaim> again;
  for (std::size_t place = 0; place < batch.size(); ++place) {
    const auto found = refused.find(place);
    if (found == refused.end()) {
      again.push_back(std::move(batch[place]));
    } else {
      ended.push_back({ std::move(batch[place]), found->second });
    }
  }
  waiting_.insert(waiting_.begin(),
                  std::make_move_iterator(again.begin()),
                  std::make_move_iterator(again.end()));
  nextBegin_ = Instant();
  return ended;
}

std::vector<ClaimBatcher::Ended>
ClaimBatcher::OnFailed(ClaimWrite aOutcome)
{
  std::vector<Ended> ended;
  for (WriteClaim& write : underWay_) {
    ended.push_back({ std::move(write), { aOutcome, 0, {} } });
  }
  underWay_.clear();
  return ended;
}

std::vector<ClaimBatcher::Ended>
ClaimBatcher::OnTick(Instant aNow)
{
  std::vector<Ended> ended;
  std::deque<WriteClaim> kept;
  for (WriteClaim& write : waiting_) {
    if (write.deadline_ <= aNow) {
      ended.push_back({ std::move(write), { ClaimWrite::NotWritten, 0, {} } });
    } else {
      kept.push_back(std::move(write));
    }
  }
  waiting_ = std::move(kept);
  return ended;
}

std::size_t
ClaimBatcher::Waiting() const
{
  return waiting_.size();
}

}
