#include "FleetWorld.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

/**
 * Longest delay between the acknowledgement of an evacuation and the last start
 * of a task in the data centre, as agreed with the users.
 */
constexpr Millis kEvacuationBound{ 5000 };

constexpr const char* kNorth = "north";
constexpr const char* kSouth = "south";

/** Returns a world whose first aNorth hosts are in the data centre that the
 * tests evacuate, and the others in another one. */
FleetWorld
TwoDataCentres(std::size_t aNorth,
               std::size_t aSouth,
               FleetResources aRoom = { 4000, 64000, 0 })
{
  // Orders must not expire for another reason before the evacuation's bound.
  FleetBounds bounds;
  bounds.cancelBound_ = 4 * kEvacuationBound;
  bounds.evacuationBound_ = kEvacuationBound;
  FleetWorld world(aNorth + aSouth, aRoom, bounds);
  for (std::size_t i = 0; i < aNorth + aSouth; ++i) {
    world.Host(i).dataCentre_ = i < aNorth ? kNorth : kSouth;
  }
  world.Run(Millis(1500));
  return world;
}

/** Returns the number of starts on a host. */
std::size_t
StartsOn(FleetWorld& aWorld, std::size_t aHost)
{
  return aWorld.Host(aHost).worker_.started_.size();
}

/** Returns the delay from aSince to the last start on a host; zero if there was
 * none after it. */
Millis
LastStartAfter(FleetWorld& aWorld, std::size_t aHost, Instant aSince)
{
  const std::vector<Instant>& starts = aWorld.Host(aHost).worker_.startedAt_;
  return starts.empty() || starts.back() < aSince
           ? Millis(0)
           : std::chrono::duration_cast<Millis>(starts.back() - aSince);
}

JobDescription
LongRunningJob(const std::string& aId, std::uint32_t aTasks)
{
  JobDescription job = MakeJob(aId, aTasks, 1000);
  job.steps_.front().longRunning_ = true;
  return job;
}

}

// Guards against starts in an evacuated data centre, and against one that stays
// evacuated after the operator has taken the order back.
Test(Evacuation, NothingStartsThereUntilTheOrderIsRemoved)
{
  FleetWorld world = TwoDataCentres(1, 1);
  world.Evacuate(kNorth, true);
  for (int i = 0; i < 10; ++i) {
    world.Submit(MakeJob("job" + std::to_string(i), 2, 1000));
    world.Run(Millis(300));
  }
  world.Run(Millis(5000));
  cr_assert_eq(StartsOn(world, 0), 0);
  cr_assert_eq(StartsOn(world, 1), 20);
  world.Evacuate(kNorth, false);
  world.Submit(MakeJob("later", 8, 1000));
  world.Run(Millis(300));
  cr_assert_gt(StartsOn(world, 0), 0);
}

// Guards against an evacuation that ends what runs there.
Test(Evacuation, RunningTasksGoOn)
{
  FleetWorld world = TwoDataCentres(1, 0);
  world.Submit(MakeJob("job", 3, 1000));
  world.Run(Millis(500));
  world.Evacuate(kNorth, true);
  world.Run(Millis(3000));
  cr_assert_eq(world.StateOf("job"), JobState::Completed);
  cr_assert_eq(world.Starts("job.0.0.0"), 1);
}

// Guards against a new leader that starts work before it knows the evacuations.
Test(Evacuation, NewLeaderStartsNothingThere)
{
  FleetWorld world = TwoDataCentres(1, 1);
  world.Host(1).worker_.taskTime_ = Millis(3000);
  world.Submit(MakeJob("job", 12, 1000));
  world.Run(Millis(100));
  world.Evacuate(kNorth, true);
  world.Run(Millis(50));
  const std::size_t before = StartsOn(world, 0);
  world.ChangeLeader();
  world.Run(Millis(20000));
  cr_assert_eq(StartsOn(world, 0), before);
  cr_assert_eq(world.StateOf("job"), JobState::Completed);
}

// Guards against starts by a leader that reads the order seconds late.
Test(Evacuation, LaggingLeaderStartsNothingThereAfterTheBound)
{
  for (int lag = 500; lag <= 9000; lag += 500) {
    FleetWorld world = TwoDataCentres(1, 0);
    world.leaderLag_ = Millis(lag);
    world.Evacuate(kNorth, true);
    const Instant since = world.Now();
    for (int i = 0; i < 50; ++i) {
      world.Submit(MakeJob("job" + std::to_string(i), 1, 100));
      world.Run(Millis(200));
    }
    cr_assert_leq(LastStartAfter(world, 0, since).count(),
                  kEvacuationBound.count(),
                  "leader lag %d ms",
                  lag);
  }
}

// Guards against an order that arrives at its side seconds late.
Test(Evacuation, LateOrderIsNotCarriedOutAfterTheBound)
{
  for (int delay = 200; delay <= 9000; delay += 200) {
    FleetWorld world = TwoDataCentres(1, 0);
    world.orderDelay_ = Millis(delay);
    world.Submit(MakeJob("job", 1, 1000));
    world.Run(Millis(50));
    world.Evacuate(kNorth, true);
    const Instant since = world.Now();
    world.Run(Millis(10000));
    cr_assert_leq(LastStartAfter(world, 0, since).count(),
                  kEvacuationBound.count(),
                  "orders %d ms late",
                  delay);
  }
}

// Guards against a side that repeats a start until its worker answers again,
// with and without a leader that could withdraw the start.
Test(Evacuation, RetriedStartEndsWithTheBound)
{
  for (const bool leaderLost : { false, true }) {
    for (int muteFor = 200; muteFor <= 9000; muteFor += 200) {
      FleetWorld world = TwoDataCentres(1, 0);
      world.Host(0).worker_.mute_ = true;
      world.Submit(MakeJob("job", 1, 1000));
      world.Run(Millis(50));
      world.Evacuate(kNorth, true);
      const Instant since = world.Now();
      if (leaderLost) {
        world.LoseLeader();
      }
      world.Run(Millis(muteFor));
      world.Host(0).worker_.mute_ = false;
      world.Run(Millis(9500));
      cr_assert_leq(LastStartAfter(world, 0, since).count(),
                    kEvacuationBound.count(),
                    "worker unresponsive for %d ms, leader %s",
                    muteFor,
                    leaderLost ? "lost" : "present");
    }
  }
}

// Guards against a task that waits for a worker there which does not accept its
// start, while workers elsewhere are free.
Test(Evacuation, StartThatIsNotAcceptedIsWithdrawn)
{
  FleetWorld world = TwoDataCentres(1, 1);
  world.Evacuate(kSouth, true);
  world.Run(Millis(100));
  world.Host(0).worker_.mute_ = true;
  world.Submit(MakeJob("job", 1, 1000));
  world.Run(Millis(50));
  world.Evacuate(kSouth, false);
  world.Evacuate(kNorth, true);
  world.Run(Millis(1200));
  world.Host(0).worker_.mute_ = false;
  world.Run(Millis(800));
  cr_assert_eq(StartsOn(world, 0), 0);
  cr_assert_eq(StartsOn(world, 1), 1);
  cr_assert_neq(world.EventDetails("run-stopped").find("evacuated"),
                std::string::npos);
}

// Guards against the restart of a failed long-running task in the capacity that
// was reserved for it there.
Test(Evacuation, FailedLongRunningTaskRestartsElsewhere)
{
  for (const bool failsBefore : { false, true }) {
    FleetWorld world = TwoDataCentres(1, 1);
    world.Host(0).worker_.lasting_ = { "job" };
    world.Host(1).worker_.lasting_ = { "job" };
    world.Evacuate(kSouth, true);
    world.Run(Millis(100));
    world.Submit(LongRunningJob("job", 1));
    world.Run(Millis(1000));
    cr_assert_eq(StartsOn(world, 0), 1);
    world.Evacuate(kSouth, false);
    if (failsBefore) {
      world.Host(0).worker_.FailRun("job.0.0.0");
      world.Run(Millis(20));
    }
    world.Evacuate(kNorth, true);
    if (!failsBefore) {
      world.Run(Millis(20));
      world.Host(0).worker_.FailRun("job.0.0.0");
    }
    world.Run(Millis(2000));
    cr_assert_eq(StartsOn(world, 0), 1);
    cr_assert_eq(world.Host(1).worker_.RunsOf("job.0.0.0"), 1);
  }
}

// Guards against members of a gang that start there.
Test(Evacuation, GangStartsElsewhereOrNotAtAll)
{
  FleetWorld world = TwoDataCentres(1, 1);
  JobDescription gang = MakeJob("gang", 6, 1000);
  gang.steps_.front().gang_ = true;
  world.Evacuate(kNorth, true);
  world.Submit(gang);
  world.Run(Millis(2000));
  cr_assert_eq(StartsOn(world, 0) + StartsOn(world, 1), 0);
  JobDescription smaller = MakeJob("smaller", 4, 1000);
  smaller.steps_.front().gang_ = true;
  world.Submit(smaller);
  world.Run(Millis(2000));
  cr_assert_eq(StartsOn(world, 0), 0);
  cr_assert_eq(StartsOn(world, 1), 4);
}

// Guards against runs that are preempted there for a task that can't start.
Test(Evacuation, NothingIsPreemptedThere)
{
  FleetWorld world = TwoDataCentres(1, 0);
  world.Host(0).worker_.taskTime_ = Millis(5000);
  JobDescription low = MakeJob("low", 4, 1000);
  low.priority_ = 2;
  world.Submit(low);
  world.Run(Millis(500));
  world.Evacuate(kNorth, true);
  world.Run(Millis(50));
  world.Submit(MakeJob("urgent", 1, 1000));
  world.Run(Millis(2000));
  cr_assert_eq(world.EventCount("run-stopped"), 0);
  cr_assert_eq(world.Host(0).worker_.runs_.size(), 4);
}

// Guards against a long-running job that is admitted for the capacity there and
// takes what short work has left elsewhere.
Test(Evacuation, CapacityThereCountsForNothing)
{
  FleetWorld world = TwoDataCentres(3, 1, { 10000, 64000, 0 });
  for (std::size_t i = 0; i < 4; ++i) {
    world.Host(i).worker_.lasting_ = { "long" };
    world.Host(i).worker_.taskTime_ = Millis(1000);
  }
  world.Evacuate(kNorth, true);
  for (int i = 0; i < 20; ++i) {
    world.Submit(MakeJob("short" + std::to_string(i), 6, 1000));
    world.Run(Millis(500));
  }
  world.Submit(LongRunningJob("long", 8));
  world.Run(Millis(100));
  cr_assert_gt(world.EventCount("standing-held-back"), 0);
}
