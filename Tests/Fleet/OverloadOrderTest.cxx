#include "FleetWorld.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

using namespace cactusrail;

namespace {

constexpr Millis kTick{ 50 };

FleetBounds
Bounds(FeatureSwitch aOrder, FeatureSwitch aShares = FeatureSwitch::Off)
{
  FleetBounds bounds;
  bounds.features_.overloadOrder_ = aOrder;
  bounds.features_.fairShares_ = aShares;
  return bounds;
}

/** Batch job whose tasks take 1 s; its objective is 3 s. */
JobDescription
BatchJob(const std::string& aId,
         std::uint32_t aTasks,
         const std::string& aDataCentre = "dc1",
         const std::string& aQueue = "host/queue/")
{
  JobDescription job = MakeJob(aId, aTasks, 1000);
  job.queue_ = aQueue;
  job.dataCentre_ = aDataCentre;
  job.priority_ = 2;
  job.stretch_ = 2;
  job.latencyObjectiveMs_ = 1000;
  return job;
}

/** Fleet of 32 processors to which jobs are submitted over time. */
struct Load
{
  explicit Load(const FleetBounds& aBounds)
    : world_(2, { 16000, 640000, 0 }, aBounds)
  {
    world_.Run(Millis(1500));
  }

  void Submit(JobDescription aJob)
  {
    aJob.acceptedAtMs_ = world_.WallMs();
    deadlines_[aJob.id_] = aJob.acceptedAtMs_ + 3000;
    world_.Submit(aJob);
  }

  void Run(Millis aFor)
  {
    for (Millis past{ 0 }; past < aFor; past += kTick) {
      world_.Run(kTick);
      for (const auto& [id, deadline] : deadlines_) {
        if (!endedAt_.contains(id) &&
            world_.StateOf(id) == JobState::Completed) {
          endedAt_[id] = world_.WallMs();
        }
      }
    }
  }

  /** Number of jobs with this prefix that ended in time. */
  std::size_t InTime(const std::string& aPrefix = {}) const
  {
    std::size_t count = 0;
    for (const auto& [id, endedAt] : endedAt_) {
      count += id.starts_with(aPrefix) && endedAt <= deadlines_.at(id) ? 1 : 0;
    }
    return count;
  }

  std::size_t Started(const std::string& aPrefix) const
  {
    std::size_t count = 0;
    for (const auto& [id, deadline] : deadlines_) {
      count += id.starts_with(aPrefix) && world_.Starts(id + ".0.0.0") > 0;
    }
    return count;
  }

  /** Order of all starts on each worker. */
  std::string StartOrder()
  {
    std::string order;
    for (std::size_t host = 0; host < 2; ++host) {
      for (const std::string& start : world_.Host(host).worker_.started_) {
        order += start + " ";
      }
    }
    return order;
  }

  FleetWorld world_;
  std::map<std::string, std::int64_t> deadlines_;
  std::map<std::string, std::int64_t> endedAt_;
};

/** 0.8 of the capacity with a burst of 2.6 times for 4 s, in jobs of 4, 8 and
 * 16 tasks. */
void
SubmitBurst(Load& aLoad, bool aBackfill = false, bool aChangeLeader = false)
{
  const std::vector<std::uint32_t> widths{ 4, 8, 16, 4, 8 };
  double owed = 0;
  int number = 0;
  for (Millis past{ 0 }; past < Millis(12000); past += kTick) {
    const bool burst = past >= Millis(3000) && past < Millis(7000);
    owed += 0.8 * 32 * (burst ? 2.6 : 1) * 0.05;
    while (owed >= widths[number % 5]) {
      JobDescription job =
        BatchJob("job" + std::to_string(number), widths[number % 5]);
      job.steps_.front().backfill_ = aBackfill;
      owed -= widths[number % 5];
      aLoad.Submit(job);
      ++number;
    }
    if (aChangeLeader && past == Millis(6000)) {
      aLoad.world_.ChangeLeader();
    }
    aLoad.Run(kTick);
  }
  aLoad.Run(Millis(10000));
}

/** Jobs of 8 tasks, five times their usual rate of 0.8 per second from one
 * source and the usual rate from three others: 1.6 times the capacity. */
template<typename MakeBatchJob>
void
SubmitFlood(Load& aLoad, MakeBatchJob aMake)
{
  for (int step = 0; step < 20; ++step) {
    for (int i = 0; i < 5; ++i) {
      const std::string number = std::to_string(step * 5 + i);
      aLoad.Submit(aMake("flood" + number, 0));
      if (i == 4) {
        for (int source = 1; source < 4; ++source) {
          aLoad.Submit(
            aMake("other" + std::to_string(source) + number, source));
        }
      }
    }
    aLoad.Run(Millis(1250));
  }
  aLoad.Run(Millis(10000));
}

/** Verifies that jobs of other sources are in time in a flood with fair
 * shares, and reports those without. */
template<typename MakeBatchJob>
void
ExpectOthersInTime(const char* aWhat, MakeBatchJob aMake)
{
  Load byLatestStart(Bounds(FeatureSwitch::Off));
  SubmitFlood(byLatestStart, aMake);
  Load unshared(Bounds(FeatureSwitch::On));
  SubmitFlood(unshared, aMake);
  Load shared(Bounds(FeatureSwitch::On, FeatureSwitch::On));
  SubmitFlood(shared, aMake);
  std::printf("%s: of 60 jobs of others in time: %zu by latest start, %zu "
              "selected, %zu with fair shares; of 100 of the flood: %zu, %zu, "
              "%zu\n",
              aWhat,
              byLatestStart.InTime("other"),
              unshared.InTime("other"),
              shared.InTime("other"),
              byLatestStart.InTime("flood"),
              unshared.InTime("flood"),
              shared.InTime("flood"));
  cr_expect_geq(shared.InTime("other"), 57);
  cr_expect_gt(shared.InTime("other"), byLatestStart.InTime("other"));
  cr_expect_gt(shared.InTime("other"), unshared.InTime("other"));
  cr_expect_gt(shared.InTime("flood"), 0, "the others leave capacity unused");
}

/** Leader and one worker of the new protocol, with more jobs than can be in
 * time, after the first placement pass. */
struct ShortageScene
{
  ShortageScene()
  {
    scheduler_.OnSideRegistered("side", now_);
    scheduler_.OnTableCurrent(now_);
    scheduler_.OnEvacuations({ {}, now_ });
    scheduler_.OnLoaded(now_, kWallMs);
    scheduler_.OnLinkUp("side", now_);
    FleetReport report = IdleReport(now_);
    report.worker_.startedAtMs_ = kWallMs;
    scheduler_.OnReport("side", report, now_);
    for (int i = 0; i < 20; ++i) {
      Store("job" + std::to_string(i));
    }
    scheduler_.TakeOrders(now_, kWallMs);
  }

  void Store(const std::string& aId)
  {
    JobDescription job = BatchJob(aId, 8);
    job.acceptedAtMs_ = kWallMs;
    scheduler_.OnJobStored(job, now_);
  }

  Instant now_ = At(1000000);
  FleetScheduler scheduler_{ 1, Bounds(FeatureSwitch::Auto), kWallMs };
};

/** Load without a shortage: half of the capacity. */
void
SubmitHalf(Load& aLoad)
{
  for (int i = 0; i < 20; ++i) {
    aLoad.Submit(BatchJob(
      "job" + std::to_string(i), 4 + i % 3 * 4, i % 2 == 0 ? "dc1" : "dc2"));
    aLoad.Run(Millis(500));
  }
}

}

// Guards against a burst in which the order by latest start makes nearly all
// jobs late instead of some.
Test(OverloadOrder, MoreJobsAreInTimeInABurst)
{
  for (const bool backfill : { false, true }) {
    Load byLatestStart(Bounds(FeatureSwitch::Off));
    SubmitBurst(byLatestStart, backfill);
    Load selected(Bounds(FeatureSwitch::On));
    SubmitBurst(selected, backfill);
    Load shared(Bounds(FeatureSwitch::On, FeatureSwitch::On));
    SubmitBurst(shared, backfill);
    std::printf("%s: in time of %zu jobs in a burst of 2.6 times: %zu by "
                "latest start, %zu selected, %zu with fair shares\n",
                backfill ? "backfill" : "other work",
                selected.deadlines_.size(),
                byLatestStart.InTime(),
                selected.InTime(),
                shared.InTime());
    cr_expect_gt(selected.InTime(), byLatestStart.InTime());
    cr_expect_gt(shared.InTime(), byLatestStart.InTime());
    cr_expect_eq(selected.endedAt_.size(),
                 selected.deadlines_.size(),
                 "a deferred job is placed after the selected ones");
  }
}

// The beginning and the end of a shortage are logged once each, with the groups
// that bore it.
Test(OverloadOrder, ShortageIsLoggedWithItsGroups)
{
  Load load(Bounds(FeatureSwitch::On));
  SubmitBurst(load);
  cr_expect_eq(load.world_.EventCount("jobs-deferred"), 1);
  cr_expect_eq(load.world_.EventCount("jobs-resumed"), 1);
  const std::string details = load.world_.EventDetails("jobs-resumed");
  cr_expect_neq(details.find("dc1 host/queue/ large"), std::string::npos);
  cr_expect_eq(load.world_.Scheduler().Overload().deferredJobs_, 0);
}

// Guards against callers of one data centre that delay those of all others.
Test(OverloadOrder, FloodOfOneDataCentreLeavesTheOthersTheirShare)
{
  ExpectOthersInTime("data centre", [](const std::string& aId, int aSource) {
    return BatchJob(aId, 8, "dc" + std::to_string(aSource));
  });
}

// Guards against a queue whose jobs delay those of all others.
Test(OverloadOrder, FloodOfOneQueueLeavesTheOthersTheirShare)
{
  ExpectOthersInTime("queue", [](const std::string& aId, int aSource) {
    return BatchJob(
      aId, 8, "dc1", "host/queue" + std::to_string(aSource) + "/");
  });
}

// Guards against a few wide jobs that delay many narrow ones.
Test(OverloadOrder, WideJobsDoNotDelayNarrowOnes)
{
  const auto submit = [](Load& aLoad) {
    for (int i = 0; i < 40; ++i) {
      aLoad.Submit(BatchJob("wide" + std::to_string(i), 24));
      aLoad.Submit(BatchJob("narrow" + std::to_string(i), 2));
      aLoad.Run(Millis(500));
    }
    aLoad.Run(Millis(10000));
  };
  Load byLatestStart(Bounds(FeatureSwitch::Off));
  submit(byLatestStart);
  Load selected(Bounds(FeatureSwitch::On));
  submit(selected);
  std::printf("of 40 narrow and 40 wide jobs in time: %zu and %zu by latest "
              "start, %zu and %zu selected\n",
              byLatestStart.InTime("narrow"),
              byLatestStart.InTime("wide"),
              selected.InTime("narrow"),
              selected.InTime("wide"));
  cr_expect_eq(selected.InTime("narrow"), 40);
  cr_expect_gt(selected.InTime("narrow"), byLatestStart.InTime("narrow"));
}

// Without a shortage the order is the one without the feature.
Test(OverloadOrder, NoShortageChangesNothing)
{
  Load off(Bounds(FeatureSwitch::Off));
  SubmitHalf(off);
  Load on(Bounds(FeatureSwitch::On, FeatureSwitch::On));
  SubmitHalf(on);
  cr_assert_eq(on.StartOrder(), off.StartOrder());
  cr_assert_eq(on.world_.EventCount("jobs-deferred"), 0);
}

// Guards against a new order in a fleet whose workers use the earlier protocol.
Test(OverloadOrder, AutoChangesNothingWithTheEarlierProtocol)
{
  Load off(Bounds(FeatureSwitch::Off));
  SubmitBurst(off);
  Load automatic(Bounds(FeatureSwitch::Auto, FeatureSwitch::Auto));
  SubmitBurst(automatic);
  cr_assert_eq(automatic.StartOrder(), off.StartOrder());
}

Test(OverloadOrder, AutoIsOnWithTheNewProtocol)
{
  ShortageScene scene;
  cr_assert_gt(scene.scheduler_.Overload().deferredJobs_, 0);
}

// Guards against a job that comes in a shortage and starts at once, before
// selected jobs, because the selection has not considered it yet.
Test(OverloadOrder, JobThatComesInAShortageIsConsideredAtOnce)
{
  ShortageScene scene;
  const std::uint64_t deferred = scene.scheduler_.Overload().deferredJobs_;
  scene.now_ += Millis(10);
  scene.Store("new");
  scene.scheduler_.TakeOrders(scene.now_, kWallMs + 10);
  cr_assert_eq(scene.scheduler_.Overload().deferredJobs_, deferred + 1);
}

// A new leader computes the selection anew. Guards against jobs that are lost
// or placed twice, and against a burst that is late because of the change.
Test(OverloadOrder, NewLeaderContinuesTheSelection)
{
  Load byLatestStart(Bounds(FeatureSwitch::Off));
  SubmitBurst(byLatestStart, false, true);
  Load selected(Bounds(FeatureSwitch::On, FeatureSwitch::On));
  SubmitBurst(selected, false, true);
  std::printf("with a new leader in the burst: %zu by latest start, %zu with "
              "fair shares\n",
              byLatestStart.InTime(),
              selected.InTime());
  cr_expect_gt(selected.InTime(), byLatestStart.InTime());
  cr_expect_eq(selected.endedAt_.size(), selected.deadlines_.size());
  cr_expect_eq(selected.world_.MaxConcurrentRuns(), 1);
  cr_expect_not(selected.world_.EverOverCapacity());
}

// Guards against a data centre that was idle and then displaces the others.
Test(OverloadOrder, IdleDataCentreGetsNoCredit)
{
  Load load(Bounds(FeatureSwitch::On, FeatureSwitch::On));
  for (int i = 0; i < 60; ++i) {
    const std::string number = std::to_string(i);
    const bool both = i >= 30;
    load.Submit(BatchJob((both ? "busy" : "early") + number, 8, "dc1"));
    if (both) {
      load.Submit(BatchJob("idle" + number, 8, "dc2"));
    }
    load.Run(Millis(200));
  }
  load.Run(Millis(10000));
  std::printf("of 30 jobs each in time: %zu of the busy, %zu of the idle data "
              "centre\n",
              load.InTime("busy"),
              load.InTime("idle"));
  cr_expect_leq(load.InTime("idle"), load.InTime("busy") + 3);
  cr_expect_geq(load.InTime("idle"), load.InTime("busy"));
}

// With fair shares alone, the jobs of the group with less running work go first
// among those with the same latest start in seconds, and the others keep their
// order.
Test(OverloadOrder, SharesAloneDecideWithinASecond)
{
  const auto startsFirst = [](FeatureSwitch aShares, std::int64_t aLaterMs) {
    FleetWorld world(
      1, { 8000, 64000, 0 }, Bounds(FeatureSwitch::Off, aShares));
    world.Run(Millis(1500));
    const std::int64_t second = world.WallMs() / 1000 * 1000;
    JobDescription running = BatchJob("running", 8, "dc1");
    running.acceptedAtMs_ = second;
    world.Submit(running);
    world.Run(Millis(500));
    JobDescription earlier = BatchJob("earlier", 8, "dc1");
    earlier.acceptedAtMs_ = second;
    world.Submit(earlier);
    JobDescription later = BatchJob("later", 8, "dc2");
    later.acceptedAtMs_ = second + aLaterMs;
    world.Submit(later);
    world.Run(Millis(1300));
    return world.Starts("later.0.0.0") > 0 ? "later" : "earlier";
  };
  cr_expect_str_eq(startsFirst(FeatureSwitch::Off, 900), "earlier");
  cr_expect_str_eq(startsFirst(FeatureSwitch::On, 900), "later");
  cr_expect_str_eq(startsFirst(FeatureSwitch::On, 1000), "earlier");
}

// Prints the cost of placement passes with 300 ready steps.
Test(OverloadOrder, CostOfPlacementPasses)
{
  for (const FeatureSwitch on : { FeatureSwitch::Off, FeatureSwitch::On }) {
    Load load(Bounds(on, on));
    for (int i = 0; i < 320; ++i) {
      load.Submit(BatchJob("job" + std::to_string(i),
                           8,
                           "dc" + std::to_string(i % 4),
                           "host/queue" + std::to_string(i % 5) + "/"));
    }
    load.world_.Run(Millis(10));
    FleetScheduler& scheduler = load.world_.Scheduler();
    cr_assert_geq(scheduler.ReadyCount(), 300);
    constexpr int kPasses = 100;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 1; i <= kPasses; ++i) {
      scheduler.TakeOrders(load.world_.Now() + i * Millis(10),
                           load.world_.WallMs() + 10L * i);
    }
    const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - begin;
    std::printf("pass over %zu ready steps, features %s: %.0f us\n",
                scheduler.ReadyCount(),
                on == FeatureSwitch::On ? "on" : "off",
                took.count() / kPasses);
  }
}
