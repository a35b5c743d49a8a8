#include "Bench.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace cactusrail;

namespace {

/** Waits until the object store holds an entry's steps so far. */
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

// Guards against answers that depend on the entry. Every entry must explain a
// request in the same way, also one that another entry served.
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
      std::string(entry) + " to report all steps");
  }
  cr_assert(bench.Explain("entry2", "entry9-zz-0-1-1").empty());
  cr_assert(bench.Explain("entry2", "nonsense").empty());
}

// Guards against the loss of a request's steps when the entry that served it
// dies and its host is replaced. The steps in memory are lost; those in the
// object store must be enough to explain the request a day later.
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
  bench.VerifyOutcomes("explain-entry-replaced", "entry2");
}

// Guards against the loss of a request's steps when its side is stopped in a
// planned way after its entry died with the answer in flight. Only the side's
// segment records that the request ran.
Test(Explain, OutlivesItsSide)
{
  Bench bench;
  bench.StartUsual(2, 1);
  const std::size_t call =
    bench.Send("entry1", CallPlan{ .query_ = "work=2600" });
  WaitUntil([&] { return bench.RunsOf("m1") == 1; }, "the request to begin");
  bench.SendAndWait("entry1");
  // The store must hold "dispatched"; the answer arrives after the entry's end.
  WaitUntilStored(bench, "entry1");
  bench["entry1"].Kill();
  bench.WaitForCalls();
  cr_assert(bench.Call(call).status_ == 0);
  const std::string id = bench.RanIdOf("m1");
  WaitUntil(
    [&] {
      return Bench::Conclude(bench.Explain("entry2", id)) == Verdict::Ran;
    },
    "the side to report that the request ran");
  bench["side1"].Signal(SIGTERM);
  cr_assert(bench["side1"].WaitForEnd() == 0);
  const auto steps = bench.Explain("entry2", id);
  cr_assert(Bench::Conclude(steps) == Verdict::Ran,
            "%zu steps, none conclusive",
            steps.size());
}

// Guards against lost steps during an outage of the object store. Requests
// continue, and their buffered steps must reach the store when it is available
// again.
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
