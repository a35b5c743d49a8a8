// Payouts stand still until an operator lets them go on, although their worker
// never failed: the entry that renewed their grants was killed, and the entry
// that took its cell over reached the worker after the last grant had run out.
// On processes the adoption came 14.7 s after the kill; grants lasted 15 s from
// the renewal before it, so "lease-expired" came first and the work, which must
// not run twice, was parked as "may have run".

#include "../Golden/WorkWorld.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

constexpr WorkWorld::Micros64 kMillisecond = 1000;
constexpr WorkWorld::Micros64 kSecond = 1000 * kMillisecond;
/** When the owner is killed at first; its beats are 3 s apart. */
constexpr WorkWorld::Micros64 kFirstKill = 4 * kSecond;
constexpr WorkWorld::Micros64 kBeat = 3 * kSecond;
constexpr WorkWorld::Micros64 kKillStep = 250 * kMillisecond;
/** The users' machines freeze for 3 s (their description of troubles). */
constexpr WorkWorld::Micros64 kStandstill = 3 * kSecond;
/** Moments of the takeover at which the adopting entry stands still. */
constexpr WorkWorld::Micros64 kLatestStandstill = 15 * kSecond;
constexpr WorkWorld::Micros64 kStandstillStep = 500 * kMillisecond;
/** The work outlasts every takeover. */
constexpr std::uint64_t kRunMs = 40000;

/** Two entries and a worker with a payout batch that e1 started. */
struct Scene
{
  Scene()
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

  bool Says(const std::string& aWords) const
  {
    return world_.Transcript().find(aWords) != std::string::npos;
  }

  WorkWorld world_;
};

}

// The owner dies at each moment between two of its beats, nothing else fails.
Test(OwnerLoss, WorkRunsOnWhereverBetweenTwoBeatsTheOwnerDies)
{
  for (WorkWorld::Micros64 after = 0; after < kBeat; after += kKillStep) {
    Scene scene;
    scene.world_.Run(kFirstKill + after);
    scene.world_.KillEntry("e1");
    scene.world_.Run(2 * kRunMs * kMillisecond);
    cr_assert(scene.world_.Broken().empty());
    cr_assert_not(scene.Says("lease-expired"),
                  "killed %lld ms after a beat",
                  static_cast<long long>(after / kMillisecond));
    cr_assert(scene.Says("e2 writes cell/dc1/r1 done/payouts"));
  }
}

// The entry that takes over stands still for three seconds, at each moment of
// its wait: its host is busy, or answers of the table come late.
Test(OwnerLoss, WorkRunsOnAlthoughTheAdoptingEntryStandsStill)
{
  for (WorkWorld::Micros64 after = 0; after < kBeat; after += kBeat / 3) {
    for (WorkWorld::Micros64 wait = 0; wait < kLatestStandstill;
         wait += kStandstillStep) {
      Scene scene;
      scene.world_.Run(kFirstKill + after);
      scene.world_.KillEntry("e1");
      scene.world_.Run(wait);
      scene.world_.FreezeEntry("e2");
      scene.world_.Run(kStandstill);
      scene.world_.ThawEntry("e2");
      scene.world_.Run(2 * kRunMs * kMillisecond);
      cr_assert(scene.world_.Broken().empty());
      cr_assert_not(scene.Says("lease-expired"),
                    "killed %lld ms after a beat, stood still from %lld ms on",
                    static_cast<long long>(after / kMillisecond),
                    static_cast<long long>(wait / kMillisecond));
      cr_assert(scene.Says("e2 writes cell/dc1/r1 done/payouts"));
    }
  }
}
