#include "FleetWorld.h"

#include <criterion/criterion.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace cactusrail;

namespace {

/** Returns a job of one gang with two members. */
JobDescription
MakeGang(const std::string& aId)
{
  JobDescription job = MakeJob(aId, 2, 10000);
  job.steps_.front().gang_ = true;
  return job;
}

/** Runs the world until the current run of a task has ended on the worker. */
void
RunUntilEnd(FleetWorld& aWorld, std::size_t aHost)
{
  const WorkerFake& worker = aWorld.Host(aHost).worker_;
  cr_assert_eq(worker.runs_.size(), 1);
  aWorld.Run(std::chrono::duration_cast<Millis>(worker.runs_.front().endsAt_ -
                                                aWorld.Now()));
}

}

// Guards against a completed gang that starts again under the next leader.
Test(RunEnd, EndOfACompletedOccurrenceIsAcknowledgedOnlyOnceItIsStored)
{
  FleetWorld world(2);
  world.Run(Millis(1500));
  JobDescription job = MakeGang("job");
  job.occurrences_ = 2;
  job.startAtMs_ = world.WallMs();
  job.intervalMs_ = 60000;
  world.Submit(job);
  world.Run(Millis(500));
  world.storeUnavailable_ = true;
  RunUntilEnd(world, 0);
  world.Run(Millis(1000));
  const std::uint64_t acknowledged = world.Host(1).worker_.acknowledged_;
  world.LoseLeader();
  world.Host(0).worker_.Crash("w0-2");
  world.storeUnavailable_ = false;
  world.ChangeLeader();
  world.Run(Millis(5000));
  cr_assert_eq(world.Starts("job.0.0.0"), 1);
  cr_assert_eq(world.Starts("job.0.0.1"), 1);
  cr_assert_eq(acknowledged, 0);
  cr_assert_eq(world.Host(1).worker_.acknowledged_, 1);
}

// Guards against a timed task that runs twice as a leader's clock is behind.
Test(RunEnd, EndOfAnOccurrenceThatIsNotDueIsStored)
{
  FleetWorld world(1);
  world.Run(Millis(1500));
  JobDescription job = MakeJob("job", 1, 1000);
  job.occurrences_ = 2;
  job.startAtMs_ = world.WallMs() + 500;
  job.intervalMs_ = 60000;
  world.Submit(job);
  world.Run(Millis(1000));
  world.LoseLeader();
  world.Run(Millis(1000));
  cr_assert_eq(world.Host(0).worker_.ends_.size(), 1);
  world.clockOffset_ = Millis(-10000);
  world.ChangeLeader();
  world.Run(Millis(15000));
  cr_assert_eq(world.Starts("job.0.0.0"), 1);
  cr_assert_eq(world.Host(0).worker_.acknowledged_, 1);
}

// Guards against a gang that never ends after a member and a leader are lost.
Test(RunEnd, GangIsDoneByTheEndOfOneMemberUnderTheNextLeader)
{
  FleetWorld world(2);
  world.Run(Millis(1500));
  world.Submit(MakeGang("job"));
  world.Run(Millis(500));
  world.LoseLeader();
  RunUntilEnd(world, 0);
  world.Host(1).worker_.Crash("w1-2");
  world.ChangeLeader();
  world.Run(Millis(20000));
  cr_assert_eq(world.StateOf("job"), JobState::Completed);
  cr_assert_eq(world.Starts("job.0.0.0"), 1);
  cr_assert_eq(world.Starts("job.0.0.1"), 1);
}

// Guards against a gang that never ends because one member was stored as done.
Test(RunEnd, GangWithOneStoredMemberIsDone)
{
  FleetWorld world(2);
  world.Run(Millis(1500));
  StepProgress step;
  step.done_ = { 1 };
  JobProgress progress;
  progress.state_ = JobState::Running;
  progress.steps_.push_back(step);
  FleetJob job(MakeGang("job"), 1);
  job.BeginDue(kWallMs, world.Now());
  job.Restore(progress, world.Now());
  cr_assert(job.AllDone());
}

// Guards against tasks that start before they are due because an earlier
// leader, whose clock was ahead, had started another task of their occurrence.
Test(RunEnd, OnlyReportedTasksOfAnOccurrenceThatIsNotDueHaveBegun)
{
  FleetWorld world(1, { 1000, 64000, 0 });
  world.Run(Millis(1500));
  JobDescription job = MakeJob("job", 2, 1000);
  job.occurrences_ = 1;
  job.startAtMs_ = world.WallMs() + 20000;
  world.clockOffset_ = Millis(20000);
  world.Submit(job);
  world.Run(Millis(500));
  world.LoseLeader();
  cr_assert_eq(world.Starts("job.0.0.0") + world.Starts("job.0.0.1"), 1);
  world.clockOffset_ = Millis(0);
  world.ChangeLeader();
  world.Run(Millis(5000));
  cr_assert_eq(world.Starts("job.0.0.0") + world.Starts("job.0.0.1"), 1);
}
