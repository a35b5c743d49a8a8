#include "FleetWorld.h"
#include "Process/WorkerKeeper.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace cactusrail;

namespace {

constexpr std::int64_t kFormer = 1700000000100;
/** Start times are not ordered: the clock was set back before the restart. */
constexpr std::int64_t kNext = 1700000000050;
constexpr std::uint64_t kFence = 7;

#if defined(__SANITIZE_ADDRESS__)
constexpr unsigned kSeeds = 25;
#else
constexpr unsigned kSeeds = 200;
#endif

WorkerAnnouncement
Announcement(std::int64_t aStartedAtMs, std::uint64_t aSequence)
{
  WorkerAnnouncement announcement;
  announcement.facts_.id_ = "w1";
  announcement.facts_.service_ = "service";
  announcement.facts_.startedAtMs_ = aStartedAtMs;
  announcement.clockMs_ = 500;
  announcement.sequence_ = aSequence;
  return announcement;
}

/** Answer to a hold by the incarnation with that start time. */
CallAnswer
Lists(std::int64_t aStartedAtMs)
{
  CallAnswer answer;
  answer.outcome_ = CallOutcome::Accepted;
  answer.clockMs_ = 600;
  answer.startedAtMs_ = aStartedAtMs;
  return answer;
}

CallAnswer
Outcome(CallOutcome aOutcome)
{
  CallAnswer answer;
  answer.outcome_ = aOutcome;
  return answer;
}

std::vector<HoldCall>
HoldsOf(const std::vector<WorkerCall>& aCalls)
{
  std::vector<HoldCall> holds;
  for (const WorkerCall& call : aCalls) {
    if (const auto* hold = std::get_if<HoldCall>(&call)) {
      holds.push_back(*hold);
    }
  }
  return holds;
}

std::size_t
StartCount(const std::vector<WorkerCall>& aCalls)
{
  return static_cast<std::size_t>(
    std::count_if(aCalls.begin(), aCalls.end(), [](const WorkerCall& aCall) {
      return std::holds_alternative<StartCall>(aCall);
    }));
}

/** Side with a leader whose worker w1 has answered as kFormer, with one run and
 * three stored ends. */
struct Fixture
{
  Fixture()
    : keeper_({ Millis(10000), Millis(500), kFence }, At(10000))
  {
    keeper_.OnAnnounced(Announcement(kFormer, 41), At(10000));
    CallAnswer answer = Lists(kFormer);
    answer.runs_ = { { "j.0.0.0", 1, false, "", 10, 0 } };
    answer.ends_ = { { 3, "j.0.0.1", 1, EndKind::Done, "" } };
    AnswerHolds(answer, 10000);
    keeper_.OnLeaderLink(At(10700));
    keeper_.TakeReport(At(10700));
    FleetOrders orders = Orders(kFormer, 1, 10700);
    orders.endsStored_ = 3;
    keeper_.OnOrders(orders, At(10700));
  }

  static FleetOrders Orders(std::int64_t aStartedAtMs,
                            std::uint64_t aSequence,
                            std::int64_t aNow)
  {
    FleetOrders orders;
    orders.epoch_ = 1;
    orders.sequence_ = aSequence;
    orders.workerId_ = "w1";
    orders.workerStartedAtMs_ = aStartedAtMs;
    orders.echoMicros_ = static_cast<std::uint64_t>(aNow) * 1000;
    orders.leaseMicros_ = 8000000;
    orders.startsUntilMicros_ = orders.echoMicros_ + orders.leaseMicros_;
    return orders;
  }

  /** Orders a start of the incarnation with that start time. */
  void OrderStart(std::int64_t aStartedAtMs, std::int64_t aNow)
  {
    FleetOrders orders = Orders(aStartedAtMs, 2, aNow);
    orders.starts_.push_back({ "j.0.0.7", 1, "payload", "", "" });
    keeper_.OnOrders(orders, At(aNow));
  }

  /** Takes the calls that are due and answers the holds; returns all calls. */
  std::vector<WorkerCall> AnswerHolds(const CallAnswer& aAnswer,
                                      std::int64_t aNow)
  {
    std::vector<WorkerCall> calls = keeper_.TakeCalls(At(aNow));
    for (const HoldCall& hold : HoldsOf(calls)) {
      keeper_.OnAnswer(hold.head_.id_, aAnswer, At(aNow));
    }
    return calls;
  }

  /** The worker restarts under its id: announcement at 11 s, probe and first
   * hold accepted at once. Reports are due again at 12 s. */
  void Restart(const CallAnswer& aFirstLists = Lists(kNext))
  {
    keeper_.OnAnnounced(Announcement(kNext, 1), At(11000));
    AnswerHolds(Lists(kNext), 11000);
    AnswerHolds(aFirstLists, 11000);
  }

  WorkerKeeper keeper_;
};

}

// Guards against late calls of the former incarnation that the new one accepts.
// It has received no fence, so the first call to it, the probe, must raise it,
// and nothing may be reported before a hold with that fence was accepted.
Test(WorkerIncarnation, NewIncarnationIsProbedWithAHigherFence)
{
  Fixture fixture;
  fixture.keeper_.OnAnnounced(Announcement(kNext, 1), At(11000));
  const auto probe = HoldsOf(fixture.AnswerHolds(Lists(kNext), 11000));
  cr_assert_eq(probe.size(), 1);
  cr_assert_eq(probe[0].head_.fence_, kFence + 1);
  cr_assert_not(probe[0].leaseUntilMs_.has_value());
  cr_assert_eq(probe[0].endsStored_, 0);
  cr_assert_eq(fixture.keeper_.Incarnation().startedAtMs_, kNext);
  cr_assert_not(fixture.keeper_.TakeReport(At(12500)).has_value());
  const auto hold = HoldsOf(fixture.AnswerHolds(Lists(kNext), 12500));
  cr_assert_eq(hold.size(), 1);
  cr_assert_eq(hold[0].head_.fence_, kFence + 1);
  cr_assert(fixture.keeper_.TakeReport(At(13200)).has_value());
}

// Guards against ends that are never read, or acknowledged unseen: the new
// incarnation numbers its ends from one, the former had three stored ends.
Test(WorkerIncarnation, EndsNumberedFromOneAreReadAndAcknowledged)
{
  Fixture fixture;
  CallAnswer lists = Lists(kNext);
  lists.ends_ = { { 1, "j.0.0.2", 1, EndKind::Done, "" } };
  fixture.Restart(lists);
  const auto report = fixture.keeper_.TakeReport(At(12000));
  cr_assert(report.has_value());
  cr_assert_eq(report->ends_.size(), 1);
  auto holds = HoldsOf(fixture.AnswerHolds(lists, 12000));
  cr_assert_eq(holds.at(0).endsStored_, 0, "acknowledged unseen");
  FleetOrders orders = Fixture::Orders(kNext, 2, 12100);
  orders.endsStored_ = 1;
  fixture.keeper_.OnOrders(orders, At(12100));
  holds = HoldsOf(fixture.AnswerHolds(Lists(kNext), 12100));
  cr_assert_eq(holds.at(0).endsStored_, 1);
}

// Guards against runs of the former incarnation that count as running, so that
// their tasks start nowhere; a run that a late call started is reported.
Test(WorkerIncarnation, OnlyRunsOfTheNewIncarnationAreReported)
{
  Fixture fixture;
  CallAnswer lists = Lists(kNext);
  lists.runs_ = { { "j.0.0.5", 2, false, "", 0, 0 } };
  fixture.Restart(lists);
  const auto report = fixture.keeper_.TakeReport(At(12000));
  cr_assert_eq(report->worker_.startedAtMs_, kNext);
  cr_assert_eq(report->runs_.size(), 1);
  cr_assert_eq(report->runs_[0].task_, "j.0.0.5");
}

// Guards against a second start of a task that still runs: a late start and a
// late stop have been executed before the first hold, so the run is stopping
// and the worker does not list it.
Test(WorkerIncarnation, NothingIsReportedWhileLateStopsMayBeInProgress)
{
  Fixture fixture;
  fixture.Restart();
  cr_assert_not(fixture.keeper_.TakeReport(At(11500)).has_value());
  cr_assert(fixture.keeper_.TakeReport(At(11700)).has_value());
}

// Guards against a late announcement of the former incarnation that ends the
// present one.
Test(WorkerIncarnation, LateAnnouncementChangesNothing)
{
  Fixture fixture;
  fixture.Restart();
  const AnnouncementOutcome outcome =
    fixture.keeper_.OnAnnounced(Announcement(kFormer, 42), At(11100));
  cr_assert_eq(outcome, AnnouncementOutcome::Ignored);
  fixture.AnswerHolds(Lists(kNext), 11800);
  cr_assert_eq(fixture.keeper_.Incarnation().startedAtMs_, kNext);
}

// Guards against a late announcement of a process that this side has never
// used: it is probed, and the incarnation in use answers the probe.
Test(WorkerIncarnation, RefutedAnnouncementLeavesTheWorkerInUse)
{
  Fixture fixture;
  fixture.keeper_.OnAnnounced(Announcement(kNext, 1), At(11000));
  fixture.AnswerHolds(Lists(kFormer), 11000);
  cr_assert_eq(fixture.keeper_.Incarnation().startedAtMs_, kFormer);
  cr_assert_eq(fixture.keeper_.RunCount(), 1);
  // The worker has executed the probe and refuses a lower fence from now on.
  const auto holds = HoldsOf(fixture.AnswerHolds(Lists(kFormer), 11100));
  cr_assert_eq(holds.at(0).head_.fence_, kFence + 1);
  cr_assert_eq(fixture.keeper_.OnAnnounced(Announcement(kNext, 2), At(11200)),
               AnnouncementOutcome::Ignored);
}

// Guards against a late deregistration of the former incarnation that takes the
// present one out of use.
Test(WorkerIncarnation, LateDeregistrationChangesNothing)
{
  Fixture fixture;
  fixture.Restart();
  cr_assert_not(fixture.keeper_.OnWorkerLeft("w1", At(11800), kFormer));
  fixture.OrderStart(kNext, 11800);
  cr_assert_eq(StartCount(fixture.AnswerHolds(Lists(kNext), 11800)), 1);
}

// Guards against a worker that is taken out of use by a deregistration without
// a start time, which may be from another incarnation; a refused connection
// confirms it.
Test(WorkerIncarnation, DeregistrationWithoutStartTimeIsVerified)
{
  for (const bool hasLeft : { false, true }) {
    Fixture fixture;
    cr_assert(fixture.keeper_.OnWorkerLeft("w1", At(11000)));
    const CallAnswer answer =
      hasLeft ? Outcome(CallOutcome::PortRefused) : Lists(kFormer);
    const auto probes = HoldsOf(fixture.AnswerHolds(answer, 11000));
    cr_assert_eq(probes.size(), 1);
    fixture.OrderStart(kFormer, 11100);
    const std::size_t starts = StartCount(fixture.AnswerHolds(answer, 11100));
    cr_assert_eq(starts, hasLeft ? 0 : 1);
    cr_assert_eq(fixture.keeper_.WorkerId().empty(), hasLeft);
  }
}

// Guards against a late answer of the former incarnation to a start, or a late
// answer to a hold, that is taken for one of the present incarnation.
Test(WorkerIncarnation, LateAnswersChangeNothing)
{
  Fixture fixture;
  fixture.OrderStart(kFormer, 10900);
  const auto calls = fixture.AnswerHolds(Lists(kFormer), 10900);
  fixture.Restart();
  for (const WorkerCall& call : calls) {
    if (const auto* start = std::get_if<StartCall>(&call)) {
      fixture.keeper_.OnAnswer(
        start->head_.id_, Outcome(CallOutcome::Accepted), At(11100));
    }
  }
  CallAnswer former = Lists(kFormer);
  former.runs_ = { { "j.0.0.0", 1, false, "", 10, 0 } };
  former.ends_ = { { 4, "j.0.0.1", 1, EndKind::Done, "" } };
  fixture.AnswerHolds(former, 11200);
  cr_assert_eq(fixture.keeper_.RunCount(), 0);
  const auto report = fixture.keeper_.TakeReport(At(12000));
  cr_assert(report->ends_.empty());
  cr_assert_eq(report->worker_.startedAtMs_, kNext);
}

// Guards against a list of another process that is applied before a probe has
// shown which one is alive: its runs would count as those of the present one.
Test(WorkerIncarnation, ListsOfAnUnannouncedIncarnationAreNotApplied)
{
  Fixture fixture;
  CallAnswer lists = Lists(kNext);
  lists.ends_ = { { 1, "j.0.0.0", 1, EndKind::Done, "" } };
  fixture.AnswerHolds(lists, 11000);
  cr_assert_eq(fixture.keeper_.RunCount(), 1);
  cr_assert_eq(fixture.keeper_.Incarnation().startedAtMs_, kFormer);
  // No order and no acknowledgement is sent to the other process.
  fixture.OrderStart(kFormer, 11100);
  const auto calls = fixture.AnswerHolds(Lists(kFormer), 11200);
  cr_assert_eq(StartCount(calls), 0);
  cr_assert_eq(HoldsOf(calls).at(0).endsStored_, 0);
  cr_assert_gt(HoldsOf(calls).at(0).head_.fence_, kFence);
  cr_assert_eq(StartCount(fixture.AnswerHolds(Lists(kFormer), 11300)), 1);
}

// Guards against a worker that is never used again after it has left and come
// back under its id.
Test(WorkerIncarnation, WorkerThatCameBackIsUsedAgain)
{
  Fixture fixture;
  cr_assert(fixture.keeper_.OnWorkerLeft("w1", At(11000), kFormer));
  fixture.AnswerHolds(Outcome(CallOutcome::PortRefused), 11000);
  cr_assert(fixture.keeper_.WorkerId().empty());
  fixture.keeper_.OnAnnounced(Announcement(kNext, 1), At(11500));
  const auto holds = HoldsOf(fixture.AnswerHolds(Lists(kNext), 11500));
  cr_assert_eq(holds.at(0).head_.fence_, kFence + 1);
  fixture.OrderStart(kNext, 12200);
  cr_assert_eq(StartCount(fixture.AnswerHolds(Lists(kNext), 12200)), 1);
}

// Guards against orders for the former incarnation that apply to the present
// one: an acknowledgement would drop ends unseen.
Test(WorkerIncarnation, OrdersForTheFormerIncarnationAreDropped)
{
  Fixture fixture;
  fixture.Restart();
  fixture.keeper_.TakeReport(At(12000));
  FleetOrders orders = Fixture::Orders(kFormer, 2, 12100);
  orders.endsStored_ = 5;
  orders.starts_.push_back({ "j.0.0.7", 1, "payload", "", "" });
  cr_assert(fixture.keeper_.OnOrders(orders, At(12100)));
  const auto calls = fixture.AnswerHolds(Lists(kNext), 12100);
  cr_assert_eq(StartCount(calls), 0);
  cr_assert_eq(HoldsOf(calls).at(0).endsStored_, 0);
  cr_assert(fixture.keeper_.TakeReport(At(12100)).has_value());
}

// Guards against another writer's announcement that replaces the worker or its
// service.
Test(WorkerIncarnation, InvalidAnnouncementsChangeNothing)
{
  Fixture fixture;
  cr_assert_eq(fixture.keeper_.OnAnnounced(Announcement(0, 99), At(11000)),
               AnnouncementOutcome::Invalid);
  WorkerAnnouncement other = Announcement(kFormer, 99);
  other.facts_.service_ = "other";
  cr_assert_eq(fixture.keeper_.OnAnnounced(other, At(11000)),
               AnnouncementOutcome::Invalid);
  fixture.AnswerHolds(Lists(kFormer), 11000);
  const auto report = fixture.keeper_.TakeReport(At(12000));
  cr_assert_eq(report->worker_.service_, "service");
  cr_assert_eq(report->worker_.startedAtMs_, kFormer);
}

// Guards against a side that rejects all announcements of its worker, because
// the first one after the side's start was from another writer.
Test(WorkerIncarnation, InvalidFirstAnnouncementIsReplacedByTheWorkersOwn)
{
  WorkerKeeper keeper({ Millis(10000), Millis(500), kFence }, At(10000));
  WorkerAnnouncement odd = Announcement(kFormer, 1000000);
  odd.facts_.service_ = "other";
  cr_assert_eq(keeper.OnAnnounced(odd, At(10000)),
               AnnouncementOutcome::Accepted);
  cr_assert_eq(keeper.OnAnnounced(Announcement(kFormer, 1), At(11000)),
               AnnouncementOutcome::Invalid);
  cr_assert_eq(keeper.OnAnnounced(Announcement(kFormer, 2), At(12000)),
               AnnouncementOutcome::Accepted);
  cr_assert_eq(keeper.OnAnnounced(Announcement(kFormer, 3), At(13000)),
               AnnouncementOutcome::Accepted);
  for (const WorkerCall& call : keeper.TakeCalls(At(13000))) {
    keeper.OnAnswer(
      std::get<HoldCall>(call).head_.id_, Lists(kFormer), At(13000));
  }
  keeper.OnLeaderLink(At(14000));
  cr_assert_eq(keeper.TakeReport(At(14000))->worker_.service_, "service");
}

// Guards against another writer that changes the service of a worker by single
// announcements between those of the worker.
Test(WorkerIncarnation, SingleInvalidAnnouncementsNeverChangeTheService)
{
  Fixture fixture;
  for (std::uint64_t i = 0; i < 5; ++i) {
    const auto now = At(11000 + static_cast<std::int64_t>(i) * 1000);
    WorkerAnnouncement other = Announcement(kFormer, 2000 + i);
    other.facts_.service_ = "other";
    cr_assert_eq(fixture.keeper_.OnAnnounced(other, now),
                 AnnouncementOutcome::Invalid);
    cr_assert_eq(
      fixture.keeper_.OnAnnounced(Announcement(kFormer, 1000 + i), now),
      AnnouncementOutcome::Accepted);
  }
}

// Guards against a leader that takes the runs of the former incarnation for
// those of the present one: its task would be lost.
Test(WorkerIncarnation, LeaderRestartsTheWorkOfTheFormerIncarnation)
{
  FleetWorld world(1);
  world.RestartWorker(0, Millis(0));
  world.Run(Millis(1500));
  world.Submit(MakeJob("job", 2, 1000));
  world.Run(Millis(300));
  cr_assert_eq(world.Host(0).worker_.runs_.size(), 2);
  world.RestartWorker(0, Millis(50));
  world.Run(Millis(4000));
  cr_assert_eq(world.EventCount("worker-new-life"), 1);
  cr_assert_eq(world.StateOf("job"), JobState::Completed);
}

namespace {

/** Random jobs and faults in a world whose workers restart under their ids and
 * execute some calls late. */
class Trial
{
public:
  explicit Trial(unsigned aSeed)
    : random_(aSeed)
    , world_(kHosts, { 4000, 64000, 0 })
  {
    for (std::size_t host = 0; host < kHosts; ++host) {
      world_.RestartWorker(host, Millis(0));
    }
    world_.Run(Millis(1500));
    for (int round = 0; round < kRounds; ++round) {
      Act(round);
      world_.Run(Millis(20 + Draw(600)));
    }
    EndFaults();
  }

  FleetWorld& World() { return world_; }

  bool AllJobsEnded()
  {
    for (int round = 0; round < kRounds; ++round) {
      const auto state =
        world_.Scheduler().StateOf("job" + std::to_string(round));
      if (state.has_value() && !IsFinal(*state)) {
        return false;
      }
    }
    return true;
  }

private:
  static constexpr std::size_t kHosts = 4;
  static constexpr int kRounds = 40;

  unsigned Draw(unsigned aBound)
  {
    return static_cast<unsigned>(random_() % aBound);
  }

  void Act(int aRound)
  {
    const std::size_t host = Draw(kHosts);
    HostFake& fake = world_.Host(host);
    switch (Draw(14)) {
      case 0:
        world_.Cut(host, !fake.cut_);
        break;
      case 1:
        world_.RestartSide(host);
        break;
      case 2:
      case 3:
      case 4:
        world_.RestartWorker(host, Millis(Draw(200)));
        break;
      case 5:
        world_.RestartWorker(host, Millis(Draw(200)));
        world_.RestartSide(host);
        break;
      case 6:
        world_.ChangeLeader();
        break;
      case 7:
      case 8:
        fake.lateCallInterval_ = 1 + Draw(4);
        fake.lateness_ = Millis(50 + Draw(3000));
        world_.Run(Millis(Draw(100)));
        fake.lateCallInterval_ = Draw(2) == 0 ? 0 : 5;
        break;
      case 9:
        fake.worker_.taskTime_ = Millis(200 + Draw(2000));
        break;
      default: {
        JobDescription job =
          MakeJob("job" + std::to_string(aRound),
                  1 + Draw(5),
                  500 + static_cast<std::int64_t>(Draw(2000)));
        job.priority_ = Draw(3);
        job.maxAttempts_ = 4;
        world_.Submit(job);
        break;
      }
    }
  }

  void EndFaults()
  {
    for (std::size_t host = 0; host < kHosts; ++host) {
      world_.Cut(host, false);
      world_.Host(host).lateCallInterval_ = 0;
      world_.Host(host).worker_.taskTime_ = Millis(500);
    }
    world_.Run(Millis(45000));
  }

  std::mt19937 random_;
  FleetWorld world_;
};

}

// Guards against a task with two runs, a lost task and an end that is
// acknowledged unseen when workers restart under their ids while calls are
// executed late, links are cut, and sides and leaders change.
Test(WorkerIncarnation, RandomRestartsUnderTheSameId)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Trial trial(seed);
    FleetWorld& world = trial.World();
    cr_expect_leq(
      world.MaxConcurrentRuns(), 1, "seed %u ran a task twice", seed);
    cr_expect_eq(world.StartsAfterAcknowledgedEnd(),
                 0,
                 "seed %u started done tasks again: %s",
                 seed,
                 world.StartedAfterAcknowledgedEnd().c_str());
    cr_expect_eq(world.EndsAcknowledgedUnseen(),
                 0,
                 "seed %u acknowledged ends unseen",
                 seed);
    cr_expect_not(
      world.EverOverCapacity(), "seed %u exceeded the room of a worker", seed);
    cr_expect(trial.AllJobsEnded(), "seed %u: a job has not ended", seed);
  }
}
