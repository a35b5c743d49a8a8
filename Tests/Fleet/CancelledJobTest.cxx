#include "FleetWorld.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

/** From the acknowledgement of a cancellation on, no task of the job starts
 * later than this; the users' bound. */
constexpr Millis kCancelBound{ 3000 };

/** A world of one worker that is at rest. */
FleetWorld
RestingWorld()
{
  FleetWorld world(1, { 1000, 64000, 0 });
  world.Run(Millis(1500));
  return world;
}

/** How much later than its job's cancellation the task was last started; zero
 * for never, or before it. */
Millis
StartedAfter(const FleetWorld& aWorld, Instant aCancelledAt)
{
  const auto last = aWorld.LastStart("a.0.0.0");
  return last.has_value() && *last > aCancelledAt
           ? std::chrono::duration_cast<Millis>(*last - aCancelledAt)
           : Millis(0);
}

}

// A booking's quote is ordered just as its worker's port goes mute, and the
// leader's host is lost a moment later. The booking is cancelled, and the
// caller is told so. When the port answers again, seconds later, the side still
// has the order and authority enough, and carries it out: the quote starts for
// nobody. Seen in logs: run-ordered at 2.5 s, start calls without an answer to
// 4.9 s, cancellation answered at 3.6 s, the call that started it at 9.37 s.
Test(CancelledJob, OrderOfALostLeaderIsNotCarriedOutLate)
{
  for (int cancelledAfter = 100; cancelledAfter <= 3100;
       cancelledAfter += 500) {
    for (int muteFor = 200; muteFor <= 9000; muteFor += 200) {
      FleetWorld world = RestingWorld();
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
        if (world.Now() >= lostAt + Millis(muteFor)) {
          world.Host(0).worker_.mute_ = false;
        }
      }
      cr_assert_leq(StartedAfter(world, cancelledAt).count(),
                    kCancelBound.count(),
                    "cancelled %d ms after the leader was lost, worker mute "
                    "for %d ms",
                    cancelledAfter,
                    muteFor);
    }
  }
}

// A leader on a host with too little processor time is seconds behind: it
// reads a cancellation long after its caller was told, and meanwhile starts the
// job's tasks as room comes free. However far behind it is, what it starts it
// must have known of to be wanted not long before.
Test(CancelledJob, LeaderThatIsBehindStartsNothingOfIt)
{
  for (int lag = 500; lag <= 8000; lag += 500) {
    for (int roomAfter = 500; roomAfter <= 8000; roomAfter += 500) {
      FleetWorld world = RestingWorld();
      world.Host(0).worker_.taskTime_ = Millis(roomAfter);
      world.Submit(MakeJob("first", 1, 1000));
      world.Run(Millis(100));
      world.Submit(MakeJob("a", 1, 1000));
      world.leaderLag_ = Millis(lag);
      world.Cancel("a");
      const Instant cancelledAt = world.Now();
      world.Run(Millis(9000));
      cr_assert_leq(StartedAfter(world, cancelledAt).count(),
                    kCancelBound.count(),
                    "leader %d ms behind, room after %d ms",
                    lag,
                    roomAfter);
    }
  }
}

// Orders are held up on their way: in the kernel of a host that is choked, or
// by a cut that heals before the connection ends. They arrive seconds later,
// when the job that they start a task of has been cancelled.
Test(CancelledJob, OrderThatArrivesLateIsNotCarriedOut)
{
  for (int delay = 200; delay <= 8000; delay += 200) {
    FleetWorld world = RestingWorld();
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

// What guards against late starts must not end work: a worker that is mute for
// a while, a leader that is behind and orders that are late delay a job that
// nobody cancelled, and it still runs, once.
Test(CancelledJob, JobThatNobodyCancelledRunsOnceAllTheSame)
{
  for (int trouble = 500; trouble <= 6000; trouble += 500) {
    FleetWorld world = RestingWorld();
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
      world.StateOf("a"), JobState::Completed, "trouble of %d ms", trouble);
    cr_assert_eq(world.MostRunsAtOnce(), 1);
  }
}
