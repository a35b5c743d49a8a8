#include "Bench.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace cactusrail;

namespace {

/** Waits until an entry's steps so far are in the object store. */
void
WaitUntilStored(Bench& aBench, const std::string& aEntry)
{
  WaitUntil(
    [&] {
      const auto got = aBench.AskOperators(aEntry, "/v1/journal");
      const auto* reply = std::get_if<HttpReply>(&got);
      return reply != nullptr &&
             reply->body_.find("\"stored\":true") != std::string::npos;
    },
    "the steps of " + aEntry + " to be stored");
}

bool
IsSortedWithoutRepeats(const std::vector<RequestStep>& aSteps)
{
  for (std::size_t i = 1; i < aSteps.size(); ++i) {
    const RequestStep& before = aSteps[i - 1];
    const RequestStep& after = aSteps[i];
    const bool same = before.wallMicros_ == after.wallMicros_ &&
                      before.host_ == after.host_ &&
                      before.step_ == after.step_;
    if (before.wallMicros_ > after.wallMicros_ || same) {
      return false;
    }
  }
  return true;
}

}

// A support engineer asks any entry about a request that another entry took.
// All entries must tell the same.
Test(Explain, EveryEntryTellsTheSame)
{
  Bench bench;
  bench.StartUsual(3, 2);
  const CallRecord call = bench.SendAndWait("entry1");
  const auto known = bench.Explain("entry1", call.requestId_);
  cr_assert(Bench::Conclude(known) == Verdict::Ran);
  cr_assert(IsSortedWithoutRepeats(known));
  for (const char* entry : { "entry2", "entry3" }) {
    WaitUntil(
      [&] {
        return bench.Explain(entry, call.requestId_).size() == known.size();
      },
      std::string(entry) + " to know all steps");
  }
  cr_assert(bench.Explain("entry2", "entry9-zz-0-1-1").empty());
  cr_assert(bench.Explain("entry2", "nonsense").empty());
}

// The entry that took a request dies and its host is replaced. The accountant
// asks a day later; memory is gone, the object store is not.
Test(Explain, OutlivesItsEntry)
{
  Bench bench;
  bench.StartUsual(2, 2);
  std::vector<CallRecord> calls;
  calls.reserve(6);
  for (int i = 0; i < 6; ++i) {
    calls.push_back(bench.SendAndWait("entry1"));
  }
  const auto before = bench.Explain("entry1", calls[0].requestId_);
  WaitUntilStored(bench, "entry1");
  bench["entry1"].Kill();
  bench["side1"].Kill();
  bench["side2"].Kill();
  for (const CallRecord& call : calls) {
    const auto steps = bench.Explain("entry2", call.requestId_);
    cr_assert(Bench::Conclude(steps) == Verdict::Ran,
              "%s: %zu steps",
              call.requestId_.c_str(),
              steps.size());
    cr_assert(IsSortedWithoutRepeats(steps));
  }
  bench.Settle("explain-entry-replaced", "entry2");
}

// A whole service is moved: its side is stopped as planned, the entry that sent
// the request had already died with the answer on its way. Only the side's
// segment knows that the request ran.
Test(Explain, OutlivesItsSide)
{
  Bench bench;
  bench.StartUsual(2, 1);
  const std::size_t call =
    bench.Send("entry1", CallPlan{ .query_ = "work=2600" });
  WaitUntil([&] { return bench.RunsOf("m1") == 1; }, "the request to begin");
  bench.SendAndWait("entry1");
  // "dispatched" must be in the store; the answer comes after the entry's end.
  WaitUntilStored(bench, "entry1");
  bench["entry1"].Kill();
  bench.WaitForCalls();
  cr_assert(bench.Call(call).status_ == 0);
  const std::string id = bench.RanIdOf("m1");
  WaitUntil(
    [&] {
      return Bench::Conclude(bench.Explain("entry2", id)) == Verdict::Ran;
    },
    "the side to tell that it ran");
  bench["side1"].Signal(SIGTERM);
  cr_assert(bench["side1"].WaitForEnd() == 0);
  const auto steps = bench.Explain("entry2", id);
  cr_assert(Bench::Conclude(steps) == Verdict::Ran,
            "%zu steps, none conclusive",
            steps.size());
}

// The object store is down for a while: requests go on, their steps wait, and
// reach the store when it is back.
Test(Explain, SegmentsWaitForTheStore)
{
  Bench bench;
  bench.StartUsual(2, 1);
  bench.SetFault("down");
  const CallPlan check{ .method_ = "GET" };
  const CallRecord call = bench.SendAndWait("entry1", check);
  cr_assert(call.verdictText_ == "ran");
  WaitUntil(
    [&] {
      const auto got = bench.AskOperators("entry1", "/v1/journal");
      const auto* reply = std::get_if<HttpReply>(&got);
      return reply != nullptr &&
             reply->body_.find("\"failed\":0,") == std::string::npos;
    },
    "a write to fail");
  bench.SetFault("none");
  WaitUntilStored(bench, "entry1");
  bench["entry1"].Kill();
  bench["side1"].Kill();
  cr_assert(Bench::Conclude(bench.Explain("entry2", call.requestId_)) ==
            Verdict::Ran);
}
