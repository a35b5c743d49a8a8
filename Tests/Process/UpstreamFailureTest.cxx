#include "Bench.h"

#include <criterion/criterion.h>

using namespace cactusrail;

// An accountant sends a payout. The upstream reads it whole, may act on it, and
// closes the connection without an answer. Qt's client would send the POST once
// more by itself; the payout would go out twice and nobody would know.
Test(UpstreamFailure, ClosedWithoutAnswerIsSentOnce)
{
  Bench bench;
  bench.StartUsual(1, 1);
  for (const char* method : { "POST", "PUT", "DELETE", "PATCH" }) {
    for (const char* body : { "lot", "" }) {
      CallPlan plan;
      plan.method_ = method;
      plan.body_ = body;
      plan.query_ = "fail=close";
      const CallRecord onFresh = bench.SendAndWait("entry1", plan);
      cr_assert(onFresh.status_ == 502, "status %d", onFresh.status_);
      cr_assert(onFresh.verdictText_ == "may have run");
      cr_assert(bench.RunsOf(onFresh.mark_) == 1,
                "%s with body '%s' ran %zu times on a fresh connection",
                method,
                body,
                bench.RunsOf(onFresh.mark_));
      // The next one leaves a kept-alive connection to the upstream behind.
      plan.query_ = "";
      cr_assert(bench.SendAndWait("entry1", plan).status_ == 200);
      plan.query_ = "fail=close";
      const CallRecord onReused = bench.SendAndWait("entry1", plan);
      cr_assert(onReused.verdictText_ == "may have run");
      cr_assert(bench.RunsOf(onReused.mark_) == 1,
                "%s with body '%s' ran %zu times on a reused connection",
                method,
                body,
                bench.RunsOf(onReused.mark_));
    }
  }
  bench.Settle("closed-without-answer", "entry1");
}

// A clerk reads a price list of which the last rows are missing, because the
// upstream's connection broke in the middle of its answer, or the answer never
// said how long it was. Neither may pass for a whole answer.
Test(UpstreamFailure, TruncatedOrLengthlessIsNeverASuccess)
{
  Bench bench;
  bench.StartUsual(1, 1);
  for (const char* query : { "fail=truncate", "fail=lengthless" }) {
    CallPlan plan;
    plan.query_ = query;
    const CallRecord call = bench.SendAndWait("entry1", plan);
    cr_assert(call.status_ == 502, "%s: status %d", query, call.status_);
    cr_assert(call.verdictText_ == "may have run");
    cr_assert(bench.RunsOf(call.mark_) == 1);
  }
  bench.Settle("truncated", "entry1");
}

// A runner has eight slots, but Qt's client opens no more than six connections
// to one host and queues the rest unseen: two slots would stay empty while
// warehouse clerks wait.
Test(UpstreamFailure, AllEightSlotsAreUsed)
{
  Bench bench;
  bench.StartUsual(1, 1);
  CallPlan plan;
  plan.query_ = "work=1500";
  for (int i = 0; i < 8; ++i) {
    bench.Send("entry1", plan);
  }
  WaitUntil(
    [&bench] { return !bench["upstream-side1"].Lines("busy 8").empty(); },
    "eight requests at once in the upstream");
  bench.WaitForCalls();
  cr_assert(bench["upstream-side1"].Lines("overloaded").empty());
  bench.Settle("eight-slots", "entry1");
}
