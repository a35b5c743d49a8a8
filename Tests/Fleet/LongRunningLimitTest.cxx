#include "FleetWorld.h"

#include "Process/LongRunningLimit.h"

#include <criterion/criterion.h>

#include <string>

using namespace cactusrail;

namespace {

constexpr std::int64_t kHostCpuMilli = 16000;

JobDescription
Watcher(const std::string& aId)
{
  JobDescription job = MakeJob(aId, 1, 8000);
  job.steps_.front().longRunning_ = true;
  return job;
}

JobDescription
Quote(const std::string& aId, std::int64_t aAcceptedAtMs)
{
  JobDescription job = MakeJob(aId, 4, 1700);
  job.stretch_ = 1.5;
  job.latencyObjectiveMs_ = 250;
  job.acceptedAtMs_ = aAcceptedAtMs;
  return job;
}

/** Eight hosts, half of whose capacity is used by watchers, while callers
 * submit quotes continuously. */
class SharedFleet
{
public:
  SharedFleet()
    : world_(8, { kHostCpuMilli, 512000, 0 })
  {
    world_.Run(Millis(1500));
    for (std::size_t host = 0; host < 8; ++host) {
      world_.Host(host).worker_.taskTime_ = Millis(640);
      world_.Host(host).worker_.lasting_ = { "watch", "new" };
    }
    for (int i = 0; i < 8; ++i) {
      world_.Submit(Watcher("watch" + std::to_string(i)));
    }
    world_.Run(Millis(300));
  }

  void RunWithQuotes(Millis aFor)
  {
    const Instant until = world_.Now() + aFor;
    while (world_.Now() < until) {
      world_.Submit(Quote("quote" + std::to_string(next_++), world_.WallMs()));
      world_.Run(Millis(130));
    }
  }

  void SubmitNewWatchers()
  {
    for (int i = 0; i < 8; ++i) {
      world_.Submit(Watcher("new" + std::to_string(i)));
    }
  }

  std::size_t NewWatchersStarted() const
  {
    std::size_t started = 0;
    for (int i = 0; i < 8; ++i) {
      started += world_.Starts("new" + std::to_string(i) + ".0.0.0") > 0;
    }
    return started;
  }

  FleetWorld world_;
  int next_ = 0;
};

}

// Guards against long-running watchers that take all capacity which is free for
// a moment. When they arrived in a fleet that they nearly filled, quotes waited
// for 20 s.
Test(LongRunningLimit, QuotesStartWhenNewWatchersArrive)
{
  SharedFleet fleet;
  fleet.RunWithQuotes(Millis(5000));
  fleet.SubmitNewWatchers();
  // Quotes come in waves; between them, capacity is free for a moment.
  for (int wave = 0; wave < 4; ++wave) {
    fleet.world_.Run(Millis(1500));
    fleet.RunWithQuotes(Millis(2500));
  }
  const int last = fleet.next_;
  fleet.world_.Run(Millis(2000));
  for (int i = last - 20; i < last; ++i) {
    cr_assert_eq(fleet.world_.StateOf("quote" + std::to_string(i)),
                 JobState::Completed);
  }
  cr_assert_not(fleet.world_.EventDetails("standing-held-back").empty());
}

Test(LongRunningLimit, DeferredWatcherStartsWhenAnotherEnds)
{
  SharedFleet fleet;
  fleet.RunWithQuotes(Millis(5000));
  fleet.SubmitNewWatchers();
  fleet.RunWithQuotes(Millis(1000));
  const std::size_t before = fleet.NewWatchersStarted();
  fleet.world_.Cancel("watch0");
  fleet.world_.Cancel("watch1");
  fleet.RunWithQuotes(Millis(3000));
  cr_assert_eq(fleet.NewWatchersStarted(), before + 2);
}

Test(LongRunningLimit, WatchersUseAllCapacityWithoutShortWork)
{
  SharedFleet fleet;
  fleet.SubmitNewWatchers();
  fleet.world_.Run(Millis(500));
  cr_assert_eq(fleet.NewWatchersStarted(), 8);
}

// Guards against a watcher that does not restart after a loss of power, because
// the new leader defers it for quotes submitted since it started.
Test(LongRunningLimit, StartedWatcherIsNotDeferredByTheNextLeader)
{
  SharedFleet fleet;
  fleet.SubmitNewWatchers();
  fleet.world_.Run(Millis(500));
  for (std::size_t host = 0; host < 8; ++host) {
    fleet.world_.Cut(host, true);
  }
  fleet.world_.ChangeLeader();
  fleet.RunWithQuotes(Millis(1500));
  for (std::size_t host = 0; host < 8; ++host) {
    fleet.world_.Host(host).worker_.Crash("w" + std::to_string(host) + "-2");
    fleet.world_.RestartSide(host);
    fleet.world_.Cut(host, false);
  }
  fleet.world_.Run(Millis(4000));
  for (int i = 0; i < 8; ++i) {
    const std::string number = std::to_string(i);
    cr_assert_eq(fleet.world_.Starts("new" + number + ".0.0.0"), 2);
    cr_assert_eq(fleet.world_.Starts("watch" + number + ".0.0.0"), 2);
  }
}

Test(LongRunningLimit, RateFollowsRecentDemand)
{
  LongRunningLimit room;
  std::int64_t now = 0;
  // Ten requests per second, each of which keeps two processors busy for 100
  // ms.
  for (; now < 20000; now += 100) {
    room.AddDemand("service", 0, 2000.0 * 100, At(now));
  }
  const double asked = room.DemandCpuMilli("service", 0, At(now));
  cr_assert_gt(asked, 1900);
  cr_assert_lt(asked, 2100);
  cr_assert_eq(room.DemandCpuMilli("other", 0, At(now)), 0);
  cr_assert_lt(room.DemandCpuMilli("service", 0, At(now + 60000)), 100);
}

Test(LongRunningLimit, LessUrgentDemandDefersNothing)
{
  LongRunningLimit room;
  room.AddDemand("service", 2, 64000.0 * 10000, At(0));
  cr_assert_eq(room.MaxLongRunningCpuMilli("service", 1, 64000, At(1000)),
               64000);
  cr_assert_lt(room.MaxLongRunningCpuMilli("service", 2, 64000, At(1000)),
               64000);
}

// Guards against watchers that are deferred although short work always finds
// capacity: only a miss raises the share left to short work, and only for a
// limited time.
Test(LongRunningLimit, MissRaisesTheShareLeftToShortWork)
{
  LongRunningLimit room;
  room.AddDemand("service", 0, 10000.0 * 2000, At(0));
  const double before =
    room.MaxLongRunningCpuMilli("service", 0, 64000, At(1000));
  room.AddMiss("service", 0, At(1000));
  const double missed =
    room.MaxLongRunningCpuMilli("service", 0, 64000, At(1000));
  cr_assert_lt(missed, before);
  cr_assert_eq(room.MaxLongRunningCpuMilli("other", 0, 64000, At(1000)), 64000);
  cr_assert_gt(room.MaxLongRunningCpuMilli("service", 0, 64000, At(17000)),
               before);
}

// Guards against a watcher with many tasks that does not run at all, because
// the fleet has room for most of them, but not for all.
Test(LongRunningLimit, LargeWatcherStartsWithTheTasksThatFit)
{
  SharedFleet fleet;
  fleet.RunWithQuotes(Millis(6000));
  JobDescription large = MakeJob("new0", 16, 4000);
  large.steps_.front().longRunning_ = true;
  fleet.world_.Submit(large);
  fleet.RunWithQuotes(Millis(2000));
  std::size_t started = 0;
  for (int i = 0; i < 16; ++i) {
    started += fleet.world_.Starts("new0.0.0." + std::to_string(i));
  }
  cr_assert_gt(started, 0);
  cr_assert_lt(started, 16, "Quotes have no capacity left.");
  fleet.world_.ChangeLeader();
  fleet.RunWithQuotes(Millis(2000));
  cr_assert_eq(fleet.world_.MaxConcurrentRuns(), 1);
}
