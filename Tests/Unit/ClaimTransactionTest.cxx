#include "Request/ClaimTransaction.h"
#include "Version/JsonText.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

constexpr Instant kStart{ Micros(1000000000) };

/** Returns a batch of three claims. */
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

// One batch holds three claims, and the second key was used before. Guards
// against assigning its row to another claim: the first caller would get the
// answer to another request, and the second request would run again.
Test(ClaimTransaction, RefusalAppliesToTheNamedRow)
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
            "a row is assigned to another claim");
  cr_assert(ended.front().result_.outcome_ == ClaimWrite::Refused);
  cr_assert(ended.front().result_.record_.requestId_ == "former");
  const auto again = batcher.Begin(kStart);
  cr_assert(again->writes_.size() == 2);
}

// The answer to three claims holds two rows. Guards against treating the third
// claim as written.
Test(ClaimTransaction, AnswerWithoutARowIsUnknown)
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
            "a claim gets the revision of another claim");
}

Test(ClaimTransaction, LostAnswerIsUnknownForEachClaim)
{
  ClaimBatcher batcher(ClaimBatcher::Limits{});
  ClaimTransaction group(ThreeClaims(batcher));
  const Failure lost{
    FailureKind::TimedOut, Verdict::MayHaveRun, "No answer came.", Millis(0)
  };
  for (const ClaimBatcher::Ended& ended : group.Read(lost, batcher)) {
    cr_assert(ended.result_.outcome_ == ClaimWrite::Unknown,
              "a claim whose answer was lost counts as written");
  }
}
