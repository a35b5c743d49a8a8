#include "FleetWorld.h"

#include <criterion/criterion.h>

#include <string>

using namespace cactusrail;

namespace {

constexpr std::int64_t kHostCpuMilli = 16000;
constexpr const char* kLabel = "b";

/** Returns a world of two hosts, of which the first has the label. */
FleetWorld
LabelledWorld()
{
  FleetWorld world(2, { kHostCpuMilli, 64000, 0 });
  world.Host(0).labels_ = { kLabel };
  world.Run(Millis(1500));
  return world;
}

JobDescription
MakeBatch(const std::string& aId, std::int64_t aCpuMilli)
{
  JobDescription job = MakeJob(aId, 2, aCpuMilli);
  job.priority_ = 2;
  return job;
}

}

// Guards against idle workers beside waiting work: an urgent task requires a
// label that no worker has, and all work of a lower priority waited for it.
Test(PlacementPriority, TaskThatNoWorkerMayRunHoldsUpNoOtherWork)
{
  FleetWorld world = LabelledWorld();
  JobDescription urgent = MakeJob("urgent", 1, 1000);
  urgent.steps_.front().requiredLabel_ = "unknown";
  world.Submit(urgent);
  world.Submit(MakeBatch("batch", 1000));
  world.Run(Millis(3000));
  cr_assert_eq(world.StateOf("urgent"), JobState::Pending);
  cr_assert_eq(world.StateOf("batch"), JobState::Completed);
}

// The same for an urgent task that is larger than every worker.
Test(PlacementPriority, TaskThatFitsOnNoWorkerHoldsUpNoOtherWork)
{
  FleetWorld world = LabelledWorld();
  world.Submit(MakeJob("urgent", 1, kHostCpuMilli + 1));
  world.Submit(MakeBatch("batch", 1000));
  world.Run(Millis(3000));
  cr_assert_eq(world.StateOf("urgent"), JobState::Pending);
  cr_assert_eq(world.StateOf("batch"), JobState::Completed);
}

// The same for an urgent gang that is larger than the whole fleet. Its runs of
// lower priorities are not preempted either.
Test(PlacementPriority, GangThatDoesNotFitHoldsUpNoOtherWork)
{
  FleetWorld world = LabelledWorld();
  JobDescription urgent = MakeJob("urgent", 3, kHostCpuMilli / 2 + 1);
  urgent.steps_.front().gang_ = true;
  world.Submit(urgent);
  world.Submit(MakeBatch("batch", kHostCpuMilli / 2));
  world.Run(Millis(3000));
  cr_assert_eq(world.StateOf("urgent"), JobState::Pending);
  cr_assert_eq(world.StateOf("batch"), JobState::Completed);
  cr_assert_eq(world.Starts("batch.0.0.0"), 1);
}

// Guards against work of a lower priority that waits on workers which an urgent
// task may not use, and beside a long-running task that leaves too little for
// the urgent one for good.
Test(PlacementPriority, TaskThatWaitsForAFullWorkerHoldsUpNoOtherWork)
{
  FleetWorld world = LabelledWorld();
  world.Host(0).worker_.lasting_ = { "watch" };
  JobDescription watch = MakeJob("watch", 1, kHostCpuMilli / 2);
  watch.steps_.front().longRunning_ = true;
  watch.steps_.front().requiredLabel_ = kLabel;
  world.Submit(watch);
  world.Run(Millis(500));
  cr_assert_eq(world.Starts("watch.0.0.0"), 1);
  JobDescription urgent = MakeJob("urgent", 1, kHostCpuMilli);
  urgent.steps_.front().requiredLabel_ = kLabel;
  world.Submit(urgent);
  JobDescription beside = MakeBatch("beside", 1000);
  beside.steps_.front().requiredLabel_ = kLabel;
  world.Submit(beside);
  world.Submit(MakeBatch("elsewhere", kHostCpuMilli / 2));
  world.Run(Millis(3000));
  cr_assert_eq(world.StateOf("urgent"), JobState::Pending);
  cr_assert_eq(world.StateOf("beside"), JobState::Completed);
  cr_assert_eq(world.StateOf("elsewhere"), JobState::Completed);
}

// Guards against an urgent task that waits longer because work of a lower
// priority takes what becomes free while runs are preempted for it.
Test(PlacementPriority, LowerPriorityTakesNoCapacityThatPreemptionFrees)
{
  FleetWorld world(1, { kHostCpuMilli, 64000, 0 });
  world.Run(Millis(1500));
  world.Host(0).worker_.taskTime_ = Millis(10000);
  JobDescription running = MakeBatch("running", kHostCpuMilli / 2);
  running.steps_.front().count_ = 1;
  world.Submit(running);
  world.Run(Millis(300));
  cr_assert_eq(world.Starts("running.0.0.0"), 1);
  world.Submit(MakeJob("urgent", 1, kHostCpuMilli));
  world.Submit(MakeBatch("batch", kHostCpuMilli / 2));
  world.Run(Millis(1500));
  cr_assert_eq(world.Starts("urgent.0.0.0"), 1);
  cr_assert_eq(world.Starts("batch.0.0.0"), 0);
  cr_assert_not(world.EverOverCapacity());
}
