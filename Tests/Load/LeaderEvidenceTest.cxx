#include "Load/LeaderEvidence.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

constexpr Millis kNoDelay{ 0 };

Instant
At(std::int64_t aMillis)
{
  return Instant(Millis(aMillis));
}

/** Reads version aVersion every 250 ms; each answer takes 10 ms. */
void
Read(LeaderEvidence& aEvidence,
     std::uint64_t aVersion,
     std::int64_t aFrom,
     std::int64_t aTo)
{
  for (std::int64_t sent = aFrom; sent <= aTo; sent += 250) {
    aEvidence.OnRowRead(aVersion, At(sent), At(sent + 10));
  }
}

LeaderEvidence
Observed()
{
  LeaderEvidence evidence;
  evidence.OnLeader(At(1000));
  return evidence;
}

}

Test(LeaderEvidence, LostLeaderIsDetected)
{
  LeaderEvidence evidence = Observed();
  evidence.OnLinkAnswer(At(1100));
  Read(evidence, 5, 1000, 2250);
  cr_expect(evidence.IsLost(At(2260), kNoDelay));
  cr_expect_eq(evidence.RowAge().value().count(), 1240);
  cr_expect_eq(evidence.LinkAge(At(2260)).count(), 1160);
  cr_expect(evidence.LastSign() == At(1100));
}

// Guards against a takeover because of a slow store, which delays the renewals
// of a leader that still answers.
Test(LeaderEvidence, UnchangedRowAloneIsNoEvidence)
{
  LeaderEvidence evidence = Observed();
  Read(evidence, 5, 1000, 4000);
  evidence.OnLinkAnswer(At(3500));
  cr_expect_not(evidence.IsLost(At(4010), kNoDelay));
}

// Guards against a takeover from a leader that this entry alone cannot reach.
Test(LeaderEvidence, SilentLinkAloneIsNoEvidence)
{
  LeaderEvidence evidence = Observed();
  evidence.OnLinkNotOpened();
  for (std::uint64_t version = 5; version < 10; ++version) {
    const std::int64_t from = 1000 + static_cast<std::int64_t>(version) * 600;
    Read(evidence, version, from, from + 500);
    cr_expect_not(evidence.IsLost(At(from + 510), kNoDelay));
  }
}

// Guards against a takeover on the time since the last answer of a store that
// no longer answers.
Test(LeaderEvidence, FailedReadIsNoEvidence)
{
  LeaderEvidence evidence = Observed();
  Read(evidence, 5, 1000, 2000);
  evidence.OnRowReadFailed();
  cr_expect_not(evidence.IsLost(At(9000), kNoDelay));
  evidence.OnRowRead(6, At(9000), At(9010));
  cr_expect_not(evidence.IsLost(At(9010), kNoDelay));
}

// Guards against counting the duration of a slow read as time for which the
// row is known to be unchanged: the answer holds for the time of the request.
Test(LeaderEvidence, SlowReadCountsFromItsRequest)
{
  LeaderEvidence evidence = Observed();
  evidence.OnRowRead(5, At(1000), At(1010));
  evidence.OnRowRead(5, At(1500), At(2800));
  cr_expect_not(evidence.IsLost(At(2800), kNoDelay));
}

// Guards against waiting for the heartbeat after the leader's process has
// ended, when its port refuses connections.
Test(LeaderEvidence, RefusedLinkReplacesSilence)
{
  LeaderEvidence evidence = Observed();
  Read(evidence, 5, 1000, 2250);
  evidence.OnLinkAnswer(At(2000));
  cr_expect_not(evidence.IsLost(At(2260), kNoDelay));
  evidence.OnLinkNotOpened();
  cr_expect(evidence.IsLost(At(2260), kNoDelay));
  evidence.OnLinkAnswer(At(2270));
  cr_expect_not(evidence.IsLost(At(2280), kNoDelay));
}

// Guards against small hosts that take over before larger ones can.
Test(LeaderEvidence, DelayExtendsTheRowAge)
{
  LeaderEvidence evidence = Observed();
  Read(evidence, 5, 1000, 2250);
  cr_expect(evidence.IsLost(At(2260), kNoDelay));
  cr_expect_not(evidence.IsLost(At(2260), Millis(450)));
  Read(evidence, 5, 2500, 2750);
  cr_expect(evidence.IsLost(At(2760), Millis(450)));
}

// Guards against evidence of a former leader that is used against a new one.
Test(LeaderEvidence, NewLeaderStartsAnew)
{
  LeaderEvidence evidence = Observed();
  Read(evidence, 5, 1000, 2250);
  evidence.OnLinkNotOpened();
  cr_expect(evidence.IsLost(At(2260), kNoDelay));
  evidence.OnLeader(At(2260));
  evidence.OnRowRead(6, At(2260), At(2270));
  cr_expect_not(evidence.IsLost(At(2270), kNoDelay));
}
