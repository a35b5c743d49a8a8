#include "FleetWorld.h"

#include <criterion/criterion.h>

#include <string>

using namespace cactusrail;

namespace {

constexpr std::size_t kHosts = 4;
constexpr std::uint32_t kTasks = 8;

std::string
TaskOf(std::uint32_t aIndex)
{
  return TaskKey{ "watch", 0, 0, aIndex }.Text();
}

/**
 * Fleet with a full load of long-running tasks, whose workers answer the starts
 * after 1.1 s. The leader is suspended from its orders on.
 */
class SuspendedFleet
{
public:
  explicit SuspendedFleet(Millis aFor)
    : world_(kHosts, { 16000, 512000, 0 })
  {
    world_.Run(Millis(1500));
    for (std::size_t host = 0; host < kHosts; ++host) {
      world_.Host(host).worker_.lasting_ = { "watch" };
      world_.Host(host).worker_.mute_ = true;
    }
    JobDescription job = MakeJob("watch", kTasks, 8000);
    job.steps_.front().longRunning_ = true;
    world_.Submit(job);
    world_.Run(Millis(20));
    world_.SuspendLeader(aFor);
    world_.Run(Millis(1100));
    for (std::size_t host = 0; host < kHosts; ++host) {
      world_.Host(host).worker_.mute_ = false;
    }
  }

  FleetWorld world_;
};

}

// Guards against a leader that takes reports which waited for it for silence of
// the workers, and stops runs that started long ago.
Test(BusyLeader, KeepsRunsWhoseStartsWereAnsweredMeanwhile)
{
  SuspendedFleet fleet(Millis(3500));
  fleet.world_.Run(Millis(10000));
  cr_assert_eq(fleet.world_.EventCount("run-stopped"), 0);
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    cr_assert_eq(fleet.world_.Starts(TaskOf(i)), 1);
  }
}

// Guards against a start that is never withdrawn from a worker that does not
// answer it.
Test(BusyLeader, WithdrawsStartsThatWorkersDoNotAnswer)
{
  // Starts that expire later than a worker may take to answer.
  FleetBounds bounds;
  bounds.cancelBound_ = Millis(10000);
  bounds.evacuationBound_ = Millis(10000);
  FleetWorld world(2, { 16000, 512000, 0 }, bounds);
  world.Run(Millis(1500));
  world.Host(0).worker_.mute_ = true;
  world.Host(1).worker_.mute_ = true;
  world.Submit(MakeJob("quote", 1, 8000));
  world.Run(Millis(4500));
  cr_assert_eq(world.EventDetails("run-stopped"),
               "run 1: its start got no answer; ");
}
