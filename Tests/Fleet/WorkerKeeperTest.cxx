#include "Process/WorkerKeeper.h"
#include "FleetWorld.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

WorkerAnnouncement
Announce(const std::string& aId, std::int64_t aClockMs, std::uint64_t aSequence)
{
  WorkerAnnouncement announcement;
  announcement.facts_.id_ = aId;
  announcement.facts_.service_ = "service";
  announcement.clockMs_ = aClockMs;
  announcement.sequence_ = aSequence;
  return announcement;
}

FleetOrders
Orders(const std::string& aWorker, std::uint64_t aSequence, Instant aEcho)
{
  FleetOrders orders;
  orders.epoch_ = 1;
  orders.sequence_ = aSequence;
  orders.workerId_ = aWorker;
  orders.echoMicros_ =
    static_cast<std::uint64_t>(aEcho.time_since_epoch().count());
  orders.leaseMicros_ = 8000000;
  orders.startsUntilMicros_ = orders.echoMicros_ + orders.leaseMicros_;
  return orders;
}

template<typename Call>
std::vector<Call>
CallsOf(const std::vector<WorkerCall>& aCalls)
{
  std::vector<Call> only;
  for (const WorkerCall& call : aCalls) {
    if (const auto* one = std::get_if<Call>(&call)) {
      only.push_back(*one);
    }
  }
  return only;
}

CallAnswer
Answer(CallOutcome aOutcome, std::int64_t aClockMs)
{
  CallAnswer answer;
  answer.outcome_ = aOutcome;
  answer.clockMs_ = aClockMs;
  return answer;
}

/** Keeper with a linked leader and a worker that has answered. */
struct Fixture
{
  Fixture()
    : keeper_({ Millis(10000), Millis(500), 7 }, At(10000))
  {
    keeper_.OnAnnounced(Announce("w1", 500, 1), At(10000));
    AnswerHold(10000, {});
    keeper_.OnLeaderLink(At(10700));
    keeper_.TakeReport(At(10700));
    keeper_.OnOrders(Orders("w1", 1, At(10700)), At(10700));
  }

  /** Takes the calls that are due and answers the holds; returns all calls. */
  std::vector<WorkerCall> AnswerHold(std::int64_t aNow,
                                     const std::vector<RunStatus>& aRuns)
  {
    std::vector<WorkerCall> calls = keeper_.TakeCalls(At(aNow));
    for (const HoldCall& hold : CallsOf<HoldCall>(calls)) {
      CallAnswer answer = Answer(CallOutcome::Accepted, aNow - 9500);
      answer.runs_ = aRuns;
      keeper_.OnAnswer(hold.head_.id_, answer, At(aNow));
    }
    return calls;
  }

  void OrderStart(std::uint64_t aSequence, std::int64_t aNow)
  {
    FleetOrders orders = Orders("w1", aSequence, At(aNow));
    orders.starts_.push_back({ "j.0.0.0", 1, "payload", "", "" });
    keeper_.OnOrders(orders, At(aNow));
  }

  void AnswerHoldsUntil(std::int64_t aFrom, std::int64_t aTo)
  {
    for (std::int64_t now = aFrom; now <= aTo; now += 100) {
      AnswerHold(now, {});
    }
  }

  /** Orders a start at 10.8 s whose call has no answer. The order expires, and
   * the worker answers a stop of the run at 19.31 s. */
  void StopStartWithUnknownOutcome()
  {
    OrderStart(2, 10800);
    const auto starts = CallsOf<StartCall>(AnswerHold(10800, {}));
    AnswerHoldsUntil(10850, 19250);
    keeper_.OnAnswer(starts[0].head_.id_, CallAnswer(), At(19300));
    const auto stops = CallsOf<StopCall>(AnswerHold(19300, {}));
    cr_assert_eq(stops.size(), 1);
    keeper_.OnAnswer(
      stops[0].head_.id_, Answer(CallOutcome::Accepted, 9800), At(19310));
  }

  /** Answers holds with empty lists until a stop must be complete; returns the
   * runs that were reported as refused. */
  std::vector<RejectedRun> HoldUntilStopsComplete(std::int64_t aFrom)
  {
    std::vector<RejectedRun> refused;
    // A stop takes up to 500 ms, and its answer adds some latency.
    for (std::int64_t now = aFrom; now <= aFrom + 800; now += 50) {
      AnswerHold(now, {});
      if (const auto report = keeper_.TakeReport(At(now))) {
        refused.insert(
          refused.end(), report->refused_.begin(), report->refused_.end());
      }
    }
    return refused;
  }

  WorkerKeeper keeper_;
};

}

// Guards against a side that renews leases without a leader. A new leader
// relies on the expiry of these leases before it starts the work elsewhere.
Test(WorkerKeeper, LeasesNeverExceedLeaderAuthority)
{
  Fixture fixture;
  for (std::int64_t now = 10710; now < 19500; now += 100) {
    for (const HoldCall& hold :
         CallsOf<HoldCall>(fixture.AnswerHold(now, {}))) {
      if (hold.leaseUntilMs_.has_value()) {
        // The worker's clock is 9500 ms behind and may be 2 % slow.
        const double realDuration =
          static_cast<double>(*hold.leaseUntilMs_ - (now - 9500)) / 0.98;
        cr_assert_leq(static_cast<double>(now) + realDuration, 10700 + 8000);
      }
    }
  }
}

// Guards against high-frequency reporting that is missing or does not end. A
// side reports each answer, four per second, while tasks serve beside backfill,
// and then once per second again, as a leader receives reports of 560 sides.
Test(WorkerKeeper, HighFrequencyReportingEndsOnTime)
{
  Fixture fixture;
  FleetOrders orders = Orders("w1", 2, At(10800));
  orders.highFrequencyMicros_ = 1000000;
  fixture.keeper_.OnOrders(orders, At(10800));
  const std::vector<RunStatus> runs{ { "j.0.0.0", 1, false, "", 100, 7 } };
  int close = 0;
  int regular = 0;
  for (std::int64_t now = 10800; now < 13800; now += 250) {
    for (const HoldCall& hold :
         CallsOf<HoldCall>(fixture.AnswerHold(now, runs))) {
      cr_assert_eq(hold.wait_ <= kHighFrequencyReportPeriod, now < 11800);
    }
    if (fixture.keeper_.TakeReport(At(now)).has_value()) {
      ++(now < 11800 ? close : regular);
    }
  }
  cr_assert_eq(close, 4);
  cr_assert_leq(regular, 2);
}

// Guards against runs that are never abandoned, which stopped a tracking feed
// for the rest of the day. The worker is gone for good, and its side keeps
// sending lease extensions that might still be executed.
Test(WorkerKeeper, RunsOfPermanentlyLostWorkerAreAbandoned)
{
  Fixture fixture;
  const std::vector<RunStatus> runs{ { "j.0.0.0", 1, false, "", 100, 7 } };
  fixture.AnswerHold(10800, runs);
  cr_assert_eq(fixture.keeper_.TakeReport(At(11800))->runs_.size(), 1);
  std::size_t held = 1;
  for (std::int64_t now = 11900; now < 21500; now += 100) {
    fixture.keeper_.OnOrders(Orders("w1", 2, At(now)), At(now));
    for (const HoldCall& hold :
         CallsOf<HoldCall>(fixture.keeper_.TakeCalls(At(now)))) {
      fixture.keeper_.OnAnswer(hold.head_.id_, CallAnswer(), At(now + 50));
    }
    if (const auto report = fixture.keeper_.TakeReport(At(now))) {
      held = report->runs_.size();
    }
    // The run must not be abandoned before its lease has expired.
    cr_assert(held == 1 || now > 10800 + 4500);
  }
  cr_assert_eq(held, 0);
}

// Guards against leases that end three seconds too late after a suspension of
// the host for three seconds, during which the worker's clock stops.
Test(WorkerKeeper, SuspensionDoesNotExtendLeases)
{
  Fixture fixture;
  fixture.keeper_.TakeCalls(At(10800));
  fixture.keeper_.OnSuspended(Millis(3000));
  FleetOrders orders = Orders("w1", 2, At(13900));
  orders.starts_.push_back({ "j.0.0.0", 1, "payload", "", "" });
  fixture.keeper_.OnOrders(orders, At(13900));
  const auto starts = CallsOf<StartCall>(fixture.keeper_.TakeCalls(At(13900)));
  cr_assert_eq(starts.size(), 1);
  // The worker's clock is 9500 ms behind, and another 3000 ms since then.
  cr_assert_leq(starts[0].leaseUntilMs_, 13900 - 9500 - 3000 + 4500);
}

// Guards against resources that are assigned twice after a start without an
// answer. The worker may execute it seconds later, so the same run is ordered
// again until its outcome is known.
Test(WorkerKeeper, StartWithoutAnswerIsRepeatedWithSameRun)
{
  Fixture fixture;
  fixture.OrderStart(2, 10800);
  auto starts = CallsOf<StartCall>(fixture.keeper_.TakeCalls(At(10800)));
  cr_assert_eq(starts.size(), 1);
  fixture.keeper_.OnAnswer(starts[0].head_.id_, CallAnswer(), At(11200));
  const auto report = fixture.keeper_.TakeReport(At(11700));
  cr_assert(report.has_value());
  cr_assert_eq(report->runs_.size(), 1);
  cr_assert(report->runs_[0].starting_);
  starts = CallsOf<StartCall>(fixture.keeper_.TakeCalls(At(11700)));
  cr_assert_eq(starts.size(), 1);
  cr_assert_eq(starts[0].order_.run_, 1);
}

// Guards against a refusal that is reported too early. The first start call has
// no answer and may still be executed after the second is refused. Only a stop
// prevents that, and only the lists after the stop show that it did not run.
Test(WorkerKeeper, RefusalAfterUnknownOutcomeIsReportedAfterStop)
{
  Fixture fixture;
  fixture.OrderStart(2, 10800);
  auto starts = CallsOf<StartCall>(fixture.AnswerHold(10800, {}));
  fixture.keeper_.OnAnswer(starts[0].head_.id_, CallAnswer(), At(11200));
  starts = CallsOf<StartCall>(fixture.AnswerHold(11200, {}));
  fixture.keeper_.OnAnswer(
    starts[0].head_.id_, Answer(CallOutcome::NoRoom, 1700), At(11210));
  auto report = fixture.keeper_.TakeReport(At(12300));
  cr_assert(report->refused_.empty());
  cr_assert_eq(report->runs_.size(), 1);
  const auto stops = CallsOf<StopCall>(fixture.AnswerHold(12300, {}));
  cr_assert_eq(stops.size(), 1);
  fixture.keeper_.OnAnswer(
    stops[0].head_.id_, Answer(CallOutcome::Accepted, 2800), At(12310));
  cr_assert_eq(fixture.HoldUntilStopsComplete(12310).size(), 1);
  report = fixture.keeper_.TakeReport(At(14400));
  cr_assert(report->runs_.empty());
}

// Guards against a task that runs a second time (17.7 s after an end at 14.1 s
// that had been stored): a start call without an answer is executed late, its
// order expires, and the worker accepts a stop of the run, as it accepts any
// stop. The side must not report that the run did not start.
Test(WorkerKeeper, RunStartedByLateCallIsNotRefused)
{
  for (const bool stillRuns : { false, true }) {
    Fixture fixture;
    fixture.StopStartWithUnknownOutcome();
    std::size_t refused = 0;
    std::size_t ends = 0;
    const std::vector<RunStatus> runs{ { "j.0.0.0", 1, false, "", 100, 7 } };
    for (std::int64_t now = 19310; now < 21500; now += 50) {
      const bool ended = !stillRuns || now > 19500;
      for (const HoldCall& hold :
           CallsOf<HoldCall>(fixture.keeper_.TakeCalls(At(now)))) {
        CallAnswer answer = Answer(CallOutcome::Accepted, now - 9500);
        answer.runs_ = ended ? std::vector<RunStatus>() : runs;
        if (ended) {
          answer.ends_ = { { 1, "j.0.0.0", 1, EndKind::Done, "" } };
        }
        fixture.keeper_.OnAnswer(hold.head_.id_, answer, At(now));
      }
      if (const auto report = fixture.keeper_.TakeReport(At(now))) {
        refused += report->refused_.size();
        ends += report->ends_.size();
      }
    }
    cr_assert_eq(refused, 0, "The run was reported not to have started.");
    cr_assert_eq(ends, 1);
  }
}

// Guards against a start that is refused while its run may still be stopping.
// The worker no longer lists such a run. A stop may take half a second, and
// only after that an unlisted run is known not to have started.
Test(WorkerKeeper, StoppedStartIsRefusedAfterStopTimeout)
{
  Fixture fixture;
  fixture.StopStartWithUnknownOutcome();
  for (std::int64_t now = 19320; now < 19800; now += 20) {
    fixture.AnswerHold(now, {});
    const auto report = fixture.keeper_.TakeReport(At(now));
    cr_assert(!report.has_value() || report->refused_.empty(),
              "refused after %d ms",
              static_cast<int>(now - 19310));
  }
  cr_assert_eq(fixture.HoldUntilStopsComplete(19800).size(), 1);
}

Test(WorkerKeeper, PlainRefusalIsReportedAtOnce)
{
  Fixture fixture;
  fixture.OrderStart(2, 10800);
  const auto starts = CallsOf<StartCall>(fixture.keeper_.TakeCalls(At(10800)));
  fixture.keeper_.OnAnswer(
    starts[0].head_.id_, Answer(CallOutcome::NoRoom, 1300), At(10810));
  const auto report = fixture.keeper_.TakeReport(At(10810));
  cr_assert_eq(report->refused_.size(), 1);
  cr_assert_eq(report->refused_[0].why_, StartRejection::NoRoom);
}

// Guards against runs that are abandoned, because the announcement of a crashed
// worker is delayed, arrives after that of the next incarnation and is treated
// as a new incarnation.
Test(WorkerKeeper, LateAnnouncementOfPastIncarnationIsIgnored)
{
  Fixture fixture;
  fixture.keeper_.OnAnnounced(Announce("w0", 99, 40), At(10900));
  bool probed = false;
  for (const HoldCall& hold :
       CallsOf<HoldCall>(fixture.keeper_.TakeCalls(At(11600)))) {
    if (hold.head_.workerId_ == "w0") {
      probed = true;
      CallAnswer wrong;
      wrong.outcome_ = CallOutcome::WrongIncarnation;
      fixture.keeper_.OnAnswer(hold.head_.id_, wrong, At(11600));
    }
  }
  cr_assert(probed, "the worker itself must be asked");
  cr_assert_eq(fixture.keeper_.WorkerId(), "w1");
}

// Guards against runs that are dropped too early. A worker that reports that it
// leaves runs on until it has an answer; its runs end with its process.
Test(WorkerKeeper, LeavingWorkerKeepsItsRunsUntilItsPortRefuses)
{
  Fixture fixture;
  fixture.OrderStart(2, 10800);
  const std::vector<WorkerCall> calls = fixture.AnswerHold(10800, {});
  const auto starts = CallsOf<StartCall>(calls);
  fixture.keeper_.OnAnswer(
    starts[0].head_.id_, Answer(CallOutcome::Accepted, 1300), At(10810));
  fixture.keeper_.OnWorkerLeft("w1", At(10900));
  cr_assert_eq(fixture.keeper_.RunCount(), 1);
  CallAnswer refused;
  refused.outcome_ = CallOutcome::PortRefused;
  for (const HoldCall& hold :
       CallsOf<HoldCall>(fixture.keeper_.TakeCalls(At(11600)))) {
    fixture.keeper_.OnAnswer(hold.head_.id_, refused, At(11600));
  }
  cr_assert_eq(fixture.keeper_.RunCount(), 0);
  cr_assert(fixture.keeper_.WorkerId().empty());
}

// Guards against orders of a former leader that was frozen and sends earlier
// decisions on resume.
Test(WorkerKeeper, OrdersOfAFormerLeaderAreRefused)
{
  Fixture fixture;
  FleetOrders newer = Orders("w1", 1, At(10800));
  newer.epoch_ = 2;
  cr_assert(fixture.keeper_.OnOrders(newer, At(10800)));
  cr_assert_not(
    fixture.keeper_.OnOrders(Orders("w1", 9, At(10900)), At(10900)));
}

// Guards against a side whose calls are refused permanently, because its clock
// was set back between two incarnations and the new fence is too low.
Test(WorkerKeeper, FenceRisesWhenItIsRefused)
{
  WorkerKeeper keeper({ Millis(10000), Millis(500), 7 }, At(10000));
  keeper.OnAnnounced(Announce("w1", 500, 1), At(10000));
  auto holds = CallsOf<HoldCall>(keeper.TakeCalls(At(10000)));
  const std::uint64_t before = holds[0].head_.fence_;
  keeper.OnAnswer(
    holds[0].head_.id_, Answer(CallOutcome::Fenced, 500), At(10010));
  holds = CallsOf<HoldCall>(keeper.TakeCalls(At(10300)));
  cr_assert_gt(holds[0].head_.fence_, before);
}

Test(WorkerKeeper, NothingIsReportedBeforeWorkerAnswers)
{
  WorkerKeeper keeper({ Millis(10000), Millis(500), 7 }, At(10000));
  keeper.OnLeaderLink(At(10000));
  keeper.OnAnnounced(Announce("w1", 500, 1), At(10000));
  cr_assert_not(keeper.TakeReport(At(12000)).has_value());
}

// Guards against starts on a leaving worker, which would end with it seconds
// later. The starts are queued behind orders that the worker does not answer.
Test(WorkerKeeper, LeavingWorkerGetsNoQueuedStart)
{
  Fixture fixture;
  fixture.OrderStart(2, 10800);
  const auto starts = CallsOf<StartCall>(fixture.AnswerHold(10800, {}));
  WorkerAnnouncement leaving = Announce("w1", 1400, 2);
  leaving.facts_.draining_ = true;
  fixture.keeper_.OnAnnounced(leaving, At(10900));
  fixture.keeper_.OnAnswer(starts[0].head_.id_, CallAnswer(), At(11200));
  const std::vector<WorkerCall> calls = fixture.AnswerHold(11200, {});
  cr_assert(CallsOf<StartCall>(calls).empty());
  const auto stops = CallsOf<StopCall>(calls);
  cr_assert_eq(stops.size(), 1, "the first start call may be executed late");
  fixture.keeper_.OnAnswer(
    stops[0].head_.id_, Answer(CallOutcome::Accepted, 1800), At(11210));
  cr_assert_eq(fixture.HoldUntilStopsComplete(11210).size(), 1);
}

Test(WorkerKeeper, UnsentStartIsRefusedAtOnce)
{
  Fixture fixture;
  WorkerAnnouncement leaving = Announce("w1", 1300, 2);
  leaving.facts_.draining_ = true;
  fixture.keeper_.OnAnnounced(leaving, At(10800));
  fixture.OrderStart(2, 10800);
  cr_assert(CallsOf<StartCall>(fixture.keeper_.TakeCalls(At(10800))).empty());
  cr_assert_eq(fixture.keeper_.TakeReport(At(10800))->refused_.size(), 1);
}

// Guards against immediate retries of a start to an unhealthy worker, whose
// port closes each call without an answer: 200 connections per second for each
// task, logged every 3 ms, left no processor time for other work on the host.
Test(WorkerKeeper, StartWithoutAnswerIsNotRepeatedAtOnce)
{
  Fixture fixture;
  fixture.OrderStart(2, 10800);
  std::size_t starts = 0;
  for (std::int64_t now = 10800; now < 11800; ++now) {
    for (const StartCall& start :
         CallsOf<StartCall>(fixture.keeper_.TakeCalls(At(now)))) {
      ++starts;
      CallAnswer none;
      none.outcome_ = CallOutcome::UnknownOutcome;
      fixture.keeper_.OnAnswer(start.head_.id_, none, At(now));
    }
  }
  cr_assert_geq(starts, 5);
  cr_assert_leq(starts, 11);
}

// Guards against runs that are dropped while they go on: a leaving worker that
// is unhealthy answers a hold without executing it.
Test(WorkerKeeper, LeavingWorkerThatStillAnswersKeepsItsRuns)
{
  Fixture fixture;
  fixture.OrderStart(2, 10800);
  const auto starts = CallsOf<StartCall>(fixture.AnswerHold(10800, {}));
  fixture.keeper_.OnAnswer(
    starts[0].head_.id_, Answer(CallOutcome::Accepted, 1300), At(10810));
  fixture.keeper_.OnWorkerLeft("w1", At(10900));
  for (const HoldCall& hold :
       CallsOf<HoldCall>(fixture.keeper_.TakeCalls(At(11600)))) {
    fixture.keeper_.OnAnswer(
      hold.head_.id_, Answer(CallOutcome::NotDone, 2100), At(11600));
  }
  cr_assert_eq(fixture.keeper_.RunCount(), 1);
}

// Guards against a restarted side that reports no worker although an unhealthy
// worker answers its port.
Test(WorkerKeeper, PortOfAnUnhealthyWorkerDoesNotCountAsRefusing)
{
  WorkerKeeper keeper({ Millis(10000), Millis(500), 7 }, At(10000));
  keeper.OnLeaderLink(At(10000));
  for (std::int64_t now = 10000; now < 12000; now += 10) {
    for (const HoldCall& hold : CallsOf<HoldCall>(keeper.TakeCalls(At(now)))) {
      keeper.OnAnswer(
        hold.head_.id_, Answer(CallOutcome::NotDone, now), At(now));
    }
    cr_assert_not(keeper.TakeReport(At(now)).has_value());
  }
}

// Guards against a restarted side that reports no worker because it hears late
// from an earlier incarnation.
Test(WorkerKeeper, LateAnnouncementAfterARestartIsNoReportOfNoRuns)
{
  WorkerKeeper keeper({ Millis(10000), Millis(500), 7 }, At(10000));
  keeper.OnLeaderLink(At(10000));
  keeper.OnAnnounced(Announce("w0", 500, 1), At(10000));
  for (const HoldCall& hold : CallsOf<HoldCall>(keeper.TakeCalls(At(10000)))) {
    CallAnswer answer;
    answer.outcome_ = CallOutcome::WrongIncarnation;
    keeper.OnAnswer(hold.head_.id_, answer, At(10010));
  }
  cr_assert_not(keeper.TakeReport(At(10020)).has_value());
}
