#include "FleetWorld.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

/**
 * Longest delay between the acknowledgement of a job's cancellation and a start
 * of one of its tasks, as agreed with the users.
 */
constexpr Millis kCancelBound{ 3000 };

/** Returns a world with one idle worker. */
FleetWorld
IdleWorld()
{
  FleetWorld world(1, { 1000, 64000, 0 });
  world.Run(Millis(1500));
  return world;
}

/**
 * Returns the delay from the job's cancellation to the last start of the task;
 * zero if there was no start or an earlier one.
 */
Millis
StartedAfter(const FleetWorld& aWorld, Instant aCancelledAt)
{
  const auto last = aWorld.LastStart("a.0.0.0");
  return last.has_value() && *last > aCancelledAt
           ? std::chrono::duration_cast<Millis>(*last - aCancelledAt)
           : Millis(0);
}

}

// Guards against a late start for a cancelled booking. A task is ordered just
// before its worker stops answering and the leader's host is lost; then the
// cancellation is acknowledged. Seconds later the worker answers again, and the
// side still has the order and a valid lease. Log of the failure: run-ordered
// at 2.5 s, start calls without an answer until 4.9 s, cancellation answered at
// 3.6 s, successful start call at 9.37 s.
Test(CancelledJob, OrderOfALostLeaderExpires)
{
  for (int cancelledAfter = 100; cancelledAfter <= 3100;
       cancelledAfter += 500) {
    for (int unresponsiveFor = 200; unresponsiveFor <= 9000;
         unresponsiveFor += 200) {
      FleetWorld world = IdleWorld();
      world.Host(0).worker_.mute_ = true;
      world.Submit(MakeJob("a", 1, 1000));
      world.Run(Millis(50));
      world.LoseLeader();
      const Instant lostAt = world.Now();
      Instant cancelledAt;
      while (world.Now() < lostAt + Millis(9500)) {
        world.Run(Millis(50));
        if (cancelledAt == Instant() &&
            world.Now() >= lostAt + Millis(cancelledAfter)) {
          world.Cancel("a");
          cancelledAt = world.Now();
        }
        if (world.Now() >= lostAt + Millis(unresponsiveFor)) {
          world.Host(0).worker_.mute_ = false;
        }
      }
      cr_assert_leq(StartedAfter(world, cancelledAt).count(),
                    kCancelBound.count(),
                    "cancelled %d ms after the leader was lost, worker "
                    "unresponsive for %d ms",
                    cancelledAfter,
                    unresponsiveFor);
    }
  }
}

// Guards against starts by a leader that lags seconds behind the table, for
// instance for lack of CPU time. It reads a cancellation long after the
// acknowledgement and meanwhile starts tasks of the job as capacity becomes
// free. Its starts must expire by the time up to which its view of the table is
// current.
Test(CancelledJob, LaggingLeaderStartsNoCancelledTask)
{
  for (int lag = 500; lag <= 8000; lag += 500) {
    for (int capacityAfter = 500; capacityAfter <= 8000; capacityAfter += 500) {
      FleetWorld world = IdleWorld();
      world.Host(0).worker_.taskTime_ = Millis(capacityAfter);
      world.Submit(MakeJob("first", 1, 1000));
      world.Run(Millis(100));
      world.Submit(MakeJob("a", 1, 1000));
      world.leaderLag_ = Millis(lag);
      world.Cancel("a");
      const Instant cancelledAt = world.Now();
      world.Run(Millis(9000));
      cr_assert_leq(StartedAfter(world, cancelledAt).count(),
                    kCancelBound.count(),
                    "leader lag %d ms, room after %d ms",
                    lag,
                    capacityAfter);
    }
  }
}

// Guards against orders that arrive seconds late, after the cancellation of the
// job: delayed in the kernel of an overloaded host, or by a cut that heals
// before the connection ends.
Test(CancelledJob, LateOrderIsNotCarriedOut)
{
  for (int delay = 200; delay <= 8000; delay += 200) {
    FleetWorld world = IdleWorld();
    world.orderDelay_ = Millis(delay);
    world.Submit(MakeJob("a", 1, 1000));
    world.Run(Millis(50));
    world.Cancel("a");
    const Instant cancelledAt = world.Now();
    world.Run(Millis(9000));
    cr_assert_leq(StartedAfter(world, cancelledAt).count(),
                  kCancelBound.count(),
                  "orders %d ms late",
                  delay);
  }
}

// The protection against late starts must not end valid work: an unresponsive
// worker, a lagging leader and late orders delay a job that is not cancelled,
// but the job still runs exactly once.
Test(CancelledJob, JobThatIsNotCancelledRunsOnce)
{
  for (int trouble = 500; trouble <= 6000; trouble += 500) {
    FleetWorld world = IdleWorld();
    world.Host(0).worker_.mute_ = true;
    world.leaderLag_ = Millis(trouble);
    world.orderDelay_ = Millis(trouble / 4);
    world.Submit(MakeJob("a", 1, 1000));
    world.Run(Millis(trouble));
    world.Host(0).worker_.mute_ = false;
    world.leaderLag_ = Millis(0);
    world.orderDelay_ = Millis(0);
    world.Run(Millis(12000));
    cr_assert_eq(
      world.StateOf("a"), JobState::Completed, "faults for %d ms", trouble);
    cr_assert_eq(world.MaxConcurrentRuns(), 1);
  }
}
