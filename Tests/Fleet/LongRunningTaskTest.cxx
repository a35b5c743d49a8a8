#include "FleetWorld.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>
#include <string>
#include <vector>

using namespace cactusrail;

namespace {

/**
 * Longest downtime of a long-running task after the end of a run that users
 * accept, where there is capacity for the task.
 */
constexpr Millis kMaxDowntime{ 6000 };

constexpr const char* kWatched = "watch.0.0.0";

JobDescription
Watcher(const std::string& aId, std::uint32_t aTasks, std::int64_t aCpuMilli)
{
  JobDescription job = MakeJob(aId, aTasks, aCpuMilli);
  job.steps_.front().longRunning_ = true;
  return job;
}

JobDescription
Quote(int aNumber, std::int64_t aAcceptedAtMs)
{
  JobDescription job = MakeJob("quote" + std::to_string(aNumber), 4, 1700);
  job.stretch_ = 1.5;
  job.latencyObjectiveMs_ = 250;
  job.acceptedAtMs_ = aAcceptedAtMs;
  return job;
}

/** Fleet for which callers submit more quotes than it has capacity for. */
class BusyFleet
{
public:
  BusyFleet(std::size_t aHosts, std::int64_t aCpuMilli)
    : world_(aHosts, { aCpuMilli, 512000, 0 })
  {
    world_.Run(Millis(1500));
    for (std::size_t host = 0; host < aHosts; ++host) {
      WorkerFake& worker = world_.Host(host).worker_;
      worker.taskTime_ = Millis(640);
      worker.lasting_ = { "watch", "other" };
    }
  }

  /** Submits aQuotesASecond quotes per second at regular intervals. */
  void Run(Millis aFor, int aQuotesASecond)
  {
    const Millis apart(1000 / aQuotesASecond);
    const Instant until = world_.Now() + aFor;
    while (world_.Now() < until) {
      world_.Submit(Quote(next_++, world_.WallMs()));
      world_.Run(apart);
    }
  }

  /**
   * Fills two hosts with long-running tasks and quotes; then fails the only
   * task of one long-running job.
   */
  void FillAndFailWatcher(Millis aFor)
  {
    world_.Submit(Watcher("watch", 1, 8000));
    world_.Submit(Watcher("other", 4, 8000));
    world_.Run(Millis(300));
    Run(aFor, 40);
    world_.Host(HostOf(kWatched)).worker_.FailRun(kWatched);
  }

  /** Fills the fleet with long-running tasks of half a host with 16 processors
   * each: "watch" has one, "other" has aOthers. */
  void FillWithWatchers(std::uint32_t aOthers)
  {
    world_.Submit(Watcher("watch", 1, 8000));
    world_.Submit(Watcher("other", aOthers, 8000));
    world_.Run(Millis(500));
  }

  /** Loses a host with its worker for good and waits until the leader has
   * abandoned the worker. */
  void LoseHost(std::size_t aHost)
  {
    WorkerFake& worker = world_.Host(aHost).worker_;
    worker.gone_ = true;
    worker.runs_.clear();
    world_.Cut(aHost, true);
    Run(Millis(12000), 4);
  }

  std::size_t HostOf(const std::string& aTask)
  {
    std::size_t host = 0;
    while (world_.Host(host).worker_.RunsOf(aTask) == 0) {
      ++host;
    }
    return host;
  }

  FleetWorld world_;
  int next_ = 0;
};

}

// Guards against a long downtime of a failed tracking feed in a full fleet,
// where callers' quotes take all capacity that becomes free. In one log the
// feed was down from run-failed at 20.8 s to run-ordered at 34.8 s, 14 s, as
// long as the fleet was full. Quotes used 400 of 5440 processors all the time,
// and 121 became free when another feed ended.
// One process per time of failure, because each takes half a minute under
// sanitizers.
ParameterizedTestParameters(LastingTask, RestartsWithinSecondsUnderUrgentLoad)
{
  static std::array<int, 8> waits{ 0, 80, 160, 240, 320, 400, 480, 560 };
  return cr_make_param_array(int, waits.data(), waits.size());
}

ParameterizedTest(const int* aWait,
                  LastingTask,
                  RestartsWithinSecondsUnderUrgentLoad)
{
  BusyFleet fleet(2, 64000);
  fleet.FillAndFailWatcher(Millis(4000 + *aWait));
  const Instant failedAt = fleet.world_.Now();
  fleet.Run(kMaxDowntime, 40);
  cr_assert(fleet.world_.LastStart(kWatched) > failedAt,
            "failed after %d ms, did not restart",
            4000 + *aWait);
}

// The same during a change of the leader. The next leader knows the feed only
// from the table, which does not hold the end of its last run.
ParameterizedTestParameters(LastingTask,
                            RestartsWithinSecondsAfterALeaderChange)
{
  static std::array<int, 4> waits{ 0, 160, 320, 480 };
  return cr_make_param_array(int, waits.data(), waits.size());
}

ParameterizedTest(const int* aWait,
                  LastingTask,
                  RestartsWithinSecondsAfterALeaderChange)
{
  BusyFleet fleet(2, 64000);
  fleet.FillAndFailWatcher(Millis(4000 + *aWait));
  fleet.Run(Millis(50), 40);
  const Instant changedAt = fleet.world_.Now();
  fleet.world_.ChangeLeader();
  fleet.Run(kMaxDowntime, 40);
  cr_assert(fleet.world_.LastStart(kWatched) > changedAt,
            "failed after %d ms, did not restart",
            4000 + *aWait);
}

// Guards against starvation of quotes after a worker crashes in a fleet that is
// nearly full of feeds: if the feeds of that worker took the capacity that is
// left for quotes, no caller would get one until feeds end. Short work keeps at
// least as much of each worker as a feed takes.
Test(LastingTask, LeavesCapacityForUrgentWork)
{
  BusyFleet fleet(4, 16000);
  fleet.world_.Submit(Watcher("watch", 1, 8000));
  fleet.world_.Submit(Watcher("other", 3, 8000));
  fleet.world_.Run(Millis(300));
  fleet.Run(Millis(3000), 4);
  const std::size_t crashed = fleet.HostOf(kWatched);
  fleet.world_.Host(crashed).worker_.gone_ = true;
  fleet.world_.Host(crashed).worker_.runs_.clear();
  fleet.world_.Cut(crashed, true);
  // Long enough for the crashed worker to be abandoned.
  fleet.Run(Millis(20000), 4);
  constexpr int kCheckedQuotes = 12;
  int served = 0;
  for (int i = fleet.next_ - kCheckedQuotes; i < fleet.next_; ++i) {
    const JobState state = fleet.world_.StateOf("quote" + std::to_string(i));
    served += state == JobState::Completed || state == JobState::Running;
  }
  cr_assert_eq(served, kCheckedQuotes);
}

namespace {

/** Fleet that is filled by one job, with more tasks than fit. */
class CrowdedFleet
{
public:
  CrowdedFleet()
    : world_(2, { 16000, 512000, 0 })
  {
    world_.Run(Millis(1500));
    for (std::size_t host = 0; host < 2; ++host) {
      world_.Host(host).worker_.lasting_ = { "watch" };
    }
    world_.Submit(Watcher("watch", 6, 8000));
    world_.Run(Millis(500));
  }

  std::size_t HostOf(const std::string& aTask)
  {
    return world_.Host(0).worker_.RunsOf(aTask) > 0 ? 0 : 1;
  }

  /** Number of tasks of the job that run now. */
  std::size_t Running()
  {
    return world_.Host(0).worker_.runs_.size() +
           world_.Host(1).worker_.runs_.size();
  }

  FleetWorld world_;
};

}

// Guards against a task of the same job that never ran and takes the resources
// of a failed task during its restart backoff.
ParameterizedTestParameters(LastingTask, ReservationExcludesTasksThatNeverRan)
{
  static std::array<int, 4> failures{ 1, 2, 5, 12 };
  return cr_make_param_array(int, failures.data(), failures.size());
}

ParameterizedTest(const int* aFailures,
                  LastingTask,
                  ReservationExcludesTasksThatNeverRan)
{
  CrowdedFleet fleet;
  for (int i = 0; i < *aFailures; ++i) {
    fleet.world_.Host(fleet.HostOf("watch.0.0.1"))
      .worker_.FailRun("watch.0.0.1");
    fleet.world_.Run(Millis(1500));
    cr_assert_eq(fleet.world_.Starts("watch.0.0.1"),
                 static_cast<std::size_t>(i) + 2);
  }
  cr_assert_eq(fleet.world_.Starts("watch.0.0.4"), 0);
  cr_assert_eq(fleet.world_.Starts("watch.0.0.5"), 0);
  cr_assert_eq(fleet.Running(), 4);
}

// Guards against callers' work that takes the resources of a failed task during
// its restart backoff.
Test(LastingTask, ReservationExcludesUrgentWork)
{
  BusyFleet fleet(2, 64000);
  fleet.FillAndFailWatcher(Millis(4000));
  const Instant failedAt = fleet.world_.Now();
  fleet.Run(Millis(1000), 40);
  cr_assert(fleet.world_.LastStart(kWatched) > failedAt);
}

// Guards against a reservation for a task that no longer needs it.
Test(LastingTask, CancellationReleasesTheReservation)
{
  CrowdedFleet fleet;
  fleet.world_.Host(fleet.HostOf("watch.0.0.1")).worker_.FailRun("watch.0.0.1");
  fleet.world_.Run(Millis(50));
  fleet.world_.Cancel("watch");
  fleet.world_.Submit(MakeJob("quote", 4, 8000));
  fleet.world_.Run(Millis(1000));
  cr_assert_eq(fleet.Running(), 4);
}

// Guards against tasks that never ran and start together with restarting tasks
// of their job, before the restarting tasks of a younger job.
Test(LastingTask, PrecedesNewTasksOfAnOlderRestartingJob)
{
  FleetWorld world(2, { 16000, 512000, 0 });
  world.Run(Millis(1500));
  world.Host(0).worker_.lasting_ = { "watch", "other" };
  world.Host(1).worker_.lasting_ = { "watch", "other" };
  JobDescription younger = Watcher("other", 1, 8000);
  younger.acceptedAtMs_ = world.WallMs() + 1000;
  JobDescription older = Watcher("watch", 6, 8000);
  older.acceptedAtMs_ = world.WallMs();
  world.Submit(younger);
  world.Run(Millis(100));
  world.Submit(older);
  world.Run(Millis(500));
  cr_assert_eq(world.Starts("watch.0.0.2"), 1);
  cr_assert_eq(world.Starts("watch.0.0.3"), 0);
  const std::size_t lost =
    world.Host(0).worker_.RunsOf("other.0.0.0") > 0 ? 0 : 1;
  world.Host(lost).worker_.Crash("anew");
  world.Run(Millis(3000));
  cr_assert_eq(world.Starts("other.0.0.0"), 2);
  cr_assert_eq(world.Starts("watch.0.0.3"), 0);
}

// Guards against tasks of an older job that never ran and take the resources of
// tasks that lost theirs in a crash of their worker.
Test(LastingTask, PrecedesNewTasksOfAnOlderJob)
{
  FleetWorld world(3, { 16000, 512000, 0 });
  world.Host(0).labels_ = { "fast" };
  world.Run(Millis(1500));
  world.Host(0).worker_.lasting_ = { "watch", "other" };
  world.Host(1).worker_.lasting_ = { "watch" };
  world.Host(2).worker_.lasting_ = { "watch" };
  JobDescription younger = Watcher("other", 2, 8000);
  younger.steps_.front().requiredLabel_ = "fast";
  younger.acceptedAtMs_ = world.WallMs() + 1000;
  JobDescription older = Watcher("watch", 6, 8000);
  older.acceptedAtMs_ = world.WallMs();
  world.Submit(younger);
  world.Run(Millis(100));
  world.Submit(older);
  world.Run(Millis(500));
  cr_assert_eq(world.Starts("watch.0.0.3"), 1);
  cr_assert_eq(world.Starts("watch.0.0.4"), 0);
  world.Host(0).worker_.Crash("anew");
  world.Run(Millis(3000));
  cr_assert_eq(world.Starts("other.0.0.0"), 2);
  cr_assert_eq(world.Starts("other.0.0.1"), 2);
  cr_assert_eq(world.Starts("watch.0.0.4"), 0);
}

// Guards against a failed task that does not use its reservation while a task
// of its step with a lower index finds no worker, and then loses its capacity.
Test(LastingTask, RestartsWhileAnotherTaskOfItsStepFindsNoWorker)
{
  constexpr std::size_t kHosts = 3;
  BusyFleet fleet(kHosts, 16000);
  fleet.world_.Submit(Watcher("watch", 6, 8000));
  fleet.world_.Run(Millis(500));
  // The first task of the step finds no worker again; the others run on.
  const std::size_t lost = fleet.HostOf(kWatched);
  fleet.LoseHost(lost);
  cr_assert_eq(fleet.world_.Starts(kWatched), 1);
  WorkerFake& worker = fleet.world_.Host((lost + 1) % kHosts).worker_;
  const std::string failing = worker.runs_.front().task_;
  worker.FailRun(failing);
  const Instant failedAt = fleet.world_.Now();
  fleet.Run(kMaxDowntime, 4);
  cr_assert(fleet.world_.LastStart(failing) > failedAt);
}

// Guards against a reservation that expires while the leader may start nothing,
// so that urgent work takes the capacity once starts go on.
Test(LastingTask, ReservationOutlastsWithheldStarts)
{
  BusyFleet fleet(2, 16000);
  fleet.FillWithWatchers(3);
  fleet.world_.Host(fleet.HostOf(kWatched)).worker_.FailRun(kWatched);
  const Instant failedAt = fleet.world_.Now();
  // With a view of the table that is this old, the leader starts nothing.
  fleet.world_.leaderLag_ = Millis(3000);
  fleet.Run(Millis(3000), 4);
  fleet.world_.leaderLag_ = Millis(0);
  fleet.Run(Millis(1000), 4);
  cr_assert(fleet.world_.LastStart(kWatched) > failedAt);
}

// Guards against a reservation that expires while a new leader defers the jobs
// of its predecessor, so that new urgent work takes the capacity.
Test(LastingTask, ReservationOutlastsTheDeferralAfterALeaderChange)
{
  constexpr std::size_t kHosts = 3;
  BusyFleet fleet(kHosts, 16000);
  fleet.FillWithWatchers(5);
  const std::size_t host = fleet.HostOf(kWatched);
  // The new leader defers old work until this host reports.
  const std::size_t silent = (host + 1) % kHosts;
  fleet.world_.Cut(silent, true);
  fleet.world_.ChangeLeader();
  fleet.world_.Run(Millis(200));
  fleet.world_.Host(host).worker_.FailRun(kWatched);
  const Instant failedAt = fleet.world_.Now();
  fleet.Run(Millis(6000), 4);
  fleet.world_.Cut(silent, false);
  fleet.Run(Millis(1000), 4);
  cr_assert(fleet.world_.LastStart(kWatched) > failedAt);
}
