#include "FleetWorld.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

FleetBounds
WithAdmission()
{
  FleetBounds bounds;
  bounds.features_.admission_ = FeatureSwitch::On;
  return bounds;
}

/** Returns a job of one step whose result stays useful for a day. */
JobDescription
PatientJob(const std::string& aId, std::uint32_t aTasks, std::int64_t aPriority)
{
  JobDescription job = MakeJob(aId, aTasks, 1000);
  job.priority_ = aPriority;
  job.acceptedAtMs_ = kWallMs;
  job.latencyObjectiveMs_ = 86400000;
  return job;
}

/** Returns the load of a priority in the digest; an empty one if there is
 * none. */
PriorityLoad
LoadOf(FleetWorld& aWorld, std::int64_t aPriority)
{
  for (const PriorityLoad& load : aWorld.Scheduler().Digest().loads_) {
    if (load.priority_ == aPriority) {
      return load;
    }
  }
  return {};
}

}

// Guards against a rate that is guessed from declared sizes, or learned from
// tasks that don't wait. Two workers of 4 processors have memory for two tasks
// each, which take twice their estimate of 1 s.
Test(LoadDigest, RateIsLearnedFromABacklog)
{
  FleetWorld world(2, { 4000, 64000, 0 }, WithAdmission());
  world.Host(0).worker_.taskTime_ = Millis(2000);
  world.Host(1).worker_.taskTime_ = Millis(2000);
  world.Run(Millis(1500));
  for (int i = 0; i < 12; ++i) {
    world.Submit(PatientJob("few" + std::to_string(i), 2, 2));
    world.Run(Millis(1000));
    cr_assert_eq(LoadOf(world, 2).rate_, 0, "nothing waits");
  }
  world.Run(Millis(4000));
  JobDescription many = PatientJob("many", 100, 2);
  many.steps_.front().memoryMb_ = 32000;
  world.Submit(many);
  world.Run(Millis(500));
  const PriorityLoad before = LoadOf(world, 2);
  cr_assert_gt(before.work_, 90000);
  cr_assert_eq(before.rate_, 0, "no backlog was observed yet");
  world.Run(Millis(10000));
  const PriorityLoad after = LoadOf(world, 2);
  cr_assert_gt(after.work_, 0);
  // Four tasks end together every 2 s, so the rate of 4 is not met exactly.
  cr_assert_geq(after.rate_, 3, "%f", after.rate_);
  cr_assert_leq(after.rate_, 5.5, "%f", after.rate_);
}

// Guards against work in the digest that nobody waits for or that no worker can
// run: jobs would be rejected because of it.
Test(LoadDigest, OnlyWorkThatCanBeOfUseCounts)
{
  FleetWorld world(1, { 4000, 64000, 0 }, WithAdmission());
  world.Run(Millis(1500));
  JobDescription watcher = PatientJob("watcher", 1, 0);
  watcher.steps_.front().longRunning_ = true;
  world.Host(0).worker_.lasting_.insert("watcher");
  world.Submit(watcher);
  JobDescription timed = PatientJob("timed", 10, 0);
  timed.occurrences_ = 1;
  timed.startAtMs_ = world.WallMs() + 3600000;
  world.Submit(timed);
  JobDescription tooLarge = PatientJob("large", 10, 0);
  tooLarge.steps_.front().cpuMilli_ = 8000;
  world.Submit(tooLarge);
  JobDescription impatient = PatientJob("impatient", 10, 0);
  impatient.latencyObjectiveMs_ = 0;
  impatient.acceptedAtMs_ = world.WallMs() - 60000;
  world.Submit(impatient);
  world.Run(Millis(300));
  cr_assert_eq(LoadOf(world, 0).work_, 0, "%f", LoadOf(world, 0).work_);
}

// Guards against a rate that is only the demand after a change of the leader:
// tasks of earlier leaders wait for the reports of sides and not for capacity,
// while new jobs run at once.
Test(LoadDigest, WaitingForSidesIsNoBacklog)
{
  FleetWorld world(2, { 4000, 64000, 0 }, WithAdmission());
  world.Host(1).worker_.taskTime_ = Millis(200);
  world.Run(Millis(1500));
  world.Submit(PatientJob("many", 100, 2));
  world.Run(Millis(100));
  world.Cut(0, true);
  world.ChangeLeader();
  for (int i = 0; i < 7; ++i) {
    world.Submit(PatientJob("new" + std::to_string(i), 2, 2));
    world.Run(Millis(1000));
  }
  cr_assert(world.StateOf("new5") == JobState::Completed);
  cr_assert_eq(LoadOf(world, 2).rate_, 0, "%f", LoadOf(world, 2).rate_);
}

// Guards against entries that take the digest of a new leader for the one that
// they have.
Test(LoadDigest, VersionsOfLeadersDiffer)
{
  FleetWorld world(1, { 4000, 64000, 0 }, WithAdmission());
  world.Run(Millis(1500));
  const std::uint64_t first = world.Scheduler().Digest().version_;
  cr_assert_neq(first, 0);
  world.ChangeLeader();
  world.Run(Millis(1500));
  cr_assert_gt(world.Scheduler().Digest().version_, first + 1000);
}

// Guards against a cost in fleets that don't use admission.
Test(LoadDigest, ThereIsNoneWithTheFeatureOff)
{
  FleetWorld world(1, { 4000, 64000, 0 });
  world.Run(Millis(1500));
  world.Submit(PatientJob("many", 100, 2));
  world.Run(Millis(1000));
  cr_assert_eq(world.Scheduler().Digest().version_, 0);
}
