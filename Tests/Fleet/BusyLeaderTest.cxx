#include "FleetWorld.h"

#include <criterion/criterion.h>

#include <string>

using namespace cactusrail;

namespace {

constexpr std::size_t kHosts = 4;
/** Long-running tasks of half a host each, which fill all hosts. */
constexpr std::uint32_t kTasks = 2 * kHosts;

/** Makes all workers close calls without an answer, or answer again. */
void
SetMute(FleetWorld& aWorld, bool aMute)
{
  for (std::size_t host = 0; host < kHosts; ++host) {
    aWorld.Host(host).worker_.mute_ = aMute;
  }
}

}

// Guards against a leader that takes reports which waited for it for silence of
// the workers, and stops runs that started long ago.
Test(BusyLeader, KeepsRunsWhoseStartsWereAnsweredMeanwhile)
{
  FleetWorld world(kHosts, { 16000, 512000, 0 });
  world.Run(Millis(1500));
  for (std::size_t host = 0; host < kHosts; ++host) {
    world.Host(host).worker_.lasting_ = { "watch" };
  }
  JobDescription job = MakeJob("watch", kTasks, 8000);
  job.steps_.front().longRunning_ = true;
  SetMute(world, true);
  world.Submit(job);
  world.Run(Millis(20));
  // Longer than a worker may take to answer a start. The sides report the
  // starts without answers first, and the runs after 1.1 s.
  world.SuspendLeader(Millis(3500));
  world.Run(Millis(1100));
  SetMute(world, false);
  world.Run(Millis(10000));
  cr_assert_eq(world.EventCount("run-stopped"), 0);
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    cr_assert_eq(world.Starts("watch.0.0." + std::to_string(i)), 1);
  }
}

// Guards against a start that is never withdrawn from a worker that does not
// answer it.
Test(BusyLeader, WithdrawsStartsThatWorkersDoNotAnswer)
{
  // By the default bounds, the side withdraws the start before its leader does.
  FleetBounds bounds;
  bounds.cancelBound_ = Millis(10000);
  bounds.evacuationBound_ = Millis(10000);
  FleetWorld world(kHosts, { 16000, 512000, 0 }, bounds);
  world.Run(Millis(1500));
  SetMute(world, true);
  world.Submit(MakeJob("quote", 1, 8000));
  world.Run(Millis(4500));
  cr_assert_eq(world.EventDetails("run-stopped"),
               "run 1: its start got no answer; ");
}
