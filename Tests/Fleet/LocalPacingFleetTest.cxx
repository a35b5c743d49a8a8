#include "FleetWorld.h"
#include "HarmBench.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace cactusrail;

namespace {

const char* const kBatch = "batch.0.0.0";

/**
 * A host with a serving task, whose limit is 20 ms, and a backfill task that
 * takes 30 s. The test sets the latency and the harm by backfill.
 */
struct PacedWorld
{
  explicit PacedWorld(FeatureSwitch aSwitch = FeatureSwitch::On,
                      std::int64_t aWorkerStartedAtMs = 1)
    : world_(1, { 16000, 64000, 0 }, Bounds(aSwitch))
  {
    worker_.lasting_ = { "serving" };
    worker_.taskTime_ = Millis(30000);
    worker_.latencyMs_ = 10;
    world_.Host(0).worker_.startedAtMs_ = aWorkerStartedAtMs;
    world_.Run(Millis(2000));
    JobDescription serving = MakeJob("serving", 1, 4000);
    serving.steps_.front().longRunning_ = true;
    serving.steps_.front().latencyObjectiveMs_ = 20;
    serving.steps_.front().image_ = "victim";
    world_.Submit(serving);
    world_.Run(Millis(2000));
    JobDescription batch = MakeJob("batch", 1, 2000);
    batch.priority_ = 2;
    batch.steps_.front().backfill_ = true;
    batch.steps_.front().checkpoints_ = true;
    batch.steps_.front().estimateMs_ = 30000;
    batch.steps_.front().image_ = "aggressor";
    world_.Submit(batch);
    world_.Run(Millis(3000));
    cr_assert_eq(worker_.RunsOf(kBatch), 1);
  }

  static FleetBounds Bounds(FeatureSwitch aSwitch)
  {
    FleetBounds bounds;
    bounds.features_.localPacing_ = aSwitch;
    return bounds;
  }

  const LocalPacing& Pacing() { return world_.Host(0).keeper_->Pacing(); }

  /** Runs with a load that is higher by half, at which backfill at full pace
   * takes the serving task over its limit; returns the longest time over it. */
  Millis RunOverloaded(Millis aFor)
  {
    worker_.latencyMs_ = 15;
    worker_.harmMs_ = 12;
    Millis over{ 0 };
    Millis longest{ 0 };
    for (Millis run{ 0 }; run < aFor; run += Millis(10)) {
      world_.Run(Millis(10));
      over = worker_.Latency() > 20 ? over + Millis(10) : Millis(0);
      longest = std::max(longest, over);
    }
    return longest;
  }

  FleetWorld world_;
  WorkerFake& worker_ = world_.Host(0).worker_;
};

/** Time over its limit that a serving task must not reach. */
constexpr Millis kViolation{ 4500 };

}

// Guards against the loss of work of a run that a former leader has paused: the
// next leader took its pace for 100 percent and stopped it 1.6 s after its
// adoption, as it made no progress.
Test(LocalPacingFleet, PausedRunIsNotStoppedAsStalledByTheNextLeader)
{
  PacedWorld scene;
  scene.worker_.latencyMs_ = 60;
  scene.world_.Run(Millis(4000));
  cr_assert_eq(scene.worker_.PaceOf(kBatch), 0);
  scene.world_.LoseLeader();
  scene.worker_.latencyMs_ = 10;
  scene.world_.Run(Millis(500));
  scene.world_.ChangeLeader();
  scene.world_.Run(Millis(3000));
  cr_assert_eq(scene.world_.EventCount("run-stopped"),
               0,
               "stopped: %s",
               scene.world_.EventDetails("run-stopped").c_str());
  cr_assert_eq(scene.worker_.PaceOf(kBatch), 100, "the run is not resumed");
}

// The same, while the orders of the next leader take 2 s. Guards against a stop
// of the run before it has the new pace, and as soon as it has.
Test(LocalPacingFleet, PausedRunIsNotStoppedBeforeItsNewPaceArrives)
{
  PacedWorld scene;
  scene.worker_.latencyMs_ = 60;
  scene.world_.Run(Millis(4000));
  cr_assert_eq(scene.worker_.PaceOf(kBatch), 0);
  scene.world_.LoseLeader();
  scene.worker_.latencyMs_ = 10;
  scene.world_.orderDelay_ = Millis(2000);
  scene.world_.Run(Millis(500));
  scene.world_.ChangeLeader();
  scene.world_.Run(Millis(5000));
  cr_assert_eq(scene.world_.EventCount("run-stopped"),
               0,
               "stopped: %s",
               scene.world_.EventDetails("run-stopped").c_str());
  cr_assert_eq(scene.worker_.PaceOf(kBatch), 100);
}

// Load: no leader for 8 s while the load of the serving task rises by half.
// Guards against harm until the next leader.
Test(LocalPacingFleet, ServingTaskIsProtectedWithoutALeader)
{
  PacedWorld scene;
  scene.world_.LoseLeader();
  cr_assert_lt(scene.RunOverloaded(Millis(8000)).count(), kViolation.count());
  cr_assert_eq(scene.worker_.RunsOf(kBatch), 1);
}

// Guards against harm on a worker that the leader cannot reach.
Test(LocalPacingFleet, ServingTaskIsProtectedWithoutALink)
{
  PacedWorld scene;
  scene.world_.Cut(0, true);
  cr_assert_lt(scene.RunOverloaded(Millis(8000)).count(), kViolation.count());
}

// Guards against harm beside a leader that does not answer, but whose links
// stay up, and against a cap that outlasts the return of the leader.
Test(LocalPacingFleet, ServingTaskIsProtectedFromAFrozenLeader)
{
  PacedWorld scene;
  scene.world_.SuspendLeader(Millis(6000));
  cr_assert_lt(scene.RunOverloaded(Millis(6000)).count(), kViolation.count());
  cr_assert_lt(scene.worker_.PaceOf(kBatch), 100);
  scene.worker_.latencyMs_ = 10;
  scene.worker_.harmMs_ = 0;
  scene.world_.Run(Millis(3000));
  cr_assert_not(scene.Pacing().InForce());
  cr_assert_eq(scene.worker_.PaceOf(kBatch), 100);
}

// Load: a leader that comes back, here after the loss of its link. Its paces
// apply again. Guards against a run that this leader stops for the progress
// that it did not make while its side paused it.
Test(LocalPacingFleet, ReturningLeaderDoesNotStopAPausedRun)
{
  PacedWorld scene;
  scene.world_.Cut(0, true);
  scene.worker_.latencyMs_ = 60;
  scene.world_.Run(Millis(6000));
  cr_assert_eq(scene.worker_.PaceOf(kBatch), 0);
  scene.worker_.latencyMs_ = 10;
  scene.world_.Cut(0, false);
  scene.world_.Run(Millis(3000));
  cr_assert_not(scene.Pacing().InForce());
  cr_assert_eq(scene.worker_.PaceOf(kBatch), 100);
  cr_assert_eq(scene.world_.EventCount("run-stopped"),
               0,
               "stopped: %s",
               scene.world_.EventDetails("run-stopped").c_str());
}

// Guards against a cap beside a leader that leads: its orders must come at
// least every second although nothing changes.
Test(LocalPacingFleet, CapIsNeverInForceBesideAHealthyLeader)
{
  PacedWorld scene;
  scene.world_.reportDelay_ = Millis(20);
  scene.world_.orderDelay_ = Millis(20);
  for (int step = 0; step < 1000; ++step) {
    scene.world_.Run(Millis(10));
    cr_assert_not(scene.Pacing().InForce());
  }
}

// Guards against a side without profiles after a takeover: the next leader
// sends them, so that the side protects the task again when that leader is
// lost as well.
Test(LocalPacingFleet, NextLeaderSendsProfiles)
{
  PacedWorld scene;
  scene.world_.LoseLeader();
  scene.world_.RestartSide(0);
  scene.world_.Run(Millis(1000));
  scene.world_.ChangeLeader();
  scene.world_.Run(Millis(3000));
  scene.world_.LoseLeader();
  cr_assert_lt(scene.RunOverloaded(Millis(8000)).count(), kViolation.count());
}

// Guards against backfill at the pace of the former leader once the cap is
// lifted: the next leader decides for the pace that its first report shows, and
// must order it all the same.
Test(LocalPacingFleet, NextLeaderOrdersThePaceThatItFinds)
{
  PacedWorld scene;
  scene.worker_.latencyMs_ = 60;
  scene.world_.LoseLeader();
  scene.world_.Run(Millis(4000));
  cr_assert_eq(scene.worker_.PaceOf(kBatch), 0);
  scene.worker_.latencyMs_ = 16;
  scene.world_.ChangeLeader();
  ContentionModel& model = scene.world_.Scheduler().Interference().Model();
  model.SetKnownCost(
    model.Number("victim"), model.Number("aggressor"), 3, scene.world_.Now());
  for (int step = 0; step < 100; ++step) {
    scene.world_.Run(Millis(10));
    cr_assert_lt(scene.worker_.PaceOf(kBatch), 20);
  }
  cr_assert_not(scene.Pacing().InForce());
}

// Guards against throttling by guess: a restarted side knows no profiles, and
// leaves the paces on its worker as they are. The next leader does not know the
// pace either, and must order one.
Test(LocalPacingFleet, RestartedSideKeepsThePaces)
{
  PacedWorld scene;
  scene.worker_.latencyMs_ = 60;
  scene.world_.Run(Millis(4000));
  cr_assert_eq(scene.worker_.PaceOf(kBatch), 0);
  scene.world_.LoseLeader();
  scene.world_.RestartSide(0);
  const std::size_t calls = scene.worker_.paceCalls_;
  scene.world_.Run(Millis(2000));
  cr_assert_eq(scene.worker_.paceCalls_, calls);
  scene.worker_.latencyMs_ = 10;
  scene.world_.ChangeLeader();
  scene.world_.Run(Millis(3000));
  cr_assert_eq(scene.worker_.PaceOf(kBatch), 100);
  cr_assert_eq(scene.world_.EventCount("run-stopped"), 0);
}

// Guards against a cap that changes while the worker does not answer.
Test(LocalPacingFleet, SilentWorkerKeepsTheCap)
{
  PacedWorld scene;
  scene.worker_.latencyMs_ = 60;
  scene.world_.LoseLeader();
  scene.world_.Run(Millis(4000));
  scene.worker_.latencyMs_ = 10;
  scene.worker_.mute_ = true;
  scene.world_.Run(Millis(2500));
  cr_assert_eq(scene.Pacing().Cap(), 0);
}

// Guards against a pace that is lost with the answer to its call, or undone by
// a call without an answer that the worker executes late.
Test(LocalPacingFleet, PaceCallsAreRepeated)
{
  PacedWorld scene;
  scene.worker_.losesPaceAnswers_ = true;
  scene.worker_.latencyMs_ = 60;
  scene.world_.LoseLeader();
  scene.world_.Run(Millis(4000));
  cr_assert_gt(scene.worker_.paceCalls_, 2);
  scene.worker_.losesPaceAnswers_ = false;
  scene.world_.Run(Millis(500));
  scene.worker_.runs_.back().pace_ = 100;
  scene.world_.Run(Millis(1500));
  cr_assert_eq(scene.worker_.PaceOf(kBatch), 0);
}

// Guards against a cap on work that is not backfill.
Test(LocalPacingFleet, OnlyBackfillIsThrottled)
{
  PacedWorld scene;
  scene.world_.Submit(MakeJob("plain", 1, 2000));
  scene.world_.Run(Millis(500));
  scene.worker_.latencyMs_ = 60;
  scene.world_.LoseLeader();
  scene.world_.Run(Millis(4000));
  cr_assert_eq(scene.worker_.RunsOf("plain.0.0.0"), 1);
  cr_assert_eq(scene.worker_.PaceOf("plain.0.0.0"), 100);
  cr_assert_eq(scene.worker_.PaceOf(kBatch), 0);
}

// Guards against messages that an earlier deployment does not need.
Test(LocalPacingFleet, ProfilesAreSentOnlyIfTheFeatureIsEnabled)
{
  for (const FeatureSwitch feature :
       { FeatureSwitch::Off, FeatureSwitch::Auto, FeatureSwitch::On }) {
    HarmBench bench(PacedWorld::Bounds(feature));
    bench.scheduler_.OnJobStored(HarmBench::Serving(), bench.now_);
    bench.Run(Millis(2000));
    bench.scheduler_.OnJobStored(HarmBench::Backfill("batch"), bench.now_);
    bench.Run(Millis(1000));
    cr_assert(bench.Runs("batch"));
    if (feature != FeatureSwitch::On) {
      cr_assert(bench.profiles_.empty());
      continue;
    }
    cr_assert_eq(bench.profiles_.size(), 2);
    cr_assert_eq(bench.profiles_[0].latencyObjectiveMs_, 10);
    cr_assert_not(bench.profiles_[0].backfill_);
    cr_assert_eq(bench.profiles_[1].latencyObjectiveMs_, 0);
    cr_assert(bench.profiles_[1].backfill_);
  }
}

// Guards against a side that throttles although its own setting is off, or that
// takes `auto` for on: its leader may be ahead of it in an upgrade.
Test(LocalPacingFleet, SideFollowsItsOwnSetting)
{
  for (const FeatureSwitch feature :
       { FeatureSwitch::Off, FeatureSwitch::Auto, FeatureSwitch::On }) {
    WorkerFake worker("w1");
    worker.lasting_ = { "serving" };
    worker.taskTime_ = Millis(30000);
    worker.latencyMs_ = 60;
    Instant now = At(100000);
    WorkerKeeper keeper({ Millis(10000), Millis(500), 7, feature }, now);
    WorkerAnnouncement announcement;
    announcement.facts_.id_ = worker.id_;
    keeper.OnAnnounced(announcement, now);
    keeper.OnLeaderLink(now);
    FleetOrders orders;
    orders.workerId_ = worker.id_;
    orders.echoMicros_ =
      static_cast<std::uint64_t>(now.time_since_epoch().count());
    orders.leaseMicros_ = 9000000;
    orders.startsUntilMicros_ = orders.echoMicros_ + orders.leaseMicros_;
    orders.starts_ = { { "serving.0.0.0", 1, "", "", "" },
                       { kBatch, 1, "", "", "" } };
    orders.profiles_ = { { "serving.0.0.0", 1, 20, false },
                         { kBatch, 1, 0, true } };
    keeper.OnOrders(orders, now);
    for (int step = 0; step < 500; ++step) {
      now += Millis(10);
      for (const WorkerCall& call : keeper.TakeCalls(now)) {
        const std::uint64_t id =
          std::visit([](const auto& aOne) { return aOne.head_.id_; }, call);
        keeper.OnAnswer(id, worker.Take(call, now), now);
      }
    }
    cr_assert_eq(worker.RunsOf(kBatch), 1);
    cr_assert_eq(worker.PaceOf(kBatch), feature == FeatureSwitch::On ? 0 : 100);
  }
}

// Guards against a change in earlier deployments: sides set no cap with the
// feature off, or if the workers announce no start time.
Test(LocalPacingFleet, FeatureIsOffInEarlierDeployments)
{
  for (const bool automatic : { false, true }) {
    PacedWorld scene(automatic ? FeatureSwitch::Auto : FeatureSwitch::Off, 0);
    scene.world_.LoseLeader();
    cr_assert_gt(scene.RunOverloaded(Millis(8000)).count(), kViolation.count());
    cr_assert_eq(scene.worker_.PaceOf(kBatch), 100);
  }
}

// Guards against a feature that `auto` never enables.
Test(LocalPacingFleet, AutoFollowsTheWorkersProtocol)
{
  PacedWorld scene(FeatureSwitch::Auto);
  scene.world_.LoseLeader();
  cr_assert_lt(scene.RunOverloaded(Millis(8000)).count(), kViolation.count());
}
