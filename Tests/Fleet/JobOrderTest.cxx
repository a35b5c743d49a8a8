#include "Process/JobOrder.h"
#include "FleetWorld.h"

#include <criterion/criterion.h>

#include <array>

using namespace cactusrail;

namespace {

/** Objective: 1 s plus twice the chain of 2 s, so 5 s; useful for 15 s. */
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

// Guards against a backlog of 10 s of work that delays new jobs in order of
// arrival. A new job is in time if it starts within 3 s, whereas the jobs at
// the head of the queue are late already and stay useful for seconds.
Test(JobOrder, JobThatCanBeInTimeGoesBeforeLateJob)
{
  const JobRank waited = RankAfter(0, 6000);
  const JobRank fresh = RankAfter(5500, 6000);
  cr_assert_lt(fresh, waited);
}

// A late job whose result soon loses its use goes before a job that has all of
// its time left.
Test(JobOrder, LateJobNearItsUseLimitGoesFirst)
{
  const JobRank almostOver = RankAfter(0, 12500);
  const JobRank fresh = RankAfter(12000, 12500);
  cr_assert_lt(almostOver, fresh);
}

// The result of an overdue job is no longer awaited, so the job goes after all
// others; overdue jobs go in order of arrival.
Test(JobOrder, OverdueJobsGoLastInOrderOfArrival)
{
  const JobRank overdue = RankAfter(0, 20000);
  const JobRank older = RankAfter(-1000, 20000);
  const JobRank fresh = RankAfter(20000, 20000);
  cr_assert_lt(fresh, overdue);
  cr_assert_lt(older, overdue);
}

// A deferred job goes after all jobs that can be in time, whatever their latest
// starts, and before jobs whose result is no longer awaited. Long-running tasks
// would keep the capacity that it needs.
Test(JobOrder, DeferredJobGoesAfterUsefulAndBeforeOtherWork)
{
  JobRank deferred = RankAfter(0, 1000);
  deferred.outlook_ = JobOutlook::Deferred;
  cr_assert_lt(RankAfter(900, 1000), deferred);
  for (const JobOutlook other : { JobOutlook::Restarting,
                                  JobOutlook::LongRunning,
                                  JobOutlook::Overdue }) {
    cr_assert_lt(deferred, (JobRank{ other, 0 }));
  }
}

// A step waits for the step before it, so the chain is the sum of both.
// Completed steps count as 0.
Test(JobOrder, ChainIsTheLongestRemainingPath)
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

// Checks the order in the scheduler: one worker with capacity for one task, a
// backlog of late jobs, and a new job that can be in time.
Test(JobOrder, NewJobIsPlacedBeforeTheBacklog)
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

// Guards against long-running watchers that take the capacity which another
// watcher frees, before urgent jobs. In order of arrival, no urgent job was in
// time for as long as the fleet was full.
Test(JobOrder, UrgentJobStartsBeforeWaitingWatchers)
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
