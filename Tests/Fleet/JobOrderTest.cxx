#include "Process/JobOrder.h"
#include "FleetWorld.h"

#include <criterion/criterion.h>

#include <array>

using namespace cactusrail;

namespace {

/** Objective: 1 s and twice the chain of 2 s, so 5 s; of use for 15 s. */
JobDescription
BatchJob()
{
  JobDescription job = MakeJob("batch", 1, 1000);
  job.stretch_ = 2;
  job.latencyObjectiveMs_ = 1000;
  return job;
}

JobRank
RankAfter(std::int64_t aDueMs, std::int64_t aNowMs)
{
  return RankOf(BatchJob(), { aDueMs, 2000, 2000 }, aNowMs);
}

}

// Ten seconds of work have piled up. A payout handed in now would be in time if
// it started within three seconds; those at the head of the queue are late
// already, and still of use for seconds. In order of arrival all are late.
Test(JobOrder, WhatIsLateLetsThatPassWhichCanBeInTime)
{
  const JobRank waited = RankAfter(0, 6000);
  const JobRank fresh = RankAfter(5500, 6000);
  cr_assert_lt(fresh, waited);
}

// A late job that would soon be of no use to anybody goes before one that has
// all of its time left.
Test(JobOrder, LateJobGoesWhileItIsStillOfUse)
{
  const JobRank almostOver = RankAfter(0, 12500);
  const JobRank fresh = RankAfter(12000, 12500);
  cr_assert_lt(almostOver, fresh);
}

// Nobody waits for the answer of an overdue job any more: it runs when all else
// does, among its like in order of arrival.
Test(JobOrder, OverdueJobsGoLastInOrderOfArrival)
{
  const JobRank overdue = RankAfter(0, 20000);
  const JobRank older = RankAfter(-1000, 20000);
  const JobRank fresh = RankAfter(20000, 20000);
  cr_assert_lt(fresh, overdue);
  cr_assert_lt(older, overdue);
}

// A step after another waits for it: the chain is their sum, and steps that are
// done count nothing.
Test(JobOrder, ChainIsTheLongestPathOfWhatIsLeft)
{
  JobDescription job = BatchJob();
  job.steps_.push_back(job.steps_.front());
  job.steps_.push_back(job.steps_.front());
  job.steps_[1].after_ = { 0 };
  const std::array<double, 3> all{ 1000, 1000, 1500 };
  cr_assert_float_eq(ChainMillis(job.steps_, all), 2000, 0.1);
  const std::array<double, 3> firstDone{ 0, 1000, 1500 };
  cr_assert_float_eq(ChainMillis(job.steps_, firstDone), 1500, 0.1);
}

// The scheduler itself: one worker with room for one task, a backlog of late
// jobs, and a fresh one that can be in time.
Test(JobOrder, FreshJobIsPlacedBeforeTheBacklog)
{
  FleetWorld world(1, { 1000, 64000, 0 });
  world.Run(Millis(1500));
  for (int i = 0; i < 20; ++i) {
    JobDescription job = BatchJob();
    job.id_ = "late" + std::to_string(i);
    job.acceptedAtMs_ = world.WallMs() - 5500;
    world.Submit(job);
  }
  JobDescription fresh = BatchJob();
  fresh.id_ = "fresh";
  fresh.acceptedAtMs_ = world.WallMs();
  world.Submit(fresh);
  world.Run(Millis(1900));
  cr_assert_eq(world.StateOf("fresh"), JobState::Completed);
}

// All workers are full of watchers, and more wait. When one ends, valuations
// that a clerk waits for take the room; in order of arrival the watchers took
// it, and no valuation was in time for as long as the fleet was full.
Test(JobOrder, UrgentWorkTakesTheRoomThatAWatcherLeaves)
{
  FleetWorld world(1, { 10000, 64000, 0 });
  world.Run(Millis(1500));
  for (int i = 0; i < 3; ++i) {
    JobDescription watcher = MakeJob("watcher" + std::to_string(i), 1, 10000);
    watcher.steps_.front().longRunning_ = true;
    watcher.acceptedAtMs_ = world.WallMs() - 10000 + i;
    world.Submit(watcher);
  }
  world.Run(Millis(200));
  cr_assert_eq(world.Starts("watcher0.0.0.0"), 1);
  JobDescription urgent = MakeJob("urgent", 6, 1600);
  urgent.stretch_ = 2;
  urgent.latencyObjectiveMs_ = 1000;
  urgent.acceptedAtMs_ = world.WallMs();
  world.Submit(urgent);
  world.Run(Millis(300));
  world.Cancel("watcher0");
  world.Run(Millis(2500));
  cr_assert_eq(world.StateOf("urgent"), JobState::Completed);
  cr_assert_eq(world.Starts("watcher1.0.0.0"), 1);
}
