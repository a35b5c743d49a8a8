#include "Process/LeaderLease.h"
#include "FleetWorld.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

LeaderLease
MakeLease(const std::string& aNode)
{
  return LeaderLease({ aNode, aNode + "-1", aNode + ":1" });
}

/** Table that holds only the leader row. */
struct Table
{
  LeaderRow row_;

  bool Write(LeaderLease& aLease, Instant aNow)
  {
    if (aLease.RowVersion() != row_.version_) {
      aLease.OnConflict(aNow);
      return false;
    }
    row_.record_ = aLease.Wanted();
    ++row_.version_;
    return true;
  }
};

/** Executes the steps of the lease from aFrom until aTo; the table always
 * answers. */
void
RunSteps(LeaderLease& aLease,
         Table& aTable,
         std::int64_t aFrom,
         std::int64_t aTo)
{
  for (std::int64_t now = aFrom; now < aTo; now += 50) {
    switch (aLease.Next(At(now))) {
      case LeaseStep::Nothing:
        break;
      case LeaseStep::Read:
        aLease.OnRead(aTable.row_, At(now), At(now));
        break;
      case LeaseStep::Write:
        if (aTable.Write(aLease, At(now))) {
          aLease.OnWritten(aTable.row_.version_, At(now));
        }
        break;
    }
  }
}

}

Test(LeaderLease, FirstEntryLeadsAndOthersFollow)
{
  Table table;
  LeaderLease first = MakeLease("a");
  LeaderLease second = MakeLease("b");
  RunSteps(first, table, 1000, 2000);
  RunSteps(second, table, 1000, 2000);
  cr_assert(first.IsLeader(At(2000)));
  cr_assert_not(second.Holds());
  cr_assert_eq(second.Leader().node_, "a");
}

// Guards against a leader that is frozen for some seconds and still leads on
// resume, although another entry has taken over.
Test(LeaderLease, FrozenLeaderDoesNotLeadOnResume)
{
  Table table;
  LeaderLease first = MakeLease("a");
  LeaderLease second = MakeLease("b");
  RunSteps(first, table, 1000, 2000);
  RunSteps(second, table, 1000, 9000);
  cr_assert(second.IsLeader(At(9000)));
  cr_assert_not(first.IsLeader(At(9000)));
  cr_assert_eq(second.Epoch(), 2);
  RunSteps(first, table, 9000, 10000);
  cr_assert_not(first.Holds());
}

// Guards against two concurrent leaders, for a leader that freezes at any time.
Test(LeaderLease, NoTwoConcurrentLeaders)
{
  for (std::int64_t freeze = 1500; freeze < 6000; freeze += 130) {
    Table table;
    LeaderLease first = MakeLease("a");
    LeaderLease second = MakeLease("b");
    for (std::int64_t now = 1000; now < 16000; now += 50) {
      if (now < freeze) {
        RunSteps(first, table, now, now + 50);
      }
      RunSteps(second, table, now, now + 50);
      cr_assert_not(first.IsLeader(At(now)) && second.IsLeader(At(now)));
    }
    cr_assert(second.IsLeader(At(15999)));
  }
}

// Guards against a change of epoch after an outage of the table. During the
// outage no entry can take over, so the leader continues under its epoch.
Test(LeaderLease, TableOutageDoesNotChangeLeader)
{
  Table table;
  LeaderLease first = MakeLease("a");
  RunSteps(first, table, 1000, 2000);
  for (std::int64_t now = 2000; now < 9000; now += 50) {
    if (first.Next(At(now)) != LeaseStep::Nothing) {
      first.OnNotWritten(At(now));
    }
  }
  cr_assert_not(first.IsLeader(At(9000)));
  cr_assert(first.Holds());
  RunSteps(first, table, 9000, 10000);
  cr_assert(first.IsLeader(At(10000)));
  cr_assert_eq(first.Epoch(), 1);
}

// Guards against a takeover that is not detected, because its write takes
// effect and the answer is lost.
Test(LeaderLease, TakeoverWithoutAnswerIsDetectedByRead)
{
  Table table;
  LeaderLease lease = MakeLease("a");
  cr_assert_eq(lease.Next(At(1000)), LeaseStep::Read);
  lease.OnRead(table.row_, At(1000), At(1000));
  cr_assert_eq(lease.Next(At(1000)), LeaseStep::Write);
  table.Write(lease, At(1000));
  lease.OnUnknownOutcome(At(2000));
  cr_assert_not(lease.IsLeader(At(2000)));
  RunSteps(lease, table, 2500, 3500);
  cr_assert(lease.IsLeader(At(3500)));
}

Test(LeaderLease, PlannedStopHandsOverAtOnce)
{
  Table table;
  LeaderLease first = MakeLease("a");
  LeaderLease second = MakeLease("b");
  RunSteps(first, table, 1000, 2000);
  RunSteps(second, table, 1000, 2000);
  first.StepDown();
  cr_assert_not(first.IsLeader(At(2000)));
  RunSteps(first, table, 2000, 2200);
  cr_assert(first.SteppedDown());
  RunSteps(second, table, 2200, 3500);
  cr_assert(second.IsLeader(At(3500)));
}

// Guards against a restarted leader that waits for its own old lease. No other
// process listens at its address, so it can take over at once.
Test(LeaderLease, RestartedLeaderReplacesItself)
{
  Table table;
  LeaderLease first = MakeLease("a");
  RunSteps(first, table, 1000, 2000);
  LeaderLease again({ "a", "a-2", "a:1" });
  RunSteps(again, table, 2200, 2500);
  cr_assert(again.IsLeader(At(2500)));
  cr_assert_eq(again.Epoch(), 2);
}

// Guards against a leader that alone has lost the table and keeps leading. It
// yields to an entry that reaches the table and sends no more orders, unless
// its own renewal is applied first.
Test(LeaderLease, LeaderWithoutTableYieldsToEntryWithTable)
{
  Table table;
  LeaderLease first = MakeLease("a");
  LeaderLease second = MakeLease("b");
  RunSteps(first, table, 1000, 2000);
  RunSteps(second, table, 1000, 2000);
  first.Yield(At(2000));
  cr_assert_not(first.IsLeader(At(2000)));
  second.OnYield(first.RowVersion(), At(2000));
  RunSteps(second, table, 2000, 2300);
  cr_assert(second.IsLeader(At(2300)));
  RunSteps(first, table, 2300, 5000);
  cr_assert_not(first.Holds());
}

// Guards against a leader on a host with an eighth of a processor, which falls
// seconds behind after a power failure. Such a host may reach the table first
// when all hosts start within 0.3 s, and must lead only without a larger host.
Test(LeaderLease, LargerHostAcquiresFreeLease)
{
  Table table;
  LeaderLease small({ "a", "a-1", "a:1", 0.12 });
  LeaderLease large({ "b", "b-1", "b:1", 0.5 });
  RunSteps(small, table, 1000, 1300);
  RunSteps(large, table, 1300, 1400);
  cr_assert(large.IsLeader(At(1400)));
  RunSteps(small, table, 1300, 2500);
  cr_assert_not(small.IsLeader(At(2500)));

  Table alone;
  LeaderLease only({ "c", "c-1", "c:1", 0.12 });
  RunSteps(only, alone, 1000, 2000);
  cr_assert(only.IsLeader(At(2000)));
}

// Guards against two leaders for half a second, and one task on two workers: an
// unresponsive table makes the leader yield while its renewal is in flight. The
// renewal succeeds, and the other entry must not use the earlier yield.
Test(LeaderLease, RenewalInFlightInvalidatesYield)
{
  Table table;
  LeaderLease first = MakeLease("a");
  LeaderLease second = MakeLease("b");
  RunSteps(first, table, 1000, 2000);
  RunSteps(second, table, 1000, 2000);
  std::int64_t now = 2000;
  while (first.Next(At(now)) != LeaseStep::Write) {
    now += 50;
  }
  const std::uint64_t yielded = first.RowVersion();
  first.Yield(At(now));
  cr_assert(table.Write(first, At(now)));
  second.OnYield(yielded, At(now));
  RunSteps(second, table, now, now + 300);
  first.OnWritten(table.row_.version_, At(now + 300));
  cr_assert_not(first.IsLeader(At(now + 300)) &&
                second.IsLeader(At(now + 300)));
  cr_assert(first.IsLeader(At(now + 300)) || second.IsLeader(At(now + 300)));
}

// Guards against a leader that never renews and is never replaced, because
// repeated yields postpone its renewal.
Test(LeaderLease, RepeatedYieldsDoNotPostponeRenewal)
{
  Table table;
  LeaderLease first = MakeLease("a");
  RunSteps(first, table, 1000, 2000);
  first.Yield(At(2000));
  for (std::int64_t now = 2000; now < 5000; now += 100) {
    if (!first.IsLeader(At(now))) {
      first.Yield(At(now));
    }
    RunSteps(first, table, now, now + 100);
  }
  cr_assert(first.IsLeader(At(5000)));
}

Test(LeaderLease, YieldedLeaderContinuesWithoutTakeover)
{
  Table table;
  LeaderLease first = MakeLease("a");
  RunSteps(first, table, 1000, 2000);
  first.Yield(At(2000));
  RunSteps(first, table, 2000, 5000);
  cr_assert(first.IsLeader(At(5000)));
  cr_assert_eq(first.Epoch(), 1);
}

namespace {

LeaderLease
MakeEarlyLease(const std::string& aNode, FeatureSwitch aSwitch)
{
  LeaderLease::Identity self{ aNode, aNode + "-1", aNode + ":1" };
  self.earlyTakeover_ = aSwitch;
  return LeaderLease(self);
}

/** Leader "a" renews and answers until 3000; follower "b" observes that. */
struct Pair
{
  Table table_;
  LeaderLease first_;
  LeaderLease second_;

  explicit Pair(FeatureSwitch aSwitch)
    : first_(MakeEarlyLease("a", aSwitch))
    , second_(MakeEarlyLease("b", aSwitch))
  {
    Renew(1000, 3000);
  }

  void Renew(std::int64_t aFrom, std::int64_t aTo)
  {
    for (std::int64_t now = aFrom; now < aTo; now += 50) {
      RunSteps(first_, table_, now, now + 50);
      RunSteps(second_, table_, now, now + 50);
      second_.OnLeaderAnswer(At(now));
    }
  }

  /** Runs the follower alone and returns when it leads. */
  std::int64_t TimeOfTakeover()
  {
    std::int64_t now = 3000;
    for (; now < 20000 && !second_.IsLeader(At(now)); now += 50) {
      RunSteps(second_, table_, now, now + 50);
    }
    return now;
  }
};

}

// Guards against 5.5 s without a leader after the loss of its host.
Test(LeaderLease, LostLeaderIsReplacedEarly)
{
  Pair pair(FeatureSwitch::On);
  const std::int64_t at = pair.TimeOfTakeover();
  cr_expect_leq(at, 4500);
  cr_expect_eq(pair.second_.Takeover(), LeaseTakeover::Early);
  // The former leader may lead until its lease ends.
  cr_expect(pair.first_.IsLeader(At(at)));
  cr_expect_not(pair.first_.IsLeader(pair.second_.FormerLeaseEnd()));
}

// Guards against a former lease that counts from the takeover or ends with it:
// FormerLeaseEnd() bounds the leadership of a former leader that is alive and
// cut off from the table, whenever that happens.
Test(LeaderLease, FormerLeaderStopsByFormerLeaseEnd)
{
  for (std::int64_t cut = 3000; cut < 3700; cut += 50) {
    Pair pair(FeatureSwitch::On);
    pair.Renew(3000, cut);
    for (std::int64_t now = cut; now < 6000; now += 50) {
      RunSteps(pair.second_, pair.table_, now, now + 50);
      if (pair.first_.Next(At(now)) != LeaseStep::Nothing) {
        pair.first_.OnNotWritten(At(now));
      }
    }
    cr_assert(pair.second_.IsLeader(At(6000)));
    cr_expect(pair.first_.IsLeader(At(6000)));
    cr_expect_not(pair.first_.IsLeader(pair.second_.FormerLeaseEnd()));
    // The follower reads every 250 ms.
    cr_expect(pair.second_.FormerLeaseEnd() <= At(cut + 250 + 5660));
  }
}

// Guards against a changed behavior of fleets that do not use the feature.
Test(LeaderLease, LeaseExpiresBeforeTakeoverWithoutTheFeature)
{
  for (const FeatureSwitch off : { FeatureSwitch::Off, FeatureSwitch::Auto }) {
    Pair pair(off);
    cr_expect_geq(pair.TimeOfTakeover(), 8000);
    cr_expect_eq(pair.second_.Takeover(), LeaseTakeover::Expired);
  }
}

// Guards against a feature set to "auto" that stays off with workers that
// announce their start time.
Test(LeaderLease, ProtocolInTheRowEnablesEarlyTakeover)
{
  Pair pair(FeatureSwitch::Auto);
  cr_expect_not(pair.second_.EarlyTakeoverEnabled());
  pair.first_.SetWorkerProtocol(WorkerProtocol::WithStartTime);
  pair.Renew(3000, 5000);
  cr_expect(pair.second_.EarlyTakeoverEnabled());
}

// Guards against a takeover from a leader whose renewals are only delayed: its
// late renewal makes the write fail, and the evidence starts anew.
Test(LeaderLease, RenewalDefeatsEarlyTakeover)
{
  Pair pair(FeatureSwitch::On);
  std::int64_t now = 3000;
  while (pair.second_.Next(At(now)) != LeaseStep::Write) {
    pair.second_.OnRead(pair.table_.row_, At(now), At(now));
    now += 50;
  }
  RunSteps(pair.first_, pair.table_, now, now + 50);
  cr_expect_not(pair.table_.Write(pair.second_, At(now)));
  RunSteps(pair.second_, pair.table_, now, now + 600);
  cr_expect_not(pair.second_.Holds());
  cr_expect_eq(pair.table_.row_.record_.node_, "a");
}

// Guards against a leader that starts old work although the leader before the
// last one may still lead: the last one took over early, and then stepped down,
// yielded or restarted within that lease.
Test(LeaderLease, FormerLeaseIsInherited)
{
  for (const std::string how : { "steps down", "yields", "restarts" }) {
    Pair pair(FeatureSwitch::On);
    const std::int64_t at = pair.TimeOfTakeover();
    const Instant end = pair.second_.FormerLeaseEnd();
    LeaderLease third = MakeEarlyLease("c", FeatureSwitch::On);
    if (how == "restarts") {
      third = LeaderLease({ "b", "b-2", "b:1" });
    }
    RunSteps(third, pair.table_, at + 50, at + 100);
    if (how == "steps down") {
      pair.second_.StepDown();
      RunSteps(pair.second_, pair.table_, at + 100, at + 200);
    } else if (how == "yields") {
      pair.second_.Yield(At(at + 100));
      third.OnYield(pair.second_.RowVersion(), At(at + 100));
    }
    RunSteps(third, pair.table_, at + 200, at + 1000);
    cr_assert(third.IsLeader(At(at + 1000)), "%s", how.c_str());
    cr_expect(third.FormerLeaseEnd() >= end, "%s", how.c_str());
  }
}

// Guards against a leader that relies on being the only one after another entry
// can have replaced it.
Test(LeaderLease, LeaderKnowsHowLongItIsTheOnlyOne)
{
  Pair pair(FeatureSwitch::On);
  const std::int64_t at = pair.TimeOfTakeover();
  cr_expect_not(pair.first_.OnlyLeaderUntil() > At(at));
  cr_expect(pair.first_.OnlyLeaderUntil() > At(3000 + 500));
  Pair off(FeatureSwitch::Auto);
  cr_expect(off.first_.OnlyLeaderUntil() == Instant::max());
}

// Guards against a wait for former leaders that have stopped.
Test(LeaderLease, FormerLeaseEndsWithTheTakeoverOfAFreeLease)
{
  Table table;
  LeaderLease first = MakeLease("a");
  RunSteps(first, table, 1000, 2000);
  first.StepDown();
  RunSteps(first, table, 2000, 2200);
  LeaderLease second = MakeLease("b");
  RunSteps(second, table, 2200, 3500);
  cr_assert(second.IsLeader(At(3500)));
  cr_expect(second.FormerLeaseEnd() <= At(3500));
  cr_expect_eq(table.row_.record_.formerLeaseMs_, 0);
}

// Guards against a leader on a slow link where another entry has a fast one,
// and against other delays of hosts with an eighth of a processor.
Test(LeaderLease, SlowLinkDelaysAcquisition)
{
  const Millis small = LeaderLease::AcquisitionDelay(0.12, 0);
  cr_expect_eq(small.count(), 475);
  cr_expect(LeaderLease::AcquisitionDelay(0.12, 10) == small);
  cr_expect(LeaderLease::AcquisitionDelay(0.12, 20) == small);
  cr_expect_eq(LeaderLease::AcquisitionDelay(0.5, 0).count(), 0);
  cr_expect_eq(LeaderLease::AcquisitionDelay(0.5, 200).count(), 0);
  cr_expect_eq(LeaderLease::AcquisitionDelay(0.5, 10).count(), 225);
}

// Guards against a handover to a host that is worse in the other respect, which
// would hand the leadership back.
Test(LeaderLease, LeaderYieldsOnlyToAHostThatIsNotWorse)
{
  const auto yields = [](double aProcessors, double aMbps, auto aOther) {
    Table table;
    LeaderLease lease({ "a", "a-1", "a:1", aProcessors, aMbps });
    RunSteps(lease, table, 1000, 3000);
    return lease.ShouldYieldTo(aOther.first, aOther.second);
  };
  cr_expect(yields(0.12, 10, std::pair(0.5, 200.0)));
  cr_expect(yields(0.5, 10, std::pair(0.5, 200.0)), "bandwidth alone");
  cr_expect(yields(0.12, 0, std::pair(0.5, 0.0)), "bandwidth not known");
  cr_expect_not(yields(0.12, 20, std::pair(0.5, 10.0)), "slower link");
  cr_expect_not(yields(0.5, 10, std::pair(0.12, 200.0)), "fewer processors");
  cr_expect_not(yields(0.5, 10, std::pair(0.5, 0.0)), "bandwidth not known");
  cr_expect_not(yields(0.5, 200, std::pair(2.0, 1000.0)), "sufficient");
}
