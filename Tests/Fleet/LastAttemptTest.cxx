#include "FleetWorld.h"

#include <criterion/criterion.h>

#include <string>

using namespace cactusrail;

namespace {

constexpr std::int64_t kHostCpuMilli = 16000;
constexpr const char* kLabel = "b";

/** Time after which users count a job as lost that has nothing running although
 * there is capacity for it. */
constexpr Millis kLost{ 3000 };

JobDescription
MakeLabelled(const std::string& aId,
             std::uint32_t aTasks,
             std::int64_t aCpuMilli)
{
  JobDescription job = MakeJob(aId, aTasks, aCpuMilli);
  job.steps_.front().requiredLabel_ = kLabel;
  return job;
}

/**
 * Two workers with the label and one without. One of the two is full with a
 * long-running task, and the other one is idle and fails what it starts.
 */
struct FaultyWorld
{
  FaultyWorld()
  {
    for (std::size_t host = 0; host < 2; ++host) {
      world_.Host(host).labels_ = { kLabel };
      world_.Host(host).worker_.lasting_ = { "watch" };
    }
    world_.Run(Millis(1500));
    JobDescription watch = MakeLabelled("watch", 1, kHostCpuMilli - 1000);
    watch.steps_.front().longRunning_ = true;
    world_.Submit(watch);
    world_.Run(Millis(500));
    cr_assert_eq(world_.Starts("watch.0.0.0"), 1);
    Idle().failsRuns_ = true;
  }

  WorkerFake& Idle()
  {
    return world_.Host(world_.Host(0).worker_.runs_.empty() ? 0 : 1).worker_;
  }

  /** Runs until the first attempt of the job has failed, and repairs the
   * worker. */
  void FailFirstAttempt(const JobDescription& aJob)
  {
    WorkerFake& idle = Idle();
    world_.Submit(aJob);
    for (int step = 0; world_.EventCount("run-failed") == 0; ++step) {
      cr_assert_lt(step, 500, "No run has failed.");
      world_.Run(Millis(10));
    }
    idle.failsRuns_ = false;
  }

  FleetWorld world_{ 3, { kHostCpuMilli, 64000, 0 } };
};

}

// Guards against a job that waits for ever beside an idle worker: its task has
// failed there once, and the only other worker that may run it stays full.
Test(LastAttempt, StartsWhereItFailedWhenTheOtherWorkersStayFull)
{
  FaultyWorld faulty;
  faulty.FailFirstAttempt(MakeLabelled("quote", 1, 8000));
  faulty.world_.Run(kLost);
  cr_assert_eq(faulty.world_.Starts("quote.0.0.0"), 2);
  faulty.world_.Run(Millis(2000));
  cr_assert_eq(faulty.world_.StateOf("quote"), JobState::Completed);
}

// The same for a gang.
Test(LastAttempt, GangStartsWhereItFailedWhenTheOtherWorkersStayFull)
{
  FaultyWorld faulty;
  faulty.world_.gangsEndTogether_ = true;
  JobDescription gang = MakeLabelled("gang", 2, 4000);
  gang.steps_.front().gang_ = true;
  faulty.FailFirstAttempt(gang);
  faulty.world_.Run(kLost);
  cr_assert_eq(faulty.world_.Starts("gang.0.0.0"), 2);
  cr_assert_eq(faulty.world_.Starts("gang.0.0.1"), 2);
}

// The same for backfill, which has a limit on its wait of its own.
Test(LastAttempt, BackfillStartsWhereItFailedWhenTheOtherWorkersStayFull)
{
  FaultyWorld faulty;
  JobDescription fill = MakeLabelled("fill", 1, 8000);
  fill.steps_.front().backfill_ = true;
  fill.steps_.front().memoryMb_ = 63950;
  faulty.FailFirstAttempt(fill);
  faulty.world_.Run(kLost);
  cr_assert_eq(faulty.world_.Starts("fill.0.0.0"), 2);
}

// Guards against work that waits behind a last attempt on a worker which the
// last attempt does not trust: other jobs of the same size, and of a lower
// priority.
Test(LastAttempt, HoldsUpNoOtherWorkOnAWorkerThatItDoesNotTrust)
{
  FaultyWorld faulty;
  faulty.FailFirstAttempt(MakeLabelled("quote", 1, 8000));
  faulty.world_.Submit(MakeLabelled("similar", 1, 8000));
  JobDescription lower = MakeLabelled("lower", 1, 8000);
  lower.priority_ = 2;
  faulty.world_.Submit(lower);
  faulty.world_.Run(Millis(500));
  cr_assert_eq(faulty.world_.Starts("quote.0.0.0"), 1);
  cr_assert_eq(faulty.world_.Starts("similar.0.0.0"), 1);
  cr_assert_eq(faulty.world_.Starts("lower.0.0.0"), 1);
}

// Guards against a job that fails although it could be done: its last attempt
// waits while a worker that it trusts is busy for a moment.
Test(LastAttempt, WaitsForATrustedWorkerThatIsBusy)
{
  FleetWorld world(2, { kHostCpuMilli, 64000, 0 });
  world.Run(Millis(1500));
  world.Host(0).worker_.taskTime_ = Millis(2500);
  world.Host(1).worker_.taskTime_ = Millis(2500);
  world.Submit(MakeJob("busy", 1, kHostCpuMilli));
  world.Run(Millis(300));
  const std::size_t busy = world.Host(0).worker_.runs_.empty() ? 1 : 0;
  WorkerFake& faulty = world.Host(1 - busy).worker_;
  faulty.taskTime_ = Millis(1000);
  faulty.failing_ = { "quote" };
  world.Submit(MakeJob("quote", 1, 8000));
  world.Run(Millis(200));
  cr_assert_eq(faulty.started_.size(), 1);
  world.Run(Millis(6000));
  cr_assert_eq(world.StateOf("quote"), JobState::Completed);
}
