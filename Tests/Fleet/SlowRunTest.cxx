#include "FleetWorld.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

constexpr Millis kUsualTime{ 1000 };

/** Runs a job of one task a host, on hosts of which the last takes aSlowTime
 * for a task, and returns the number of runs that were stopped. */
std::size_t
StopsWithOneSlowHost(Millis aSlowTime)
{
  constexpr std::size_t kHosts = 4;
  FleetWorld world(kHosts, { 1000, 64000, 0 });
  for (std::size_t i = 0; i < kHosts; ++i) {
    world.Host(i).worker_.taskTime_ = i + 1 < kHosts ? kUsualTime : aSlowTime;
  }
  world.Run(Millis(1500));
  JobDescription job = MakeJob("job", kHosts, 1000);
  job.steps_.front().estimateMs_ = kUsualTime.count();
  world.Submit(job);
  world.Run(Millis(12000));
  cr_assert_eq(world.StateOf("job"), JobState::Completed);
  return world.EventCount("run-stopped");
}

}

// Guards against moves that take longer than the rest of the run: a stop takes
// a second here, and the task begins again elsewhere.
Test(SlowRun, StaysWhereTheRestIsShorterThanAMove)
{
  cr_assert_eq(StopsWithOneSlowHost(Millis(3900)), 0);
}

// Guards against a run that keeps its job waiting on a very slow worker.
Test(SlowRun, MovesOffAVerySlowWorker)
{
  cr_assert_eq(StopsWithOneSlowHost(Millis(10000)), 1);
}
