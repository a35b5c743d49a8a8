#include "FleetWorld.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <utility>

using namespace cactusrail;

namespace {

/** Longer than a leader waits for an unreachable host. */
constexpr Millis kAbandonTimeout{ 10500 };

std::string
FirstTask(const std::string& aJob)
{
  return aJob + ".0.0.0";
}

}

Test(FleetFailure, JobCompletes)
{
  FleetWorld world(3);
  world.Run(Millis(1500));
  world.Submit(MakeJob("a", 6, 1000));
  world.Run(Millis(400));
  cr_assert_eq(world.StateOf("a"), JobState::Running);
  world.Run(Millis(2000));
  cr_assert_eq(world.StateOf("a"), JobState::Completed);
  cr_assert_eq(world.MaxConcurrentRuns(), 1);
}

Test(FleetFailure, StepsWaitForTheirDependencies)
{
  FleetWorld world(3);
  world.Run(Millis(1500));
  JobDescription job = MakeJob("a", 2, 1000);
  job.steps_.push_back(job.steps_.front());
  job.steps_.back().after_ = { 0 };
  world.Submit(job);
  world.Run(Millis(700));
  cr_assert_eq(world.Starts("a.0.0.0"), 1);
  cr_assert_eq(world.Starts("a.0.1.0"), 0);
  world.Run(Millis(2000));
  cr_assert_eq(world.StateOf("a"), JobState::Completed);
}

// Guards against two simultaneous runs of a task: while a stopped run winds
// down, its worker lists it neither as running nor as ended. The side reported
// the run as gone and the leader started the task elsewhere; for half a second
// it ran twice.
Test(FleetFailure, StoppedRunIsNotStartedElsewhereBeforeItEnded)
{
  FleetWorld world(2, { 1000, 64000, 0 });
  world.Run(Millis(1500));
  JobDescription batch = MakeJob("batch", 2, 1000);
  batch.priority_ = 2;
  world.Submit(batch);
  world.Host(0).worker_.taskTime_ = Millis(10000);
  world.Host(1).worker_.taskTime_ = Millis(10000);
  world.Run(Millis(500));
  JobDescription urgent = MakeJob("urgent", 1, 1000);
  world.Submit(urgent);
  world.Run(Millis(400));
  cr_assert_eq(world.Starts(FirstTask("urgent")),
               0,
               "the stopped run still holds its room");
  world.Run(Millis(1500));
  cr_assert_eq(world.Starts(FirstTask("urgent")), 1);
  cr_assert_eq(world.MaxConcurrentRuns(), 1);
  cr_assert_not(world.EverOverCapacity());
}

// Guards against an overloaded worker after a restart of its side. The side's
// process dies right after it sent a stop to its worker, and its next
// incarnation polls the worker before the stop is complete. The run is not
// listed, so its resources were given to another task.
Test(FleetFailure, RestartedSideWaitsForStopsOfItsPreviousIncarnation)
{
  FleetWorld world(2, { 1000, 64000, 0 });
  world.Run(Millis(1500));
  JobDescription batch = MakeJob("batch", 2, 1000);
  batch.priority_ = 2;
  world.Submit(batch);
  for (std::size_t i = 0; i < 2; ++i) {
    world.Host(i).worker_.taskTime_ = Millis(10000);
  }
  world.Run(Millis(300));
  world.Submit(MakeJob("urgent", 2, 1000));
  world.Run(Millis(30));
  world.RestartSide(0);
  world.RestartSide(1);
  world.Run(Millis(3000));
  cr_assert_not(world.EverOverCapacity());
  cr_assert_eq(world.MaxConcurrentRuns(), 1);
  cr_assert_eq(world.Starts(FirstTask("urgent")), 1);
}

// Guards against a double payout and a lost one when a host is cut off: the
// task starts elsewhere, but only after its lease on that host has certainly
// expired.
Test(FleetFailure, TaskOfAnUnreachableHostStartsElsewhereAfterItsLease)
{
  FleetWorld world(2);
  world.Run(Millis(1500));
  world.Host(0).worker_.taskTime_ = Millis(60000);
  world.Host(1).worker_.taskTime_ = Millis(60000);
  world.Submit(MakeJob("payout", 1, 16000));
  world.Run(Millis(300));
  const std::size_t holder = world.Host(0).worker_.runs_.empty() ? 1 : 0;
  world.Cut(holder, true);
  world.Run(Millis(3000));
  cr_assert_eq(world.Starts(FirstTask("payout")),
               1,
               "the task may still run on the unreachable host");
  world.Run(kAbandonTimeout);
  cr_assert_eq(world.Starts(FirstTask("payout")), 2);
  cr_assert_eq(world.MaxConcurrentRuns(), 1);
}

// A short cut must not end the run: the side keeps it during the cut.
Test(FleetFailure, TaskSurvivesAShortCut)
{
  FleetWorld world(2);
  world.Run(Millis(1500));
  world.Host(0).worker_.taskTime_ = Millis(7000);
  world.Host(1).worker_.taskTime_ = Millis(7000);
  world.Submit(MakeJob("payout", 1, 16000));
  world.Run(Millis(300));
  world.Cut(0, true);
  world.Cut(1, true);
  world.Run(Millis(5500));
  world.Cut(0, false);
  world.Cut(1, false);
  world.Run(Millis(4000));
  cr_assert_eq(world.StateOf("payout"), JobState::Completed);
  cr_assert_eq(world.Starts(FirstTask("payout")), 1);
}

// The leader dies; the next leader adopts all runs unchanged.
Test(FleetFailure, NewLeaderAdoptsRuns)
{
  FleetWorld world(3);
  world.Run(Millis(1500));
  world.Submit(MakeJob("a", 6, 1000));
  world.Run(Millis(500));
  world.ChangeLeader();
  world.Run(Millis(3000));
  cr_assert_eq(world.StateOf("a"), JobState::Completed);
  for (std::uint32_t i = 0; i < 6; ++i) {
    cr_assert_eq(world.Starts("a.0.0." + std::to_string(i)), 1);
  }
}

// The leader dies and one host is unreachable. A task that is unknown to the
// new leader may run there: old work waits, new work does not.
Test(FleetFailure, NewLeaderStartsNoOldWorkBeforeAllHostsReported)
{
  FleetWorld world(2, { 1000, 64000, 0 });
  world.Run(Millis(1500));
  world.Host(0).worker_.taskTime_ = Millis(60000);
  world.Host(1).worker_.taskTime_ = Millis(60000);
  world.Submit(MakeJob("old", 1, 1000));
  world.Run(Millis(300));
  const std::size_t holder = world.Host(0).worker_.runs_.empty() ? 1 : 0;
  world.Cut(holder, true);
  world.ChangeLeader();
  world.Run(Millis(1000));
  cr_assert_eq(world.Starts(FirstTask("old")), 1);
  world.Submit(MakeJob("fresh", 1, 1000));
  world.Run(Millis(500));
  cr_assert_eq(world.Starts(FirstTask("fresh")), 1);
  world.Run(kAbandonTimeout);
  cr_assert_eq(world.MaxConcurrentRuns(), 1);
}

// Old work waits for an unreachable host. The log must name the host while
// nothing starts, and not only nine seconds later when the host is abandoned.
Test(FleetFailure, LogNamesHostsThatDeferOldWork)
{
  FleetWorld world(3);
  world.Run(Millis(1500));
  world.Cut(1, true);
  world.ChangeLeader();
  world.Run(Millis(2500));
  cr_assert_eq(world.EventDetails("old-work-waits"),
               "no report yet from: side1; ");
  cr_assert_eq(world.EventDetails("old-work-goes-on"), "");
  world.Run(kAbandonTimeout);
  cr_assert_neq(world.EventDetails("old-work-goes-on"), "");
}

// Guards against a second run of a payout: the table is unavailable when the
// task ends, and the leader dies before the end is stored. The worker must
// still list the end for the next leader.
Test(FleetFailure, EndIsAcknowledgedOnlyOnceItIsStored)
{
  FleetWorld world(1);
  world.Run(Millis(1500));
  world.Submit(MakeJob("payout", 1, 1000));
  world.Run(Millis(300));
  world.storeUnavailable_ = true;
  world.Run(Millis(2000));
  cr_assert_neq(world.StateOf("payout"), JobState::Completed);
  cr_assert_eq(world.Host(0).worker_.acknowledged_, 0);
  world.ChangeLeader();
  world.storeUnavailable_ = false;
  world.Run(Millis(2000));
  cr_assert_eq(world.StateOf("payout"), JobState::Completed);
  cr_assert_eq(world.Starts(FirstTask("payout")), 1);
  cr_assert_eq(world.Host(0).worker_.acknowledged_, 1);
}

// A worker crashes and restarts at the same address: its runs are lost.
Test(FleetFailure, TaskOfACrashedWorkerRestarts)
{
  FleetWorld world(1);
  world.Run(Millis(1500));
  world.Submit(MakeJob("a", 1, 1000));
  world.Run(Millis(300));
  world.Host(0).worker_.Crash("w0-2");
  world.Run(Millis(3000));
  cr_assert_eq(world.StateOf("a"), JobState::Completed);
  cr_assert_eq(world.Starts(FirstTask("a")), 2);
}

// A task that fails on every worker must not be retried forever; a task that
// fails on a bad worker gets its second attempt elsewhere.
Test(FleetFailure, JobFailsAfterItsLastAttempt)
{
  FleetWorld world(3);
  world.Run(Millis(1500));
  for (std::size_t i = 0; i < 3; ++i) {
    world.Host(i).worker_.failsRuns_ = true;
  }
  world.Submit(MakeJob("a", 1, 1000));
  world.Run(Millis(4000));
  cr_assert_eq(world.StateOf("a"), JobState::Failed);
  cr_assert_eq(world.Starts(FirstTask("a")), 2);
}

Test(FleetFailure, SecondAttemptGoesToAnotherWorker)
{
  FleetWorld world(2);
  world.Run(Millis(1500));
  world.Host(0).worker_.failsRuns_ = true;
  for (int i = 0; i < 4; ++i) {
    world.Submit(MakeJob("job" + std::to_string(i), 1, 1000));
    world.Run(Millis(50));
  }
  world.Run(Millis(4000));
  for (int i = 0; i < 4; ++i) {
    cr_assert_eq(world.StateOf("job" + std::to_string(i)), JobState::Completed);
  }
}

// The number of failed runs survives a change of the leader. An end that is
// reported twice counts once; otherwise a good job would fail too early.
Test(FleetFailure, FailedRunCountsOnceAcrossLeaders)
{
  FleetWorld world(1);
  world.Run(Millis(1500));
  JobDescription job = MakeJob("a", 1, 1000);
  job.maxAttempts_ = 3;
  world.Submit(job);
  world.Host(0).worker_.failsRuns_ = true;
  world.Run(Millis(1150));
  world.ChangeLeader();
  world.Run(Millis(300));
  world.Host(0).worker_.failsRuns_ = false;
  world.Run(Millis(4000));
  cr_assert_eq(world.StateOf("a"), JobState::Completed);
}

Test(FleetFailure, CancelledJobIsStoppedAndStartsNothing)
{
  FleetWorld world(1, { 1000, 64000, 0 });
  world.Run(Millis(1500));
  world.Host(0).worker_.taskTime_ = Millis(60000);
  world.Submit(MakeJob("a", 3, 1000));
  world.Run(Millis(300));
  world.Cancel("a");
  world.Run(Millis(1500));
  cr_assert_eq(world.StateOf("a"), JobState::Cancelled);
  cr_assert(world.Host(0).worker_.runs_.empty());
  cr_assert_eq(world.Starts("a.0.0.1") + world.Starts("a.0.0.2"), 0);
}

// Guards against a cancelled job that becomes unknown: its leader dies before
// the end of the job is stored. The next leader reads the cancellation first;
// without the wall-clock time it considered the retention of the job over and
// deleted it, and the caller got "no such job".
Test(FleetFailure, JobCancelledBeforeATakeoverStaysKnown)
{
  FleetWorld world(1);
  world.Run(Millis(1500));
  world.Submit(MakeJob("a", 1, 1000));
  world.storeUnavailable_ = true;
  world.Cancel("a");
  world.ChangeLeader();
  world.storeUnavailable_ = false;
  world.Run(Millis(1500));
  const auto state = world.Scheduler().StateOf("a");
  cr_assert(state.has_value());
  cr_assert_eq(*state, JobState::Cancelled);
}

// A caller cancels so early that the cancellation arrives before the job.
Test(FleetFailure, CancellationMayComeBeforeItsJob)
{
  FleetWorld world(1);
  world.Run(Millis(1500));
  world.Cancel("a");
  world.Submit(MakeJob("a", 1, 1000));
  world.Run(Millis(1000));
  cr_assert_eq(world.StateOf("a"), JobState::Cancelled);
  cr_assert_eq(world.Starts(FirstTask("a")), 0);
}

Test(FleetFailure, LongRunningTaskRestartsAfterEachFailure)
{
  FleetWorld world(2);
  world.Run(Millis(1500));
  JobDescription job = MakeJob("watch", 1, 1000);
  job.steps_.front().longRunning_ = true;
  world.Submit(job);
  world.Host(0).worker_.failsRuns_ = true;
  world.Run(Millis(6000));
  cr_assert_eq(world.StateOf("watch"), JobState::Running);
  cr_assert_geq(world.Starts(FirstTask("watch")), 4);
  cr_assert_eq(world.MaxConcurrentRuns(), 1);
}

// Guards against a downtime beside an empty worker: a worker failed all its
// runs and was cordoned. Its fault is over but the cordon still holds, and all
// other workers are full. The watcher's downtime was twenty seconds.
Test(FleetFailure, LongRunningTaskUsesACordonedWorkerWhenOthersAreFull)
{
  FleetWorld world(2, { 2000, 64000, 0 });
  world.Run(Millis(1500));
  world.Host(0).worker_.failsRuns_ = true;
  world.Host(0).worker_.taskTime_ = Millis(20);
  world.Host(1).worker_.taskTime_ = Millis(60000);
  for (int i = 0; i < 6; ++i) {
    JobDescription job = MakeJob("job" + std::to_string(i), 1, 600);
    job.maxAttempts_ = 9;
    world.Submit(job);
    world.Run(Millis(200));
  }
  world.Host(0).worker_.failsRuns_ = false;
  world.Host(0).worker_.taskTime_ = Millis(60000);
  JobDescription watch = MakeJob("watch", 1, 2000);
  watch.steps_.front().longRunning_ = true;
  world.Submit(watch);
  world.Run(Millis(1000));
  cr_assert_geq(world.Starts(FirstTask("watch")), 1);
}

Test(FleetFailure, WorkerCapacityIsNeverExceeded)
{
  FleetWorld world(2, { 4000, 64000, 0 });
  world.Run(Millis(1500));
  world.Submit(MakeJob("a", 20, 1500));
  world.Run(Millis(14000));
  cr_assert_eq(world.StateOf("a"), JobState::Completed);
  cr_assert_not(world.EverOverCapacity());
}

Test(FleetFailure, GangStartsTogetherOrNotAtAll)
{
  FleetWorld world(2, { 2000, 64000, 0 });
  world.Run(Millis(1500));
  JobDescription gang = MakeJob("gang", 3, 2000);
  gang.steps_.front().gang_ = true;
  world.Submit(gang);
  world.Run(Millis(2000));
  cr_assert_eq(world.Starts("gang.0.0.0"),
               0,
               "two workers have capacity for only two members");
  JobDescription fits = MakeJob("fits", 2, 2000);
  fits.steps_.front().gang_ = true;
  world.Submit(fits);
  world.Run(Millis(2000));
  cr_assert_eq(world.StateOf("fits"), JobState::Completed);
  cr_assert_eq(world.Host(0).worker_.started_.size() +
                 world.Host(1).worker_.started_.size(),
               2);
}

Test(FleetFailure, TimedJobRunsOncePerOccurrenceAndNotEarlier)
{
  FleetWorld world(1);
  world.Run(Millis(1500));
  JobDescription job = MakeJob("timed", 1, 1000);
  job.occurrences_ = 3;
  // The wall clock is ahead of the other clock by a fixed amount.
  job.startAtMs_ = 1700000000000 + 1000000 + 3500;
  job.intervalMs_ = 2000;
  world.Submit(job);
  world.Run(Millis(1900));
  cr_assert_eq(world.Starts("timed.0.0.0"), 0);
  world.Run(Millis(8000));
  cr_assert_eq(world.StateOf("timed"), JobState::Completed);
  for (int k = 0; k < 3; ++k) {
    cr_assert_eq(world.Starts("timed." + std::to_string(k) + ".0.0"), 1);
  }
}

Test(FleetFailure, WaitingCountsJobsOfAQueueThatNeverStarted)
{
  FleetWorld world(1, { 1000, 64000, 0 });
  world.Run(Millis(1500));
  world.Submit(MakeJob("a", 1, 1000));
  world.Submit(MakeJob("b", 1, 1000));
  world.Submit(MakeJob("c", 1, 1000));
  world.Run(Millis(200));
  cr_assert_eq(world.Scheduler().Waiting("host/queue/"), 2);
  cr_assert_eq(world.Scheduler().Waiting("other/"), 0);
}

namespace {

/** Returns a leader of that epoch with one side that has reported. */
FleetScheduler
LeaderWithOneSide(std::uint64_t aEpoch, Instant aNow)
{
  FleetScheduler scheduler(aEpoch, FleetBounds(), kWallMs);
  scheduler.OnTableCurrent(aNow);
  scheduler.OnEvacuations({ {}, aNow });
  scheduler.OnSideRegistered("side", aNow);
  scheduler.OnLoaded(aNow, kWallMs);
  scheduler.OnLinkUp("side", aNow);
  scheduler.OnReport("side", IdleReport(aNow), aNow);
  return scheduler;
}

}

// Guards against two runs of a task after a link is restored. Until the first
// report the leader knows neither which orders arrived nor whether the side has
// a new incarnation. An order would extend leases of runs that may be abandoned
// already.
Test(FleetFailure, NothingIsOrderedBeforeTheFirstReportOfALink)
{
  const Instant now = At(100000);
  FleetScheduler scheduler = LeaderWithOneSide(1, now);
  scheduler.OnJobStored(MakeJob("a", 1, 1000), now);
  cr_assert_eq(scheduler.TakeOrders(now, kWallMs).size(), 1);
  scheduler.OnLinkLost("side", now + Millis(100));
  scheduler.OnLinkUp("side", now + Millis(200));
  scheduler.OnCancelStored("a", now + Millis(300));
  cr_assert(scheduler.TakeOrders(now + Millis(2000), kWallMs).empty());
  scheduler.OnReport(
    "side", IdleReport(now + Millis(2100)), now + Millis(2100));
  cr_assert_eq(scheduler.TakeOrders(now + Millis(2200), kWallMs).size(), 1);
}

// A leader dies with a start in flight whose outcome is unknown. If the next
// leader numbered the runs of the task from one again, it would take the late
// start for its own, and a stop of one run would end the other.
Test(FleetFailure, RunsOfALaterLeaderHaveHigherNumbers)
{
  const Instant now = At(100000);
  std::uint32_t last = 0;
  for (const std::uint64_t epoch : { 1, 2, 3 }) {
    FleetScheduler scheduler = LeaderWithOneSide(epoch, now);
    scheduler.OnJobStored(MakeJob("a", 1, 1000), now);
    const auto orders = scheduler.TakeOrders(now, kWallMs);
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].orders_.starts_.size(), 1);
    const std::uint32_t run = orders[0].orders_.starts_[0].run_;
    // More than the number of attempts of any task under one leader.
    cr_assert_gt(run, last + 1000 * (epoch > 1 ? 1 : 0));
    last = run;
  }
}

// Guards against a second run of a completed task: its end was acknowledged
// because its job had failed, and a power loss followed before the failure was
// stored.
Test(FleetFailure, EndOfAFailedJobIsAcknowledgedOnlyOnceTheFailureIsStored)
{
  FleetWorld world(2);
  world.Run(Millis(1500));
  JobDescription job = MakeJob("job", 2, 10000);
  job.maxAttempts_ = 1;
  world.Submit(job);
  world.Run(Millis(500));
  WorkerFake& failing = world.Host(0).worker_;
  WorkerFake& ending = world.Host(1).worker_;
  cr_assert_eq(failing.runs_.size(), 1);
  cr_assert_eq(ending.runs_.size(), 1);
  const std::string done = ending.runs_.front().task_;
  world.storeUnavailable_ = true;
  world.Run(std::chrono::duration_cast<Millis>(ending.runs_.front().endsAt_ -
                                               world.Now()) -
            Millis(10));
  failing.FailRun(failing.runs_.front().task_);
  world.Run(Millis(1000));
  cr_assert_eq(ending.RunsOf(done), 0);
  cr_assert_eq(ending.acknowledged_, 0);
  world.ChangeLeader();
  world.storeUnavailable_ = false;
  world.Run(Millis(2000));
  cr_assert_eq(world.Starts(done), 1);
  cr_assert_eq(ending.acknowledged_, 1);
}

namespace {

/** What happens to the host of a run that has just failed. */
enum class FailingHost : std::uint8_t
{
  Stays,
  WorkerCrashes,
  IsCut,
  IsCutForLong,
  SideRestarts,
};

/**
 * Lets one task of a job fail for the last time in the moment in which the
 * other one is done, while the store is away.
 */
void
LoseFailureOfAJob(FleetWorld& aWorld, FailingHost aHost, bool aLeaderLost)
{
  aWorld.Run(Millis(1500));
  JobDescription job = MakeJob("job", 2, 10000);
  job.maxAttempts_ = 1;
  aWorld.Submit(job);
  aWorld.Run(Millis(500));
  WorkerFake& failing = aWorld.Host(0).worker_;
  WorkerFake& ending = aWorld.Host(1).worker_;
  cr_assert_eq(failing.runs_.size(), 1);
  cr_assert_eq(ending.runs_.size(), 1);
  aWorld.storeUnavailable_ = true;
  aWorld.Run(std::chrono::duration_cast<Millis>(ending.runs_.front().endsAt_ -
                                                aWorld.Now()) -
             Millis(10));
  failing.FailRun(failing.runs_.front().task_);
  aWorld.Run(Millis(1000));
  cr_assert(ending.runs_.empty());
  switch (aHost) {
    case FailingHost::Stays:
      break;
    case FailingHost::WorkerCrashes:
      failing.Crash("w0-2");
      break;
    case FailingHost::IsCut:
    case FailingHost::IsCutForLong:
      aWorld.Cut(0, true);
      break;
    case FailingHost::SideRestarts:
      aWorld.RestartSide(0);
      break;
  }
  if (aLeaderLost) {
    aWorld.LoseLeader();
    aWorld.Run(Millis(300));
    aWorld.ChangeLeader();
  }
  aWorld.storeUnavailable_ = false;
  aWorld.Run(Millis(3000));
  if (aHost == FailingHost::IsCut) {
    aWorld.Cut(0, false);
  }
  aWorld.Run(kAbandonTimeout);
}

}

// Guards against a second start of a completed task: its end was acknowledged
// because its job had failed, and the failure was lost with the leader and the
// worker that had reported it.
Test(FleetFailure, CompletedTaskStaysCompletedWhenItsJobsFailureIsLost)
{
  for (const FailingHost host :
       { FailingHost::WorkerCrashes, FailingHost::IsCutForLong }) {
    FleetWorld world(2);
    LoseFailureOfAJob(world, host, true);
    cr_expect_eq(world.StartsAfterAcknowledgedEnd(),
                 0,
                 "case %d started again: %s",
                 static_cast<int>(host),
                 world.StartedAfterAcknowledgedEnd().c_str());
  }
}

// Guards against a second start of a completed task if the leader or the worker
// still knows of the failure of its job.
Test(FleetFailure, CompletedTaskStaysCompletedWhenItsJobsFailureIsKept)
{
  for (const auto& [host, leaderLost] :
       { std::pair(FailingHost::WorkerCrashes, false),
         std::pair(FailingHost::IsCutForLong, false),
         std::pair(FailingHost::Stays, true),
         std::pair(FailingHost::IsCut, true),
         std::pair(FailingHost::SideRestarts, true) }) {
    FleetWorld world(2);
    LoseFailureOfAJob(world, host, leaderLost);
    cr_expect_eq(world.StartsAfterAcknowledgedEnd(),
                 0,
                 "case %d started again: %s",
                 static_cast<int>(host),
                 world.StartedAfterAcknowledgedEnd().c_str());
  }
}

// Guards against completed occurrences that start again under a new leader.
Test(FleetFailure, CompletedOccurrenceStaysCompletedAfterAChangeOfLeader)
{
  FleetWorld world(1);
  world.Run(Millis(1500));
  JobDescription job = MakeJob("timed", 1, 1000);
  job.occurrences_ = 2;
  job.startAtMs_ = world.WallMs() + 500;
  job.intervalMs_ = 6000;
  world.Submit(job);
  world.Run(Millis(3000));
  cr_assert_eq(world.Starts("timed.0.0.0"), 1);
  cr_assert_eq(world.Host(0).worker_.acknowledged_, 1);
  world.ChangeLeader();
  world.Run(Millis(6000));
  cr_expect_eq(world.Starts("timed.0.0.0"), 1);
  cr_expect_eq(world.Starts("timed.1.0.0"), 1);
  cr_expect_eq(world.StateOf("timed"), JobState::Completed);
}
