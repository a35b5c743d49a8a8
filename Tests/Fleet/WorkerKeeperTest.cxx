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
  orders.holdMicros_ = 8000000;
  orders.startsUntilMicros_ = orders.echoMicros_ + orders.holdMicros_;
  return orders;
}

template<typename Call>
std::vector<Call>
Only(const std::vector<WorkerCall>& aCalls)
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

/** A keeper whose worker has answered, with a leader. */
struct Bench
{
  Bench()
    : keeper_({ Millis(10000), Millis(500), 7 }, At(10000))
  {
    keeper_.OnAnnounced(Announce("w1", 500, 1), At(10000));
    AnswerHold(10000, {});
    keeper_.OnLeaderLink(At(10700));
    keeper_.TakeReport(At(10700));
    keeper_.OnOrders(Orders("w1", 1, At(10700)), At(10700));
  }

  /** Takes the calls due, answers the hold among them; the others come back. */
  std::vector<WorkerCall> AnswerHold(std::int64_t aNow,
                                     const std::vector<RunFact>& aRuns)
  {
    std::vector<WorkerCall> calls = keeper_.TakeCalls(At(aNow));
    for (const HoldCall& hold : Only<HoldCall>(calls)) {
      CallAnswer answer = Answer(CallOutcome::Accepted, aNow - 9500);
      answer.runs_ = aRuns;
      keeper_.OnAnswer(hold.head_.id_, answer, At(aNow));
    }
    return calls;
  }

  void Order(std::uint64_t aSequence, std::int64_t aNow)
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

  /** Orders a start at 10.8 s whose call has no answer; its order runs out, and
   * the worker answers a stop of it at 19.31 s. */
  void StopAStartInDoubt()
  {
    Order(2, 10800);
    const auto starts = Only<StartCall>(AnswerHold(10800, {}));
    AnswerHoldsUntil(10850, 19250);
    keeper_.OnAnswer(starts[0].head_.id_, CallAnswer(), At(19300));
    const auto stops = Only<StopCall>(AnswerHold(19300, {}));
    cr_assert_eq(stops.size(), 1);
    keeper_.OnAnswer(
      stops[0].head_.id_, Answer(CallOutcome::Accepted, 9800), At(19310));
  }

  /** Answers holds that list nothing until a stop must be over; returns all
   * that was refused meanwhile. */
  std::vector<RefusedRun> HoldUntilStopsAreOver(std::int64_t aFrom)
  {
    std::vector<RefusedRun> refused;
    // A stop takes 500 ms at most, and its answer some more.
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

// Its leader is gone. The side must not hold work for ever: a new leader counts
// on it being over.
Test(WorkerKeeper, LeasesNeverReachBeyondTheLeadersAuthority)
{
  Bench bench;
  for (std::int64_t now = 10710; now < 19500; now += 100) {
    for (const HoldCall& hold : Only<HoldCall>(bench.AnswerHold(now, {}))) {
      if (hold.leaseUntilMs_.has_value()) {
        // The worker's clock reads 9500 less; it may be 2 % slow.
        const double real =
          static_cast<double>(*hold.leaseUntilMs_ - (now - 9500)) / 0.98;
        cr_assert_leq(static_cast<double>(now) + real, 10700 + 8000);
      }
    }
  }
}

// The leader wants each figure while tasks serve beside backfill: the side asks
// four times a second and reports each answer. Once the word has run out it
// reports once a second again, as a leader has 560 sides to listen to.
Test(WorkerKeeper, CloseWatchReportsEachFigureUntilItsEnd)
{
  Bench bench;
  FleetOrders orders = Orders("w1", 2, At(10800));
  orders.watchMicros_ = 1000000;
  bench.keeper_.OnOrders(orders, At(10800));
  const std::vector<RunFact> runs{ { "j.0.0.0", 1, false, "", 100, 7 } };
  int close = 0;
  int wide = 0;
  for (std::int64_t now = 10800; now < 13800; now += 250) {
    for (const HoldCall& hold : Only<HoldCall>(bench.AnswerHold(now, runs))) {
      cr_assert_eq(hold.wait_ <= kCloseWatch, now < 11800);
    }
    if (bench.keeper_.TakeReport(At(now)).has_value()) {
      ++(now < 11800 ? close : wide);
    }
  }
  cr_assert_eq(close, 4);
  cr_assert_leq(wide, 2);
}

// A worker is lost for good and its side lives on, linked to the leader. The
// side went on asking it to extend its leases; each of these calls might still
// be carried out, so what ran there was never given up, and a tracking feed
// stood still for the rest of the day.
Test(WorkerKeeper, WorkerThatIsGoneForGoodIsGivenUp)
{
  Bench bench;
  const std::vector<RunFact> runs{ { "j.0.0.0", 1, false, "", 100, 7 } };
  bench.AnswerHold(10800, runs);
  cr_assert_eq(bench.keeper_.TakeReport(At(11800))->runs_.size(), 1);
  std::size_t held = 1;
  for (std::int64_t now = 11900; now < 21500; now += 100) {
    bench.keeper_.OnOrders(Orders("w1", 2, At(now)), At(now));
    for (const HoldCall& hold :
         Only<HoldCall>(bench.keeper_.TakeCalls(At(now)))) {
      bench.keeper_.OnAnswer(hold.head_.id_, CallAnswer(), At(now + 50));
    }
    if (const auto report = bench.keeper_.TakeReport(At(now))) {
      held = report->runs_.size();
    }
    // Not before its lease is surely over.
    cr_assert(held == 1 || now > 10800 + 4500);
  }
  cr_assert_eq(held, 0);
}

// The host is suspended for three seconds. The worker's clock stood still; a
// lease counted on from its last reading would end three seconds too late.
Test(WorkerKeeper, SuspensionDoesNotStretchLeases)
{
  Bench bench;
  bench.keeper_.TakeCalls(At(10800));
  bench.keeper_.OnSuspended(Millis(3000));
  FleetOrders orders = Orders("w1", 2, At(13900));
  orders.starts_.push_back({ "j.0.0.0", 1, "payload", "", "" });
  bench.keeper_.OnOrders(orders, At(13900));
  const auto starts = Only<StartCall>(bench.keeper_.TakeCalls(At(13900)));
  cr_assert_eq(starts.size(), 1);
  // The worker's clock is 9500 less, and 3000 less again.
  cr_assert_leq(starts[0].leaseUntilMs_, 13900 - 9500 - 3000 + 4500);
}

// A start has no answer. It may be carried out seconds later, so the same run
// is ordered again until it is known; nothing else may take its room.
Test(WorkerKeeper, StartWithoutAnAnswerIsRepeatedUnderTheSameRun)
{
  Bench bench;
  bench.Order(2, 10800);
  auto starts = Only<StartCall>(bench.keeper_.TakeCalls(At(10800)));
  cr_assert_eq(starts.size(), 1);
  bench.keeper_.OnAnswer(starts[0].head_.id_, CallAnswer(), At(11200));
  const auto report = bench.keeper_.TakeReport(At(11700));
  cr_assert(report.has_value());
  cr_assert_eq(report->runs_.size(), 1);
  cr_assert(report->runs_[0].starting_);
  starts = Only<StartCall>(bench.keeper_.TakeCalls(At(11700)));
  cr_assert_eq(starts.size(), 1);
  cr_assert_eq(starts[0].order_.run_, 1);
}

// A start had no answer, the next try is refused. The first one may still be
// carried out: only a stop makes sure that it never is, and only what the
// worker lists after the stop says that it was not.
Test(WorkerKeeper, RefusalAfterADoubtIsReportedOnlyAfterAStop)
{
  Bench bench;
  bench.Order(2, 10800);
  auto starts = Only<StartCall>(bench.AnswerHold(10800, {}));
  bench.keeper_.OnAnswer(starts[0].head_.id_, CallAnswer(), At(11200));
  starts = Only<StartCall>(bench.AnswerHold(11200, {}));
  bench.keeper_.OnAnswer(
    starts[0].head_.id_, Answer(CallOutcome::NoRoom, 1700), At(11210));
  auto report = bench.keeper_.TakeReport(At(12300));
  cr_assert(report->refused_.empty());
  cr_assert_eq(report->runs_.size(), 1);
  const auto stops = Only<StopCall>(bench.AnswerHold(12300, {}));
  cr_assert_eq(stops.size(), 1);
  bench.keeper_.OnAnswer(
    stops[0].head_.id_, Answer(CallOutcome::Accepted, 2800), At(12310));
  cr_assert_eq(bench.HoldUntilStopsAreOver(12310).size(), 1);
  report = bench.keeper_.TakeReport(At(14400));
  cr_assert(report->runs_.empty());
}

// A call to start a run had no answer and was carried out late; the run ended
// as done. Its order ran out meanwhile, and the worker took a stop of it, as it
// takes any. The side told its leader that it had never started, and the task
// ran a second time (17.7 s after an end at 14.1 s that had been stored).
Test(WorkerKeeper, RunThatALateCallStartedIsNotGivenBack)
{
  for (const bool stillRuns : { false, true }) {
    Bench bench;
    bench.StopAStartInDoubt();
    std::size_t refused = 0;
    std::size_t ends = 0;
    const std::vector<RunFact> runs{ { "j.0.0.0", 1, false, "", 100, 7 } };
    for (std::int64_t now = 19310; now < 21500; now += 50) {
      const bool ended = !stillRuns || now > 19500;
      for (const HoldCall& hold :
           Only<HoldCall>(bench.keeper_.TakeCalls(At(now)))) {
        CallAnswer answer = Answer(CallOutcome::Accepted, now - 9500);
        answer.runs_ = ended ? std::vector<RunFact>() : runs;
        if (ended) {
          answer.ends_ = { { 1, "j.0.0.0", 1, EndKind::Done, "" } };
        }
        bench.keeper_.OnAnswer(hold.head_.id_, answer, At(now));
      }
      if (const auto report = bench.keeper_.TakeReport(At(now))) {
        refused += report->refused_.size();
        ends += report->ends_.size();
      }
    }
    cr_assert_eq(refused, 0, "It was said not to have started.");
    cr_assert_eq(ends, 1);
  }
}

// The same, and what the worker lists doesn't show the run: it was listed
// before the stop was answered, or all at once is stopping. A stop may take
// half a second; only then was it surely never there.
Test(WorkerKeeper, StoppedStartIsGivenBackOnceAStopMustBeOver)
{
  Bench bench;
  bench.StopAStartInDoubt();
  for (std::int64_t now = 19320; now < 19800; now += 20) {
    bench.AnswerHold(now, {});
    const auto report = bench.keeper_.TakeReport(At(now));
    cr_assert(!report.has_value() || report->refused_.empty(),
              "given back after %d ms",
              static_cast<int>(now - 19310));
  }
  cr_assert_eq(bench.HoldUntilStopsAreOver(19800).size(), 1);
}

Test(WorkerKeeper, PlainRefusalIsReportedAtOnce)
{
  Bench bench;
  bench.Order(2, 10800);
  const auto starts = Only<StartCall>(bench.keeper_.TakeCalls(At(10800)));
  bench.keeper_.OnAnswer(
    starts[0].head_.id_, Answer(CallOutcome::NoRoom, 1300), At(10810));
  const auto report = bench.keeper_.TakeReport(At(10810));
  cr_assert_eq(report->refused_.size(), 1);
  cr_assert_eq(report->refused_[0].why_, StartRefusal::NoRoom);
}

// An announcement of a worker that crashed was held up and comes after that of
// its next life. Taken for a new life, it would give up all that runs.
Test(WorkerKeeper, LateAnnouncementOfAFormerLifeChangesNothing)
{
  Bench bench;
  bench.keeper_.OnAnnounced(Announce("w0", 99, 40), At(10900));
  bool probed = false;
  for (const HoldCall& hold :
       Only<HoldCall>(bench.keeper_.TakeCalls(At(11600)))) {
    if (hold.head_.workerId_ == "w0") {
      probed = true;
      CallAnswer wrong;
      wrong.outcome_ = CallOutcome::WrongLife;
      bench.keeper_.OnAnswer(hold.head_.id_, wrong, At(11600));
    }
  }
  cr_assert(probed, "the worker itself is asked");
  cr_assert_eq(bench.keeper_.WorkerId(), "w1");
}

// A worker says farewell and goes on until that is answered: its runs end with
// its process, not with its word.
Test(WorkerKeeper, LeavingWorkerKeepsItsRunsUntilItsPortRefuses)
{
  Bench bench;
  bench.Order(2, 10800);
  const std::vector<WorkerCall> calls = bench.AnswerHold(10800, {});
  const auto starts = Only<StartCall>(calls);
  bench.keeper_.OnAnswer(
    starts[0].head_.id_, Answer(CallOutcome::Accepted, 1300), At(10810));
  bench.keeper_.OnWorkerLeft("w1", At(10900));
  cr_assert_eq(bench.keeper_.RunCount(), 1);
  CallAnswer refused;
  refused.outcome_ = CallOutcome::NotDone;
  for (const HoldCall& hold :
       Only<HoldCall>(bench.keeper_.TakeCalls(At(11600)))) {
    bench.keeper_.OnAnswer(hold.head_.id_, refused, At(11600));
  }
  cr_assert_eq(bench.keeper_.RunCount(), 0);
  cr_assert(bench.keeper_.WorkerId().empty());
}

// A frozen leader wakes and sends what it had decided before.
Test(WorkerKeeper, OrdersOfAFormerLeaderAreRefused)
{
  Bench bench;
  FleetOrders newer = Orders("w1", 1, At(10800));
  newer.epoch_ = 2;
  cr_assert(bench.keeper_.OnOrders(newer, At(10800)));
  cr_assert_not(bench.keeper_.OnOrders(Orders("w1", 9, At(10900)), At(10900)));
}

// The clock was set back between two lives of the side, so the new life's fence
// is too low. It must rise, or the side would never be heard again.
Test(WorkerKeeper, FenceRisesWhenItIsRefused)
{
  WorkerKeeper keeper({ Millis(10000), Millis(500), 7 }, At(10000));
  keeper.OnAnnounced(Announce("w1", 500, 1), At(10000));
  auto holds = Only<HoldCall>(keeper.TakeCalls(At(10000)));
  const std::uint64_t before = holds[0].head_.fence_;
  keeper.OnAnswer(
    holds[0].head_.id_, Answer(CallOutcome::Fenced, 500), At(10010));
  holds = Only<HoldCall>(keeper.TakeCalls(At(10300)));
  cr_assert_gt(holds[0].head_.fence_, before);
}

Test(WorkerKeeper, NothingIsReportedBeforeTheWorkerWasAsked)
{
  WorkerKeeper keeper({ Millis(10000), Millis(500), 7 }, At(10000));
  keeper.OnLeaderLink(At(10000));
  keeper.OnAnnounced(Announce("w1", 500, 1), At(10000));
  cr_assert_not(keeper.TakeReport(At(12000)).has_value());
}

// Starts wait behind orders that their worker leaves unanswered, and meanwhile
// it says that it leaves. Started on it seconds later, they would end with it.
Test(WorkerKeeper, LeavingWorkerGetsNoStartThatWaited)
{
  Bench bench;
  bench.Order(2, 10800);
  const auto starts = Only<StartCall>(bench.AnswerHold(10800, {}));
  WorkerAnnouncement leaving = Announce("w1", 1400, 2);
  leaving.facts_.draining_ = true;
  bench.keeper_.OnAnnounced(leaving, At(10900));
  bench.keeper_.OnAnswer(starts[0].head_.id_, CallAnswer(), At(11200));
  const std::vector<WorkerCall> calls = bench.AnswerHold(11200, {});
  cr_assert(Only<StartCall>(calls).empty());
  const auto stops = Only<StopCall>(calls);
  cr_assert_eq(stops.size(), 1, "the first try may be carried out late");
  bench.keeper_.OnAnswer(
    stops[0].head_.id_, Answer(CallOutcome::Accepted, 1800), At(11210));
  cr_assert_eq(bench.HoldUntilStopsAreOver(11210).size(), 1);
}

Test(WorkerKeeper, StartThatWasNeverSentIsGivenBackAtOnce)
{
  Bench bench;
  WorkerAnnouncement leaving = Announce("w1", 1300, 2);
  leaving.facts_.draining_ = true;
  bench.keeper_.OnAnnounced(leaving, At(10800));
  bench.Order(2, 10800);
  cr_assert(Only<StartCall>(bench.keeper_.TakeCalls(At(10800))).empty());
  cr_assert_eq(bench.keeper_.TakeReport(At(10800))->refused_.size(), 1);
}

// A worker's port closes each call at once without an answer, as an unhealthy
// one does. The side tried the start again the moment its answer failed to
// come: 200 connections a second for each task, seen in its log every 3 ms, and
// no processor time left for anything else on its host.
Test(WorkerKeeper, StartWithoutAnAnswerIsNotRepeatedAtOnce)
{
  Bench bench;
  bench.Order(2, 10800);
  std::size_t starts = 0;
  for (std::int64_t now = 10800; now < 11800; ++now) {
    for (const StartCall& start :
         Only<StartCall>(bench.keeper_.TakeCalls(At(now)))) {
      ++starts;
      CallAnswer none;
      none.outcome_ = CallOutcome::Doubt;
      bench.keeper_.OnAnswer(start.head_.id_, none, At(now));
    }
  }
  cr_assert_geq(starts, 5);
  cr_assert_leq(starts, 11);
}
