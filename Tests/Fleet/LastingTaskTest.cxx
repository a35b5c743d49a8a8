#include "FleetWorld.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>
#include <string>
#include <vector>

using namespace cactusrail;

namespace {

/** Users allow a task that lasts to be away for so long after a run of it has
 * ended, where there is room for it. */
constexpr Millis kMostAway{ 6000 };

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

/** Callers hand in more quotes than there is room for. */
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

  /** So many quotes a second, one after another. */
  void Run(Millis aFor, int aQuotesASecond)
  {
    const Millis apart(1000 / aQuotesASecond);
    const Instant until = world_.Now() + aFor;
    while (world_.Now() < until) {
      world_.Submit(Quote(next_++, world_.WallMs()));
      world_.Run(apart);
    }
  }

  /** Fills two hosts with feeds and quotes; one feed's only task fails. */
  void FailWatcherAfter(Millis aFor)
  {
    world_.Submit(Watcher("watch", 1, 8000));
    world_.Submit(Watcher("other", 4, 8000));
    world_.Run(Millis(300));
    Run(aFor, 40);
    world_.Host(HostOf(kWatched)).worker_.Fail(kWatched);
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

// A tracking feed fails by itself, as one does now and then, in a fleet that is
// full: callers' quotes take each gap that opens, and the feed goes behind
// them. It was away for as long as the fleet was full: 14 s in the log,
// run-failed at 20.8 s and run-ordered at 34.8 s, with 400 of 5440 processors
// in use by quotes all the while and 121 freed by another feed's end.
// One process a moment: each takes half a minute of sanitizers.
ParameterizedTestParameters(LastingTask,
                            IsBackWithinSecondsThoughUrgentWorkTakesEachGap)
{
  static std::array<int, 8> waits{ 0, 80, 160, 240, 320, 400, 480, 560 };
  return cr_make_param_array(int, waits.data(), waits.size());
}

ParameterizedTest(const int* aWait,
                  LastingTask,
                  IsBackWithinSecondsThoughUrgentWorkTakesEachGap)
{
  BusyFleet fleet(2, 64000);
  fleet.FailWatcherAfter(Millis(4000 + *aWait));
  const Instant failedAt = fleet.world_.Now();
  fleet.Run(kMostAway, 40);
  cr_assert(fleet.world_.LastStart(kWatched) > failedAt,
            "failed after %d ms, not back",
            4000 + *aWait);
}

// The same while the leader changes: the next one knows of the feed what the
// table says, and not when its last run ended.
ParameterizedTestParameters(LastingTask,
                            IsBackWithinSecondsAfterAChangeOfLeader)
{
  static std::array<int, 4> waits{ 0, 160, 320, 480 };
  return cr_make_param_array(int, waits.data(), waits.size());
}

ParameterizedTest(const int* aWait,
                  LastingTask,
                  IsBackWithinSecondsAfterAChangeOfLeader)
{
  BusyFleet fleet(2, 64000);
  fleet.FailWatcherAfter(Millis(4000 + *aWait));
  fleet.Run(Millis(50), 40);
  const Instant changedAt = fleet.world_.Now();
  fleet.world_.ChangeLeader();
  fleet.Run(kMostAway, 40);
  cr_assert(fleet.world_.LastStart(kWatched) > changedAt,
            "failed after %d ms, not back",
            4000 + *aWait);
}

// Feeds hold nearly all of a fleet, and a worker of it crashes. If its feeds
// took the room that is left for quotes, no caller would get one until feeds
// end: of each worker short work keeps at least as much as a feed takes.
Test(LastingTask, TakesNoRoomThatUrgentWorkCannotSpare)
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
  // Long enough for the crashed worker to be given up.
  fleet.Run(Millis(20000), 4);
  constexpr int kLast = 12;
  int served = 0;
  for (int i = fleet.next_ - kLast; i < fleet.next_; ++i) {
    const JobState state = fleet.world_.StateOf("quote" + std::to_string(i));
    served += state == JobState::Completed || state == JobState::Running;
  }
  cr_assert_eq(served, kLast);
}

namespace {

/** A fleet that one job fills; more tasks of it than there is room for. */
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

  /** How many tasks of the job run now. */
  std::size_t Running()
  {
    return world_.Host(0).worker_.runs_.size() +
           world_.Host(1).worker_.runs_.size();
  }

  FleetWorld world_;
};

}

// Guards against a task of the same job that never ran and takes the room of
// one that failed while that one pauses.
ParameterizedTestParameters(LastingTask, KeepsItsRoomFromTasksThatNeverRan)
{
  static std::array<int, 4> failures{ 1, 2, 5, 12 };
  return cr_make_param_array(int, failures.data(), failures.size());
}

ParameterizedTest(const int* aFailures,
                  LastingTask,
                  KeepsItsRoomFromTasksThatNeverRan)
{
  CrowdedFleet fleet;
  for (int i = 0; i < *aFailures; ++i) {
    fleet.world_.Host(fleet.HostOf("watch.0.0.1")).worker_.Fail("watch.0.0.1");
    fleet.world_.Run(Millis(1500));
    cr_assert_eq(fleet.world_.Starts("watch.0.0.1"),
                 static_cast<std::size_t>(i) + 2);
  }
  cr_assert_eq(fleet.world_.Starts("watch.0.0.4"), 0);
  cr_assert_eq(fleet.world_.Starts("watch.0.0.5"), 0);
  cr_assert_eq(fleet.Running(), 4);
}

// Guards against callers' work that takes the room of a task that failed while
// that one pauses.
Test(LastingTask, KeepsItsRoomFromUrgentWork)
{
  BusyFleet fleet(2, 64000);
  fleet.FailWatcherAfter(Millis(4000));
  const Instant failedAt = fleet.world_.Now();
  fleet.Run(Millis(1000), 40);
  cr_assert(fleet.world_.LastStart(kWatched) > failedAt);
}

// Guards against room that stays kept for a task that needs none any more.
Test(LastingTask, RoomOfACancelledJobIsFreeAtOnce)
{
  CrowdedFleet fleet;
  fleet.world_.Host(fleet.HostOf("watch.0.0.1")).worker_.Fail("watch.0.0.1");
  fleet.world_.Run(Millis(50));
  fleet.world_.Cancel("watch");
  fleet.world_.Submit(MakeJob("quote", 4, 8000));
  fleet.world_.Run(Millis(1000));
  cr_assert_eq(fleet.Running(), 4);
}

// Guards against tasks that never ran and start along with those of their job
// that come back, before those of a younger job have.
Test(LastingTask, GoesBeforeTasksThatNeverRanOfAJobThatComesBackToo)
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

// Guards against tasks that never ran, of an older job, and that take the room
// of those that lost theirs with their worker.
Test(LastingTask, GoesBeforeTasksThatNeverRan)
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
