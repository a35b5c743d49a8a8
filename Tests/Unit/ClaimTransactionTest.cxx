#include "Request/ClaimTransaction.h"
#include "Version/JsonText.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

constexpr Instant kStart{ Micros(1000000000) };

/** Three payouts' claims in one batch. */
ClaimBatcher::Batch
ThreeClaims(ClaimBatcher& aBatcher)
{
  for (const char* name : { "a", "b", "c" }) {
    WriteClaim write;
    write.requestId_ = name;
    write.tenant_ = "desk";
    write.key_ = name;
    write.deadline_ = kStart + Millis(500);
    aBatcher.Add(write);
  }
  return *aBatcher.Begin(kStart);
}

}

// Three clerks' payouts are claimed together, and the second's key was used
// before. Were its row taken for another's, the first clerk would be given the
// answer to a payout that isn't his, and the second's would run again.
Test(ClaimTransaction, RefusalIsOfTheRowItNames)
{
  ClaimBatcher batcher(ClaimBatcher::Limits{});
  ClaimTransaction group(ThreeClaims(batcher));
  const TableTransaction sent = group.Transaction();
  ClaimRecord former;
  former.requestId_ = "former";
  TableOutcome refused;
  refused.rows_.push_back({ sent.puts_[1].key_, 9, ToJson(former) });
  const auto ended = group.Read(refused, batcher);
  cr_assert(ended.size() == 1);
  cr_assert(ended.front().write_.requestId_ == "b",
            "a row is taken for another claim's");
  cr_assert(ended.front().result_.outcome_ == ClaimWrite::Refused);
  cr_assert(ended.front().result_.record_.requestId_ == "former");
  const auto again = batcher.Begin(kStart);
  cr_assert(again->writes_.size() == 2);
}

// The answer to three claims names two rows: the third must not be believed.
Test(ClaimTransaction, AnswerWithoutARowIsADoubt)
{
  ClaimBatcher batcher(ClaimBatcher::Limits{});
  ClaimTransaction group(ThreeClaims(batcher));
  const TableTransaction sent = group.Transaction();
  TableOutcome applied;
  applied.applied_ = true;
  applied.rows_.push_back({ sent.puts_[0].key_, 7, "" });
  applied.rows_.push_back({ sent.puts_[2].key_, 8, "" });
  const auto ended = group.Read(applied, batcher);
  cr_assert(ended.size() == 3);
  cr_assert(ended[0].result_.outcome_ == ClaimWrite::Applied);
  cr_assert(ended[0].result_.revision_ == 7);
  cr_assert(ended[1].result_.outcome_ == ClaimWrite::Unknown,
            "a claim is given another's revision");
}

Test(ClaimTransaction, LostAnswerIsADoubtOfEach)
{
  ClaimBatcher batcher(ClaimBatcher::Limits{});
  ClaimTransaction group(ThreeClaims(batcher));
  const Failure lost{
    FailureKind::TimedOut, Verdict::MayHaveRun, "No answer came.", Millis(0)
  };
  for (const ClaimBatcher::Ended& ended : group.Read(lost, batcher)) {
    cr_assert(ended.result_.outcome_ == ClaimWrite::Unknown,
              "a claim is believed whose answer was lost");
  }
}
