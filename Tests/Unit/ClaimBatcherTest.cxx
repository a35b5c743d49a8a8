#include "Request/ClaimBatcher.h"

#include <criterion/criterion.h>

#include <iostream>
#include <map>

using namespace cactusrail;

namespace {

constexpr Instant kStart{ Micros(1000000000) };

/** Simulated table with atomic transactions that take effect after a delay. */
class FakeTable
{
public:
  explicit FakeTable(ClaimBatcher& aBatcher)
    : batcher_(aBatcher)
  {
  }

  void Step(Instant aNow)
  {
    if (batch_.has_value() && aNow >= answerAt_) {
      Answer();
    }
    if (!batch_.has_value()) {
      batch_ = batcher_.Begin(aNow);
      answerAt_ = aNow + Millis(5);
    }
  }

  std::size_t transactions_ = 0;
  std::map<std::string, ClaimWriteResult> results_;

private:
  void Answer()
  {
    ++transactions_;
    std::vector<ClaimBatcher::RefusedRow> refused;
    for (std::size_t index = 0; index < batch_->writes_.size(); ++index) {
      const WriteClaim& write = batch_->writes_[index];
      const ClaimWriteResult& row = rows_[write.key_];
      if (row.revision_ != write.expectedRevision_) {
        refused.emplace_back(
          index,
          ClaimWriteResult{ ClaimWrite::Refused, row.revision_, row.record_ });
      }
    }
    if (!refused.empty()) {
      Take(batcher_.OnRefused(batch_->id_, refused));
    } else {
      std::vector<std::uint64_t> revisions;
      for (const WriteClaim& write : batch_->writes_) {
        rows_[write.key_] = { ClaimWrite::Applied, ++revision_, write.record_ };
        revisions.push_back(revision_);
      }
      Take(batcher_.OnApplied(batch_->id_, revisions));
    }
    batch_.reset();
  }

  void Take(const std::vector<ClaimBatcher::Ended>& aEnded)
  {
    for (const ClaimBatcher::Ended& ended : aEnded) {
      results_[ended.write_.requestId_] = ended.result_;
    }
  }

  ClaimBatcher& batcher_;
  std::optional<ClaimBatcher::Batch> batch_;
  Instant answerAt_;
  std::uint64_t revision_ = 0;
  std::map<std::string, ClaimWriteResult> rows_;
};

WriteClaim
Claim(const std::string& aRequestId, const std::string& aKey)
{
  WriteClaim write;
  write.requestId_ = aRequestId;
  write.key_ = aKey;
  write.record_.requestId_ = aRequestId;
  write.deadline_ = kStart + Millis(60000);
  return write;
}

}

Test(ClaimBatcher, SingleWriteIsSentAtOnce)
{
  ClaimBatcher batcher(ClaimBatcher::Limits{});
  batcher.Add(Claim("r1", "k1"));
  cr_assert(batcher.Begin(kStart).has_value());
}

// Two requests claim one key within a millisecond, together with forty other
// claims. Guards against both claims in one transaction, after which both
// requests own the key, and against a refused claim that fails the other forty.
Test(ClaimBatcher, OneOwnerPerKeyAndOtherClaimsApplied)
{
  ClaimBatcher batcher(ClaimBatcher::Limits{});
  FakeTable table(batcher);
  batcher.Add(Claim("first", "same"));
  batcher.Add(Claim("second", "same"));
  for (int other = 0; other < 40; ++other) {
    const std::string name = std::to_string(other);
    batcher.Add(Claim("r" + name, "k" + name));
  }
  for (int milli = 0; milli < 200; ++milli) {
    table.Step(kStart + Millis(milli));
  }
  cr_assert(table.results_.size() == 42);
  cr_assert(table.results_["first"].outcome_ == ClaimWrite::Applied);
  cr_assert(table.results_["second"].outcome_ == ClaimWrite::Refused);
  cr_assert(table.results_["second"].record_.requestId_ == "first");
  for (int other = 0; other < 40; ++other) {
    const auto& result = table.results_["r" + std::to_string(other)];
    cr_assert(result.outcome_ == ClaimWrite::Applied);
  }
}

Test(ClaimBatcher, CountsTransactions)
{
  ClaimBatcher batcher(ClaimBatcher::Limits{});
  FakeTable table(batcher);
  constexpr int kClaims = 2000;
  for (int milli = 0; milli < 2000; ++milli) {
    if (milli < 1000) {
      batcher.Add(Claim("a" + std::to_string(milli), std::to_string(milli)));
      batcher.Add(
        Claim("b" + std::to_string(milli), std::to_string(-milli - 1)));
    }
    table.Step(kStart + Millis(milli));
  }
  std::cerr << kClaims << " claims in a second: " << table.transactions_
            << " transactions\n";
  cr_assert(table.results_.size() == kClaims);
  cr_assert(table.transactions_ <= kClaims / 20);
}

Test(ClaimBatcher, WriteWaitingPastItsDeadlineIsNotWritten)
{
  ClaimBatcher batcher(ClaimBatcher::Limits{});
  batcher.Add(Claim("r1", "k1"));
  const auto batch = batcher.Begin(kStart);
  cr_assert(batch.has_value());
  batcher.Add(Claim("r2", "k2"));
  const auto expired = batcher.OnTick(kStart + Millis(60000));
  cr_assert(expired.size() == 1);
  cr_assert(expired.front().result_.outcome_ == ClaimWrite::NotWritten);
  const auto unknown = batcher.OnFailed(batch->id_, ClaimWrite::Unknown);
  cr_assert(unknown.size() == 1);
  cr_assert(unknown.front().result_.outcome_ == ClaimWrite::Unknown);
}

// Guards against a lost answer of the table that blocks the next claim until
// its deadline, although the table works. The next claim must be sent in
// parallel, and the late result must apply to the first claim only.
Test(ClaimBatcher, LostAnswerBlocksNoOtherClaim)
{
  ClaimBatcher batcher(ClaimBatcher::Limits{});
  batcher.Add(Claim("lost", "k1"));
  const auto lost = batcher.Begin(kStart);
  batcher.Add(Claim("next", "k2"));
  cr_assert(!batcher.Begin(kStart + Millis(49)).has_value());
  const auto next = batcher.Begin(kStart + Millis(50));
  cr_assert(next.has_value(), "the next claim waits for the lost answer");
  const auto failed = batcher.OnFailed(lost->id_, ClaimWrite::Unknown);
  cr_assert(failed.size() == 1);
  cr_assert(failed.front().write_.requestId_ == "lost");
  const auto applied =
    batcher.OnApplied(next->id_, std::vector<std::uint64_t>{ 7 });
  cr_assert(applied.size() == 1);
  cr_assert(applied.front().write_.requestId_ == "next");
  cr_assert(applied.front().result_.revision_ == 7);
}

// Guards against an outcome that the table service can't store, because of an
// invalid byte in the answer, failing each batch that it joins on its retries:
// every claim of the lane would be refused for two minutes.
Test(ClaimBatcher, FailedWriteIsRetriedAlone)
{
  ClaimBatcher batcher(ClaimBatcher::Limits{});
  batcher.Add(Claim("other", "k1"));
  WriteClaim failed = Claim("failed", "k2");
  failed.alone_ = true;
  batcher.Add(failed);
  const auto alone = batcher.Begin(kStart);
  cr_assert(alone->writes_.size() == 1,
            "the failed write shares its transaction");
  cr_assert(alone->writes_.front().requestId_ == "failed");
  const auto group = batcher.Begin(kStart);
  cr_assert(group.has_value(), "the failed write blocks the other writes");
  cr_assert(group->writes_.front().requestId_ == "other");
}
