// Payouts are parked as "may have run" although their worker never failed: the
// entry that renews their grants is killed, and its successor reaches the
// worker after the last grant has expired. With real processes the adoption
// took 14.7 s from the kill, but grants lasted 15 s from the last renewal, so
// that "lease-expired" came first. Work that must not run twice then waits for
// an operator.

#include "../Golden/WorkWorld.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

constexpr WorkWorld::Micros64 kMillisecond = 1000;
constexpr WorkWorld::Micros64 kSecond = 1000 * kMillisecond;
/** Earliest time at which the owner is killed; its beats are 3 s apart. */
constexpr WorkWorld::Micros64 kEarliestKill = 4 * kSecond;
constexpr WorkWorld::Micros64 kBeatInterval = 3 * kSecond;
constexpr WorkWorld::Micros64 kKillStep = 250 * kMillisecond;
/** Duration of a freeze; users report that their machines freeze for 3 s. */
constexpr WorkWorld::Micros64 kFreezeDuration = 3 * kSecond;
/** Upper bound and step of the delay between the kill and the freeze of the
 * adopting entry. */
constexpr WorkWorld::Micros64 kMaxFreezeDelay = 15 * kSecond;
constexpr WorkWorld::Micros64 kFreezeDelayStep = 500 * kMillisecond;
/** Duration of the tasks, longer than any takeover. */
constexpr std::uint64_t kRunMs = 40000;

/** Two entries and a worker with a payout batch that was created through e1. */
struct OwnerLossCluster
{
  OwnerLossCluster()
    : world_(WorkWorld::Options{})
  {
    world_.AddWorker("w1", "r1", { 4000, 100000, 0 });
    world_.AddEntry("e1");
    world_.Run(200 * kMillisecond);
    world_.AddEntry("e2");
    VerbRequest request;
    request.verb_ = "create";
    request.operationId_ = "create-payouts";
    request.spec_.id_ = "payouts";
    request.spec_.tenant_ = "clerk";
    request.spec_.program_ = "payouts";
    request.spec_.tasks_ = 2;
    request.spec_.declared_ = { 1000, 100, 0 };
    request.spec_.declaredRunMs_ = kRunMs;
    world_.Ask("e1", request);
  }

  bool TranscriptContains(const std::string& aText) const
  {
    return world_.Transcript().find(aText) != std::string::npos;
  }

  WorkWorld world_;
};

}

// The owner is killed at each time between two of its beats; nothing else
// fails.
Test(OwnerLoss, TasksContinueWhenTheOwnerIsKilledBetweenTwoBeats)
{
  for (WorkWorld::Micros64 after = 0; after < kBeatInterval;
       after += kKillStep) {
    OwnerLossCluster cluster;
    cluster.world_.Run(kEarliestKill + after);
    cluster.world_.KillEntry("e1");
    cluster.world_.Run(2 * kRunMs * kMillisecond);
    cr_assert(cluster.world_.Broken().empty());
    cr_assert_not(cluster.TranscriptContains("lease-expired"),
                  "killed %lld ms after a beat",
                  static_cast<long long>(after / kMillisecond));
    cr_assert(cluster.TranscriptContains("e2 writes cell/dc1/r1 done/payouts"));
  }
}

// In addition the entry that takes over freezes for three seconds at each time
// of its wait, as on a busy host or with late answers of the table.
Test(OwnerLoss, TasksContinueWhenTheAdoptingEntryFreezes)
{
  for (WorkWorld::Micros64 after = 0; after < kBeatInterval;
       after += kBeatInterval / 3) {
    for (WorkWorld::Micros64 wait = 0; wait < kMaxFreezeDelay;
         wait += kFreezeDelayStep) {
      OwnerLossCluster cluster;
      cluster.world_.Run(kEarliestKill + after);
      cluster.world_.KillEntry("e1");
      cluster.world_.Run(wait);
      cluster.world_.FreezeEntry("e2");
      cluster.world_.Run(kFreezeDuration);
      cluster.world_.ThawEntry("e2");
      cluster.world_.Run(2 * kRunMs * kMillisecond);
      cr_assert(cluster.world_.Broken().empty());
      cr_assert_not(cluster.TranscriptContains("lease-expired"),
                    "killed %lld ms after a beat, frozen from %lld ms after "
                    "the kill on",
                    static_cast<long long>(after / kMillisecond),
                    static_cast<long long>(wait / kMillisecond));
      cr_assert(
        cluster.TranscriptContains("e2 writes cell/dc1/r1 done/payouts"));
    }
  }
}
