#include "FleetWorld.h"

#include "Process/PlacementMisses.h"

#include <criterion/criterion.h>

#include <string>

using namespace cactusrail;

namespace {

JobDescription
JobRequesting(std::int64_t aPriority, std::int64_t aCpuMilli)
{
  JobDescription job = MakeJob("job", 1, aCpuMilli);
  job.priority_ = aPriority;
  return job;
}

bool
IsCovered(const PlacementMisses& aMisses, const JobDescription& aJob)
{
  return aMisses.Covers(aJob, aJob.steps_.front());
}

}

Test(PlacementMisses, CoversStepsThatRequestAsMuchOrMore)
{
  PlacementMisses misses;
  const JobDescription missed = JobRequesting(1, 2000);
  misses.Add(missed, missed.steps_.front());
  cr_assert(IsCovered(misses, JobRequesting(1, 2000)));
  cr_assert(IsCovered(misses, JobRequesting(2, 3000)));
  cr_assert_not(IsCovered(misses, JobRequesting(1, 1999)));
  // A more urgent job may preempt more tasks.
  cr_assert_not(IsCovered(misses, JobRequesting(0, 2000)));
  misses.Clear();
  cr_assert_not(IsCovered(misses, JobRequesting(1, 2000)));
}

Test(PlacementMisses, CoversOnlyStepsForTheSameWorkers)
{
  PlacementMisses misses;
  const JobDescription missed = JobRequesting(1, 2000);
  misses.Add(missed, missed.steps_.front());
  JobDescription other = missed;
  other.service_ = "other";
  cr_assert_not(IsCovered(misses, other));
  other = missed;
  other.steps_.front().requiredLabel_ = "ssd";
  cr_assert_not(IsCovered(misses, other));
  other = missed;
  other.steps_.front().backfill_ = true;
  cr_assert_not(IsCovered(misses, other));
  other = missed;
  other.steps_.front().longRunning_ = true;
  cr_assert_not(IsCovered(misses, other));
  other = missed;
  other.steps_.front().maxPerWorker_ = 1;
  cr_assert_not(IsCovered(misses, other));
}

// Guards against a leader that falls behind with a backlog in a full fleet: it
// scanned all workers and their runs for each waiting step in each pass.
Test(PlacementMisses, EqualStepsShareTheScansOfAPass)
{
  FleetWorld world(8);
  world.Run(Millis(1500));
  for (int i = 0; i < 100; ++i) {
    world.Submit(MakeJob("job" + std::to_string(i), 8, 16000));
  }
  world.Run(Millis(100));
  const std::uint64_t before = world.Scheduler().WorkerScans();
  world.Run(Millis(500));
  // A pass needs two scans where a step also preempts.
  constexpr std::uint64_t kPasses = 50;
  cr_assert_leq(world.Scheduler().WorkerScans() - before, 3 * kPasses);
}

// Guards against a step that is refused for the miss of another step although
// its own task would fit.
Test(PlacementMisses, SmallerStepBehindALargeOneStarts)
{
  FleetWorld world(1);
  world.Run(Millis(1500));
  world.Submit(MakeJob("large", 1, 12000));
  world.Submit(MakeJob("larger", 1, 16000));
  world.Submit(MakeJob("small", 1, 4000));
  world.Run(Millis(200));
  cr_assert_eq(world.Starts("small.0.0.0"), 1);
  cr_assert_eq(world.Starts("larger.0.0.0"), 0);
}
