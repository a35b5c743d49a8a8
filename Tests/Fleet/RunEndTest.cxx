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

// Guards against tasks that start early because another one had been reported.
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

// Guards against an end that is acknowledged while a write is in flight.
Test(RunEnd, EndWaitsForTheBatchInFlight)
{
  const Instant now = At(1000000);
  FleetScheduler scheduler(1, FleetBounds(), kWallMs);
  scheduler.OnTableCurrent(now);
  scheduler.OnEvacuations({ {}, now });
  const std::vector<std::string> sides{ "side0", "side1" };
  std::vector<FleetReport> reports;
  for (const std::string& side : sides) {
    scheduler.OnSideRegistered(side, now);
  }
  scheduler.OnLoaded(now, kWallMs);
  for (const std::string& side : sides) {
    reports.push_back(IdleReport(now));
    reports.back().worker_.id_ = "worker of " + side;
    scheduler.OnLinkUp(side, now);
    scheduler.OnReport(side, reports.back(), now);
  }
  JobDescription job = MakeJob("job", 2, 10000);
  job.maxAttempts_ = 1;
  scheduler.OnJobStored(job, now);
  std::map<std::string, StartOrder> starts;
  for (const SideOrders& orders : scheduler.TakeOrders(now, kWallMs)) {
    cr_assert_eq(orders.orders_.starts_.size(), 1);
    starts[orders.node_] = orders.orders_.starts_.front();
  }
  cr_assert_eq(starts.size(), 2);
  const auto end = [&](std::size_t aSide, EndKind aKind) {
    const StartOrder& start = starts.at(sides[aSide]);
    reports[aSide].ends_ = { { 1, start.task_, start.run_, aKind, {} } };
    scheduler.OnReport(sides[aSide], reports[aSide], now);
  };
  end(0, EndKind::Failed);
  const std::optional<ProgressBatch> batch = scheduler.TakeBatch();
  cr_assert(batch.has_value());
  end(1, EndKind::Done);
  cr_assert_eq(scheduler.Workers().at("side1").endsStored_, 0);
  scheduler.OnBatchStored(batch->number_, now);
  cr_assert_eq(scheduler.Workers().at("side1").endsStored_, 1);
}
