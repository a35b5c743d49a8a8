#include "Bench.h"
#include "Traffic.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <iostream>

using namespace cactusrail;

namespace {

std::size_t
CountVerdict(const Bench& aBench,
             const std::vector<std::size_t>& aCalls,
             const std::string& aVerdict)
{
  return static_cast<std::size_t>(
    std::count_if(aCalls.begin(), aCalls.end(), [&](std::size_t aIndex) {
      return aBench.Call(aIndex).verdictText_ == aVerdict;
    }));
}

std::vector<std::size_t>
SendMany(Bench& aBench,
         const std::string& aEntry,
         std::size_t aCount,
         const CallPlan& aPlan)
{
  std::vector<std::size_t> calls;
  for (std::size_t i = 0; i < aCount; ++i) {
    calls.push_back(aBench.Send(aEntry, aPlan));
  }
  return calls;
}

}

// Guards against false verdicts when a side's host dies with requests answered,
// at the upstream and queued. Those at the upstream may have run: they must not
// be sent again or reported as "did not run", and no caller may wait until the
// deadline.
Test(Failure, SideKilledWithRequestsQueuedDispatchedAndAnswered)
{
  Bench bench;
  bench.StartPlatform();
  bench.StartEntry("entry1");
  bench.StartRunner("side1", "once", { "--slots", "2" });
  bench.Configure("entry1");
  bench.WaitForSide("entry1", "side1");
  const CallPlan plan{ .query_ = "work=300" };
  const auto calls = SendMany(bench, "entry1", 8, plan);
  WaitUntil([&] { return bench.Runs().size() >= 4; }, "four runs to begin");
  bench["side1"].Kill();
  bench.WaitForCalls();
  const Tally tally = bench.VerifyOutcomes("side-killed", "entry1");
  cr_assert(tally.unanswered_ == 0);
  cr_assert(CountVerdict(bench, calls, "ran") >= 2);
  cr_assert(tally.mayHaveRun_ >= 2,
            "Requests at the upstream must have an unknown outcome.");
}

// Guards against duplicate runs when an entry's host dies with requests in
// flight and the callers retry through another entry with the same
// Idempotency-Key. No request may run twice; each caller receives the answer or
// is directed to the first request.
Test(Failure, EntryKilledAndCallersRetryThroughAnother)
{
  Bench bench;
  bench.StartUsual(2, 2);
  std::vector<CallPlan> plans;
  std::vector<std::size_t> first;
  for (int number = 1; number <= 12; ++number) {
    CallPlan plan;
    plan.query_ = "work=" + std::to_string(number * 40);
    plan.idempotencyKey_ = "payout-" + std::to_string(number);
    plan.mark_ = "p" + std::to_string(number);
    plans.push_back(plan);
    first.push_back(bench.Send("entry1", plan));
  }
  WaitUntil([&] { return bench.Runs().size() >= 6; }, "six runs to begin");
  bench["entry1"].Kill();
  bench.WaitForCalls();
  std::size_t retried = 0;
  for (std::size_t i = 0; i < plans.size(); ++i) {
    if (bench.Call(first[i]).status_ == 0) {
      ++retried;
      bench.Send("entry2", plans[i]);
    }
  }
  bench.WaitForCalls();
  cr_assert(retried > 0, "The entry was killed too late.");
  const Tally tally = bench.VerifyOutcomes("entry-killed", "entry2");
  cr_assert(tally.doubled_ == 0);
}

// Guards against mixing two incarnations of a side that restarts on the same
// addresses under load. An answer for an attempt of the first incarnation must
// never reach a caller of the second, and nothing that the first one dispatched
// may run again.
Test(Failure, SideRestartedOnTheSamePort)
{
  Bench bench;
  bench.StartUsual(2, 2);
  Traffic first(bench, CallPlan{ .query_ = "work=50" });
  Traffic second(bench, CallPlan{ .method_ = "GET", .query_ = "work=50" });
  const auto pumpUntil = [&](std::size_t aRuns) {
    WaitUntil(
      [&] {
        first.Pump("entry1", 6);
        second.Pump("entry2", 6);
        return bench.Runs().size() >= aRuns;
      },
      "traffic");
  };
  pumpUntil(30);
  for (std::size_t round = 1; round <= 3; ++round) {
    bench["side1"].Kill();
    bench.RestartSide("side1");
    const std::size_t before = bench["upstream-side1"].Lines("ran ").size();
    WaitUntil(
      [&] {
        first.Pump("entry1", 6);
        second.Pump("entry2", 6);
        return bench["upstream-side1"].Lines("ran ").size() > before + 10;
      },
      "the restarted side to get work");
  }
  bench.WaitForCalls();
  const Tally tally = bench.VerifyOutcomes("side-restarted", "entry1");
  cr_assert(tally.unanswered_ == 0);
}

// Guards against duplicate runs when an entry and a side fail together with
// requests in flight and the callers retry through the remaining entry.
Test(Failure, EntryAndSideKilledTogether)
{
  Bench bench;
  bench.StartUsual(2, 2);
  std::vector<CallPlan> plans;
  std::vector<std::size_t> calls;
  for (int number = 1; number <= 12; ++number) {
    CallPlan plan;
    plan.query_ = "work=150";
    plan.idempotencyKey_ = "rack-" + std::to_string(number);
    plan.mark_ = "r" + std::to_string(number);
    plans.push_back(plan);
    calls.push_back(bench.Send("entry1", plan));
  }
  WaitUntil([&] { return bench.Runs().size() >= 10; }, "runs to begin");
  bench["side1"].Kill();
  bench["entry1"].Kill();
  bench.WaitForCalls();
  for (std::size_t i = 0; i < plans.size(); ++i) {
    if (bench.Call(calls[i]).status_ == 0) {
      bench.Send("entry2", plans[i]);
    }
  }
  bench.WaitForCalls();
  bench.VerifyOutcomes("entry-and-side-killed", "entry2");
}

// Guards against false verdicts when an upstream's process dies while it serves
// requests and restarts on another port. Requests that it was serving may have
// run; those that arrive before it is announced again did not run or run
// elsewhere.
Test(Failure, UpstreamKilledAndStartedAnew)
{
  Bench bench;
  bench.StartUsual(1, 2);
  Traffic traffic(bench, CallPlan{ .query_ = "work=60" });
  const auto pumpUntil = [&](std::size_t aRuns) {
    WaitUntil(
      [&] {
        traffic.Pump("entry1", 10);
        return bench.Runs().size() >= aRuns;
      },
      "traffic");
  };
  pumpUntil(30);
  bench["upstream-side1"].Kill();
  pumpUntil(60);
  bench.StartUpstream("side1");
  const Child& restarted = bench["upstream-side1"];
  WaitUntil(
    [&] {
      traffic.Pump("entry1", 10);
      return restarted.Lines("ran ").size() >= 5;
    },
    "the new upstream to get work");
  bench.WaitForCalls();
  const Tally tally = bench.VerifyOutcomes("upstream-killed", "entry1");
  cr_assert(tally.unanswered_ == 0);
}

// Guards against duplicate runs when a side stalls for longer than its
// heartbeat timeout at the entries and then continues. Other sides serve
// meanwhile; requests that the stalled side had accepted are answered late or
// with an unknown outcome, and never run again elsewhere.
Test(Failure, SideFrozenPastItsSilence)
{
  Bench bench;
  bench.StartUsual(2, 2);
  const CallPlan plan{ .query_ = "work=100" };
  SendMany(bench, "entry1", 12, plan);
  WaitUntil([&] { return bench.Runs().size() >= 8; }, "runs to begin");
  bench["side1"].Signal(SIGSTOP);
  bench.WaitForSide("entry1", "side1", false);
  const auto meanwhile = SendMany(bench, "entry1", 8, plan);
  WaitUntil(
    [&] {
      return std::all_of(meanwhile.begin(), meanwhile.end(), [&](auto aIndex) {
        return bench.Call(aIndex).ended_;
      });
    },
    "the others to be served meanwhile");
  cr_assert(CountVerdict(bench, meanwhile, "ran") == meanwhile.size());
  bench["side1"].Signal(SIGCONT);
  bench.WaitForSide("entry1", "side1");
  SendMany(bench, "entry2", 12, plan);
  bench.WaitForCalls();
  const Tally tally = bench.VerifyOutcomes("side-frozen", "entry1");
  cr_assert(tally.unanswered_ == 0);
}

// Guards against new requests at an upstream that has left. An entry is frozen
// for seconds while the upstream leaves, and then acts on stale data. The
// upstream's side must refuse, and the entry must send the request elsewhere.
Test(Failure, FrozenEntryDoesNotFeedALeavingUpstream)
{
  Bench bench;
  bench.StartUsual(2, 2);
  SendMany(bench, "entry1", 6, CallPlan{ .query_ = "work=100" });
  bench.WaitForCalls();
  bench["entry1"].Signal(SIGSTOP);
  bench.Ask("POST",
            "http://" + bench["side1"].Value("announce") + "/v1/goodbye");
  bench.WaitForSide("entry2", "side1", false);
  const std::size_t before = bench["upstream-side1"].Lines("ran ").size();
  const auto calls = SendMany(bench, "entry1", 16, CallPlan{});
  bench["entry1"].Signal(SIGCONT);
  bench.WaitForCalls();
  cr_assert(bench["upstream-side1"].Lines("ran ").size() == before,
            "The upstream that has left received a new request.");
  cr_assert(CountVerdict(bench, calls, "ran") == calls.size());
  bench.VerifyOutcomes("entry-frozen", "entry1");
}

// Guards against false or late verdicts when an upstream's process is frozen
// for longer than its announcement is valid. Callers with a short deadline
// receive "may have run" at the deadline and not later; the upstream does run
// the requests when it continues, so that the verdict is correct.
Test(Failure, UpstreamFrozenPastItsAnnouncement)
{
  Bench bench;
  bench.StartUsual(1, 1);
  bench.StartRunner("side2", "brief");
  bench.WaitForSide("entry1", "side2");
  bench.SendAndWait("entry1", CallPlan{ .service_ = "brief" });
  bench["upstream-side2"].Signal(SIGSTOP);
  const Instant frozen = ReadMonotonicClock();
  const auto calls =
    SendMany(bench, "entry1", 10, CallPlan{ .service_ = "brief" });
  bench.WaitForSide("entry1", "side2", false);
  std::cerr << "frozen-to-unusable: "
            << (ReadMonotonicClock() - frozen).count() / 1000 << " ms"
            << std::endl;
  bench.WaitForCalls();
  cr_assert(CountVerdict(bench, calls, "ran") == 0);
  bench["upstream-side2"].Signal(SIGCONT);
  bench.WaitForSide("entry1", "side2");
  cr_assert(
    bench.SendAndWait("entry1", CallPlan{ .service_ = "brief" }).verdictText_ ==
    "ran");
  const Tally tally = bench.VerifyOutcomes("upstream-frozen", "entry1");
  cr_assert(tally.unanswered_ == 0);
}

// Guards against unnecessary refusals while the table service is down.
// At-most-once requests can't be protected from running twice, so they are
// refused at once as "did not run" with a retry time; idempotent requests
// continue.
Test(Failure, TableDownRefusesOnlyWhatNeedsIt)
{
  Bench bench;
  bench.StartUsual(1, 1);
  for (const char* fault : { "down", "stall" }) {
    bench.SetFault(fault);
    const auto payouts = SendMany(bench, "entry1", 4, CallPlan{});
    const auto checks =
      SendMany(bench, "entry1", 4, CallPlan{ .method_ = "GET" });
    bench.WaitForCalls();
    cr_assert(CountVerdict(bench, payouts, "did not run") == payouts.size());
    cr_assert(CountVerdict(bench, checks, "ran") == checks.size());
    bench.SetFault("none");
    WaitUntil([&] { return bench.SendAndWait("entry1").verdictText_ == "ran"; },
              "payouts to be accepted again");
  }
  bench.VerifyOutcomes("table-down", "entry1");
}

// Guards against false verdicts when the table service applies writes of claims
// and outcomes but loses its answers. Every verdict must be true, and a
// repeated key must not run again.
Test(Failure, TableLosesAnswers)
{
  Bench bench;
  bench.StartUsual(2, 2);
  std::vector<CallPlan> plans;
  bench.SetFault("lose-answer", "6");
  for (int number = 1; number <= 6; ++number) {
    CallPlan plan;
    plan.idempotencyKey_ = "lost-" + std::to_string(number);
    plan.mark_ = "l" + std::to_string(number);
    plans.push_back(plan);
    bench.Send("entry1", plan);
  }
  bench.WaitForCalls();
  bench.SetFault("none");
  for (const CallPlan& plan : plans) {
    bench.Send("entry2", plan);
  }
  bench.WaitForCalls();
  bench.SetFault("past");
  for (const CallPlan& plan : plans) {
    bench.Send("entry1", plan);
  }
  bench.WaitForCalls();
  bench.VerifyOutcomes("table-loses-answers", "entry1");
}

// Guards against false verdicts under combined faults: a side dies while the
// table service stalls, and the entry is frozen meanwhile.
Test(Failure, SideKilledWhileTheTableStalls)
{
  Bench bench;
  bench.StartUsual(2, 2);
  Traffic once(bench, CallPlan{ .query_ = "work=60" });
  Traffic reads(bench, CallPlan{ .method_ = "GET", .query_ = "work=60" });
  const auto pumpUntil = [&](std::size_t aRuns) {
    WaitUntil(
      [&] {
        once.Pump("entry1", 5);
        reads.Pump("entry2", 5);
        return bench.Runs().size() >= aRuns;
      },
      "traffic");
  };
  pumpUntil(30);
  bench.SetFault("stall");
  pumpUntil(50);
  bench["side1"].Kill();
  bench["entry1"].Signal(SIGSTOP);
  bench.WaitForSide("entry2", "side1", false);
  bench["entry1"].Signal(SIGCONT);
  bench.SetFault("none");
  pumpUntil(80);
  bench.WaitForCalls();
  const Tally tally =
    bench.VerifyOutcomes("side-killed-table-stalled", "entry2");
  cr_assert(tally.unanswered_ == 0);
}

// Guards against new requests at an upstream that announces its departure under
// load but continues to serve. The bound of promise 7 is measured from the
// goodbye to the last request that the upstream begins.
Test(Failure, LeavingUpstreamGetsNothingNew)
{
  Bench bench;
  bench.StartUsual(2, 2);
  std::vector<double> milliseconds;
  for (int round = 0; round < 8; ++round) {
    Traffic first(bench, CallPlan{ .query_ = "work=5" });
    Traffic second(bench, CallPlan{ .query_ = "work=5" });
    const auto pump = [&] {
      first.Pump("entry1", 4);
      second.Pump("entry2", 4);
    };
    Child& upstream = bench["upstream-side1"];
    WaitUntil(
      [&] {
        pump();
        return upstream.Lines("ran ").size() > 20;
      },
      "traffic");
    const Instant goodbye = ReadMonotonicClock();
    Instant last = goodbye;
    std::size_t ran = upstream.Lines("ran ").size();
    bench.Ask("POST",
              "http://" + bench["side1"].Value("announce") + "/v1/goodbye");
    const std::size_t others = bench["upstream-side2"].Lines("ran ").size();
    WaitUntil(
      [&] {
        pump();
        const std::size_t now = upstream.Lines("ran ").size();
        if (now != ran) {
          ran = now;
          last = ReadMonotonicClock();
        }
        return bench["upstream-side2"].Lines("ran ").size() > others + 100;
      },
      "the other upstream to take over");
    milliseconds.push_back(static_cast<double>((last - goodbye).count()) /
                           1000);
    bench.WaitForSide("entry1", "side1", false);
    bench.WaitForSide("entry2", "side1", false);
    cr_assert(upstream.Lines("ran ").size() == ran);
    bench.WaitForCalls();
    bench.StartUpstream("side1");
    bench.WaitForSide("entry1", "side1");
    bench.WaitForSide("entry2", "side1");
  }
  std::sort(milliseconds.begin(), milliseconds.end());
  std::cerr << "goodbye-to-last-start: rounds=" << milliseconds.size()
            << " p50=" << milliseconds[milliseconds.size() / 2]
            << " ms max=" << milliseconds.back() << " ms" << std::endl;
  const Tally tally = bench.VerifyOutcomes("leaving-upstream", "entry1");
  cr_assert(tally.unanswered_ == 0 && tally.mayHaveRun_ == 0);
}
