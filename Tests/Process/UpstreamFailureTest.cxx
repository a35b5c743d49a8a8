#include "Bench.h"

#include <criterion/criterion.h>

using namespace cactusrail;

// Guards against hidden retries. An upstream reads a request and closes the
// connection without an answer; Qt's client would send the POST once more by
// itself, and the request would run twice unnoticed.
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
      // Leaves a kept-alive connection to the upstream for the next request.
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
  bench.VerifyOutcomes("closed-without-answer", "entry1");
}

// Guards against truncated answers that pass as whole. The upstream's
// connection breaks in the middle of an answer, or the answer does not state
// its length.
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
  bench.VerifyOutcomes("truncated", "entry1");
}

// Guards against unused slots. Qt's client opens no more than six connections
// to one host and queues further requests internally, so two of eight slots
// would stay empty while callers wait.
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
  bench.VerifyOutcomes("eight-slots", "entry1");
}
