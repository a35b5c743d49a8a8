#include "FleetWorld.h"

#include <criterion/criterion.h>

#include <random>

using namespace cactusrail;

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr unsigned kSeeds = 25;
#else
constexpr unsigned kSeeds = 120;
#endif

/** Applies one random fault or user action. */
void
InjectFault(FleetWorld& aWorld, std::mt19937& aRandom, int aRound)
{
  constexpr std::size_t kHosts = 4;
  const std::size_t host = aRandom() % kHosts;
  switch (aRandom() % 9) {
    case 0:
      aWorld.Cut(host, !aWorld.Host(host).cut_);
      break;
    case 1:
      aWorld.RestartSide(host);
      break;
    case 2:
      aWorld.ChangeLeader();
      break;
    case 3:
      aWorld.Host(host).worker_.Crash("w" + std::to_string(host) + "-" +
                                      std::to_string(aRound + 2));
      break;
    case 4:
      aWorld.storeUnavailable_ = !aWorld.storeUnavailable_;
      break;
    case 5:
      aWorld.Host(host).worker_.taskTime_ = Millis(200 + aRandom() % 4000);
      break;
    default: {
      JobDescription job =
        MakeJob("job" + std::to_string(aRound),
                1 + static_cast<std::uint32_t>(aRandom() % 5),
                static_cast<std::int64_t>(500 + aRandom() % 3000));
      job.priority_ = static_cast<std::int64_t>(aRandom() % 3);
      job.maxAttempts_ = 4;
      aWorld.Submit(job);
      break;
    }
  }
}

}

// Cuts, restarts, leader changes, crashes and table outages in random order: no
// task has two runs at once, no worker exceeds its capacity, and every job ends
// once the faults are over.
Test(FleetRandom, NoDuplicateRunsNoOverloadAndAllJobsEnd)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    FleetWorld world(4, { 4000, 64000, 0 });
    world.Run(Millis(1500));
    constexpr int kRounds = 40;
    for (int round = 0; round < kRounds; ++round) {
      InjectFault(world, random, round);
      world.Run(Millis(20 + random() % 900));
    }
    world.storeUnavailable_ = false;
    for (std::size_t host = 0; host < 4; ++host) {
      world.Cut(host, false);
      world.Host(host).worker_.taskTime_ = Millis(500);
    }
    world.Run(Millis(45000));
    cr_assert_eq(
      world.MaxConcurrentRuns(), 1, "seed %u ran a task twice", seed);
    cr_assert_not(
      world.EverOverCapacity(), "seed %u exceeded the room of a worker", seed);
    for (int round = 0; round < kRounds; ++round) {
      const auto state =
        world.Scheduler().StateOf("job" + std::to_string(round));
      cr_assert(!state.has_value() || IsFinal(*state),
                "seed %u: job%d has not ended",
                seed,
                round);
    }
  }
}
