#include "FleetWorld.h"
#include "Seeds.h"

#include <criterion/criterion.h>

#include <random>
#include <string>

using namespace cactusrail;

namespace {

constexpr Millis kLeaseLeft{ 4500 };

/** Two hosts of which the new leader reaches only the second one. */
FleetWorld
SplitWorld()
{
  FleetWorld world(2);
  world.Run(Millis(2000));
  return world;
}

void
TakeOverWithout(FleetWorld& aWorld, std::size_t aHost)
{
  aWorld.TakeOver(kLeaseLeft);
  aWorld.Cut(aHost, true);
  aWorld.Run(Millis(300));
}

void
SetTaskTime(FleetWorld& aWorld, std::size_t aHosts, Millis aTime)
{
  for (std::size_t host = 0; host < aHosts; ++host) {
    aWorld.Host(host).worker_.taskTime_ = aTime;
  }
}

}

// Guards against a second run of a job that is stored after the takeover: the
// former leader starts it on a side that only this leader reaches.
Test(EarlyTakeover, JobsLearnedBeforeFormerLeaseEndWait)
{
  FleetWorld world = SplitWorld();
  SetTaskTime(world, 2, Millis(3000));
  TakeOverWithout(world, 0);
  world.Submit(MakeJob("job", 1, 1000));
  world.Run(Millis(2500));
  cr_assert_eq(world.Host(0).worker_.RunsOf("job.0.0.0"), 1);
  world.Run(Millis(4000));
  cr_expect_leq(world.MaxConcurrentRuns(), 1);
  world.Cut(0, false);
  world.Run(Millis(5000));
  cr_expect_eq(world.Starts("job.0.0.0"), 1);
  cr_expect_eq(world.StateOf("job"), JobState::Completed);
}

// Guards against a second run of a job that was stored before the end of the
// former lease and that the new leader reads later.
Test(EarlyTakeover, JobsReadLateAreKnownToTheFormerLeader)
{
  FleetWorld world = SplitWorld();
  SetTaskTime(world, 2, Millis(6000));
  TakeOverWithout(world, 0);
  world.jobLag_ = Millis(1500);
  world.Run(Millis(3500));
  world.Submit(MakeJob("job", 1, 1000));
  world.Run(Millis(4000));
  cr_assert_eq(world.Host(0).worker_.RunsOf("job.0.0.0"), 1);
  cr_expect_leq(world.MaxConcurrentRuns(), 1);
}

// Guards against jobs that wait although no former leader can know them.
Test(EarlyTakeover, JobsStoredAfterFormerLeaseEndStartAtOnce)
{
  FleetWorld world = SplitWorld();
  TakeOverWithout(world, 0);
  world.Run(kLeaseLeft);
  world.Submit(MakeJob("job", 1, 1000));
  world.Run(Millis(300));
  cr_expect_eq(world.Starts("job.0.0.0"), 1);
}

// Guards against jobs that wait for the end of the former lease although all
// sides have reported and accept no orders of the former leader any more.
Test(EarlyTakeover, JobsStartOnceAllSidesHaveReported)
{
  FleetWorld world = SplitWorld();
  world.TakeOver(kLeaseLeft);
  world.Run(Millis(300));
  world.Submit(MakeJob("job", 1, 1000));
  world.Run(Millis(300));
  cr_expect_eq(world.Starts("job.0.0.0"), 1);
}

// Guards against a second run while a side keeps the first one: the former
// leader renews the side's authority until its lease ends.
Test(EarlyTakeover, SidesAreGivenUpByTheFormerLeaseEnd)
{
  FleetWorld world = SplitWorld();
  SetTaskTime(world, 2, Millis(40000));
  world.Submit(MakeJob("job", 1, 1000));
  world.Run(Millis(500));
  const std::size_t host =
    world.Host(0).worker_.RunsOf("job.0.0.0") == 1 ? 0 : 1;
  TakeOverWithout(world, host);
  world.Run(Millis(25000));
  cr_expect_leq(world.MaxConcurrentRuns(), 1);
  cr_expect_eq(world.Starts("job.0.0.0"), 2);
}

// Guards against a side that forgets the new leader's epoch in a restart and
// accepts orders of the former leader.
Test(EarlyTakeover, RestartedSideAcceptsNoFormerLeader)
{
  FleetWorld world = SplitWorld();
  SetTaskTime(world, 2, Millis(3000));
  world.TakeOver(kLeaseLeft);
  world.Run(Millis(500));
  world.Cut(0, true);
  world.RestartSide(0);
  world.Submit(MakeJob("job", 1, 1000));
  world.Run(Millis(3500));
  cr_expect_leq(world.MaxConcurrentRuns(), 1);
  cr_expect_eq(world.Starts("job.0.0.0"), 1);
}

// Guards against a second run by a side that registers after the takeover and
// does not read the lease: it accepts the former leader.
Test(EarlyTakeover, SideThatRegistersMeanwhileIsWaitedFor)
{
  FleetWorld world = SplitWorld();
  SetTaskTime(world, 2, Millis(3000));
  world.sidesReadLease_ = false;
  world.Deregister(0);
  TakeOverWithout(world, 0);
  world.Register(0);
  world.Run(Millis(1500));
  world.Submit(MakeJob("job", 1, 1000));
  world.Run(Millis(2500));
  cr_expect_leq(world.MaxConcurrentRuns(), 1);
  cr_expect_eq(world.Starts("job.0.0.0"), 1);
}

// Guards against a former leader that gives up a side and starts its tasks
// elsewhere, while the new leader renews the authority of that side.
Test(EarlyTakeover, FormerLeaderGivesNoSideUp)
{
  FleetWorld world = SplitWorld();
  SetTaskTime(world, 2, Millis(40000));
  world.Submit(MakeJob("job", 1, 1000));
  world.Run(Millis(500));
  const std::size_t host =
    world.Host(0).worker_.RunsOf("job.0.0.0") == 1 ? 0 : 1;
  world.Cut(host, true);
  world.Run(Millis(7000));
  world.TakeOver(kLeaseLeft);
  world.CutFromFormer(host, true);
  world.Cut(host, false);
  world.Cut(1 - host, true);
  world.Run(Millis(6000));
  cr_expect_leq(world.MaxConcurrentRuns(), 1);
  cr_expect_eq(world.Starts("job.0.0.0"), 1);
}

// Guards against the acknowledgement of the end of a job that the new leader
// has not read yet: it would start the job again.
Test(EarlyTakeover, EndOfUnreadJobIsNotAcknowledged)
{
  FleetWorld world = SplitWorld();
  SetTaskTime(world, 2, Millis(50));
  TakeOverWithout(world, 0);
  world.jobLag_ = Millis(1000);
  world.Submit(MakeJob("job", 1, 1000));
  world.Run(Millis(100));
  cr_assert_eq(world.Starts("job.0.0.0"), 1);
  world.Cut(0, false);
  world.Run(Millis(3000));
  cr_expect_eq(world.StartsAfterAcknowledgedEnd(), 0);
  cr_expect_eq(world.Starts("job.0.0.0"), 1);
  cr_expect_eq(world.StateOf("job"), JobState::Completed);
}

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr unsigned kSeeds = 25;
#else
constexpr unsigned kSeeds = 200;
#endif

constexpr std::size_t kHosts = 6;
constexpr int kRounds = 50;
constexpr Millis kTimeToEnd{ 60000 };

/** Random jobs and faults while former leaders stay alive. */
class Trial
{
public:
  explicit Trial(unsigned aSeed)
    : random_(aSeed)
    , world_(kHosts, { 4000, 64000, 0 })
  {
    world_.Run(Millis(1500));
    for (round_ = 0; round_ < kRounds; ++round_) {
      Act();
      world_.Run(Millis(20 + Draw(500)));
    }
    EndFaults();
  }

  FleetWorld& World() { return world_; }

  std::string OpenJobs()
  {
    std::string open;
    for (int round = 0; round < kRounds; ++round) {
      const std::string id = NameOf(round);
      const auto state = world_.Scheduler().StateOf(id);
      if (state.has_value() && !IsFinal(*state)) {
        open += id + " ";
      }
    }
    return open;
  }

private:
  static std::string NameOf(int aRound)
  {
    return "job" + std::to_string(aRound);
  }

  unsigned Draw(unsigned aBound)
  {
    return static_cast<unsigned>(random_() % aBound);
  }

  /** Applies one random fault or user action. */
  void Act()
  {
    const std::size_t host = Draw(kHosts);
    switch (Draw(16)) {
      case 0:
      case 1:
        world_.Cut(host, !world_.Host(host).cut_);
        break;
      case 2:
        world_.CutFromFormer(host, !world_.Host(host).cutFromFormer_);
        break;
      case 3:
        world_.RestartSide(host);
        break;
      case 4:
        world_.Host(host).worker_.Crash("w" + std::to_string(host) + "-" +
                                        std::to_string(++incarnation_));
        break;
      case 5:
        world_.jobLag_ = Millis(Draw(2) * Draw(1500));
        world_.storeLatency_ = Millis(Draw(600));
        world_.orderDelay_ = Millis(Draw(2) * Draw(300));
        break;
      case 6:
        ReRegister(host);
        break;
      case 7:
        DisturbFormer();
        break;
      case 8:
      case 9:
        TakeOver();
        break;
      default:
        Submit();
        break;
    }
  }

  /** A side without a link finds its row removed and writes it again. */
  void ReRegister(std::size_t aHost)
  {
    const HostFake& host = world_.Host(aHost);
    if (!host.linked_ && host.worker_.runs_.empty() &&
        host.worker_.ends_.empty()) {
      world_.Deregister(aHost);
      world_.Run(Millis(Draw(300)));
      world_.Register(aHost);
    }
  }

  void DisturbFormer()
  {
    if (FormerLeaderFake* former = world_.Former()) {
      former->continuesAt_ = world_.Now() + Millis(Draw(4000));
      former->pause_ = Millis(Draw(2) * Draw(700));
      former->cutFromStore_ = Draw(2) == 0;
    }
  }

  /** The replaced leader may be alive, and may reach other hosts. */
  void TakeOver()
  {
    if (world_.Former() != nullptr) {
      return;
    }
    world_.lostWriteIsApplied_ = Draw(2) == 0;
    world_.TakeOver(Millis(1000 + Draw(4500)));
    for (std::size_t host = 0; host < kHosts; ++host) {
      world_.Cut(host, Draw(3) == 0);
      world_.CutFromFormer(host, Draw(4) == 0);
    }
    if (Draw(2) == 0) {
      DisturbFormer();
    }
  }

  void Submit()
  {
    const std::uint32_t tasks = 1 + Draw(4);
    JobDescription job = MakeJob(
      NameOf(round_), tasks, 500 + static_cast<std::int64_t>(Draw(2000)));
    job.priority_ = Draw(3);
    for (std::size_t host = 0; host < kHosts; ++host) {
      world_.Host(host).worker_.taskTime_ = Millis(50 + Draw(4000));
    }
    world_.Submit(job);
  }

  /** Runs until all jobs have ended, or for kTimeToEnd. */
  void EndFaults()
  {
    world_.jobLag_ = Millis(0);
    for (std::size_t host = 0; host < kHosts; ++host) {
      world_.Cut(host, false);
      world_.Host(host).worker_.taskTime_ = Millis(500);
    }
    const Instant until = world_.Now() + kTimeToEnd;
    do {
      world_.Run(Millis(1000));
    } while (world_.Now() < until && !OpenJobs().empty());
  }

  std::mt19937 random_;
  FleetWorld world_;
  int round_ = 0;
  int incarnation_ = 1;
};

}

// Guards against tasks that run twice or are lost while former leaders send
// orders beside a new one, cut off from hosts or the store, frozen or slow.
Test(EarlyTakeoverRandom, FormerLeadersStartNoTaskTwice)
{
  const auto [first, last] = SeedsOrUpTo(kSeeds);
  cr_assert_leq(first, last);
  for (unsigned seed = first; seed <= last; ++seed) {
    Trial trial(seed);
    FleetWorld& world = trial.World();
    cr_expect_leq(
      world.MaxConcurrentRuns(), 1, "seed %u ran a task twice", seed);
    cr_expect_eq(world.StartsAfterAcknowledgedEnd(),
                 0,
                 "seed %u started done tasks again: %s",
                 seed,
                 world.StartedAfterAcknowledgedEnd().c_str());
    cr_expect_not(
      world.EverOverCapacity(), "seed %u exceeded the room of a worker", seed);
    const std::string open = trial.OpenJobs();
    cr_expect(open.empty(), "seed %u: not ended: %s", seed, open.c_str());
  }
}
