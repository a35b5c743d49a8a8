#include "Load/LocalPacing.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <vector>

using namespace cactusrail;

namespace {

Instant
At(std::int64_t aMillis)
{
  return Instant(Millis(aMillis));
}

/** Side with a leader that answers each report at once until the test says
 * otherwise. The worker is read every 250 ms. */
struct Side
{
  Side()
  {
    pacing_.OnLinked();
    Run(1000, 0.5);
  }

  /** Advances the time, with the same pressure in each reading. */
  void Run(std::int64_t aMillis, double aPressure)
  {
    Run(aMillis, [aPressure](std::int64_t) { return aPressure; });
  }

  void Run(std::int64_t aMillis,
           const std::function<double(std::int64_t)>& aPressure)
  {
    for (const std::int64_t until = now_ + aMillis; now_ < until; now_ += 250) {
      pacing_.OnTime(At(now_));
      Note();
      pacing_.OnReading({ At(now_), aPressure(now_), pace_ });
      Note();
      if (reports_) {
        pacing_.OnReportSent(At(now_), showsPaces_);
      }
      if (answers_) {
        pacing_.OnOrders(At(now_ - answerDelay_), At(now_));
        Note();
      }
    }
  }

  void Note()
  {
    if (pacing_.Cap() > cap_) {
      raisedAt_.push_back(now_);
    }
    cap_ = pacing_.Cap();
    lowestCap_ = std::min(lowestCap_, cap_);
  }

  LocalPacing pacing_;
  std::int64_t now_ = 100000;
  /** Highest pace that the leader ordered. */
  std::uint32_t pace_ = 100;
  bool answers_ = true;
  bool showsPaces_ = true;
  bool reports_ = true;
  /** Age of the report that the leader answers. */
  std::int64_t answerDelay_ = 0;
  std::uint32_t cap_ = kUncappedPace;
  std::uint32_t lowestCap_ = kUncappedPace;
  std::vector<std::int64_t> raisedAt_;
};

}

// Guards against a side that overrides a leader that is in charge.
Test(LocalPacing, ResponsiveLeaderIsNotOverridden)
{
  Side side;
  side.Run(5000, 3);
  cr_assert_not(side.pacing_.InForce());
  cr_assert_eq(side.lowestCap_, kUncappedPace);
}

// Guards against harm beside a worker that gives no reason for a report: orders
// that are missing for a second suffice.
Test(LocalPacing, MissingOrdersPutTheCapInForce)
{
  Side side;
  side.reports_ = false;
  side.answers_ = false;
  side.Run(1500, 1.5);
  cr_assert(side.pacing_.InForce());
  cr_assert_lt(side.pacing_.Cap(), kUncappedPace);
}

// Guards against harm while there is no leader: the cap is in force one second
// after the last orders, is halved and is 0 before users count a violation.
Test(LocalPacing, BackfillIsPausedWithoutALeader)
{
  Side side;
  side.answers_ = false;
  side.Run(1000, 0.9);
  cr_assert_eq(side.pacing_.Cap(), kUncappedPace);
  side.Run(500, 3);
  cr_assert(side.pacing_.InForce());
  cr_assert_eq(side.pacing_.Cap(), 50);
  side.Run(500, 3);
  cr_assert_eq(side.pacing_.Cap(), 25);
  side.Run(750, 3);
  cr_assert_eq(side.pacing_.Cap(), 0);
  cr_assert_eq(side.pacing_.Reductions(), 4);
}

// Guards against a first reduction without effect: the leader had ordered a low
// pace, and half of full speed is above it.
Test(LocalPacing, FirstReductionHalvesThePaceInForce)
{
  Side side;
  side.pace_ = 30;
  side.answers_ = false;
  side.Run(1250, 0.9);
  side.Run(250, 1.5);
  cr_assert_eq(side.pacing_.Cap(), 15);
}

// Guards against a longer wait than necessary: a pressure above 1 counts from
// its first reading, also while the leader was still in charge.
Test(LocalPacing, OverloadBeforeTheLossOfTheLeaderCounts)
{
  Side side;
  side.answers_ = false;
  side.Run(1750, 2);
  cr_assert_eq(side.pacing_.Cap(), 0);
}

// Guards against a link that is gone but whose loss only shows in missing
// orders.
Test(LocalPacing, LostLinkPutsTheCapInForceAtOnce)
{
  Side side;
  side.pacing_.OnLinkLost();
  side.answers_ = false;
  side.Run(250, 1.5);
  cr_assert_eq(side.pacing_.Cap(), 50);
}

// Guards against a leader that sends orders but is behind: they answer reports
// that are more than a second old.
Test(LocalPacing, SlowLeaderCountsAsAbsent)
{
  Side side;
  side.answerDelay_ = 2000;
  side.Run(3500, 1.5);
  cr_assert(side.pacing_.InForce());
  cr_assert_eq(side.pacing_.Cap(), 0);
  side.Run(3000, 0.9);
  cr_assert(side.pacing_.InForce());
}

// Guards against backfill that resumes at once: the cap rises by one step a
// second, and only while the pressure is below 0.75.
Test(LocalPacing, CapRisesInSteps)
{
  Side side;
  side.answers_ = false;
  side.Run(3500, 3);
  cr_assert_eq(side.pacing_.Cap(), 0);
  side.Run(5000, 0.8);
  cr_assert_eq(side.pacing_.Cap(), 0);
  side.Run(1250, 0.5);
  cr_assert_eq(side.pacing_.Cap(), 10);
  side.Run(1000, 0.5);
  cr_assert_eq(side.pacing_.Cap(), 20);
  side.Run(9000, 0.5);
  cr_assert_eq(side.pacing_.Cap(), kUncappedPace);
}

// Load: a reading that fluctuates around the limit, without a leader. Guards
// against an oscillating cap: it rises at most once per second.
Test(LocalPacing, FluctuatingReadingsCauseNoOscillation)
{
  for (const double low : { 0.4, 0.74, 0.8, 0.99 }) {
    for (const std::int64_t period : { 500, 1000, 1500, 2000, 3000 }) {
      Side side;
      side.answers_ = false;
      side.Run(60000, [low, period](std::int64_t aNow) {
        return aNow % period < period / 2 ? 1.05 : low;
      });
      for (std::size_t i = 1; i < side.raisedAt_.size(); ++i) {
        cr_assert_geq(side.raisedAt_[i] - side.raisedAt_[i - 1], 1000);
      }
      cr_assert(low < 0.75 || side.raisedAt_.empty());
    }
  }
}

// The worker does not answer for 3 s. Guards against a cap that changes without
// a reading, or that takes the silence for a recovery.
Test(LocalPacing, SilentWorkerChangesNothing)
{
  Side side;
  side.answers_ = false;
  side.Run(3500, 3);
  side.Run(250, 0.5);
  for (std::int64_t end = side.now_ + 3000; side.now_ < end; side.now_ += 250) {
    side.pacing_.OnTime(At(side.now_));
    cr_assert_eq(side.pacing_.Cap(), 0);
  }
  side.Run(250, 0.5);
  cr_assert_eq(side.pacing_.Cap(), 0);
  side.Run(1000, 0.5);
  cr_assert_eq(side.pacing_.Cap(), 10);
}

// Load: a leader that comes back. Guards against backfill at the paces of
// orders that were given before the leader saw the paces in force.
Test(LocalPacing, CapStaysUntilTheLeaderAnsweredAReportWithThePaces)
{
  Side side;
  side.answers_ = false;
  side.Run(3500, 3);
  side.pacing_.OnLinkLost();
  side.Run(1000, 3);
  side.pacing_.OnLinked();
  side.pacing_.OnOrders(At(side.now_ - 5000), At(side.now_));
  cr_assert(side.pacing_.InForce(), "orders that answer no report");
  side.answers_ = true;
  side.showsPaces_ = false;
  side.Run(1000, 3);
  cr_assert(side.pacing_.InForce(), "reports that do not show the paces");
  side.showsPaces_ = true;
  side.Run(250, 3);
  cr_assert_not(side.pacing_.InForce());
  cr_assert_eq(side.pacing_.Cap(), kUncappedPace);
  side.Run(5000, 3);
  cr_assert_not(side.pacing_.InForce());
}

// Guards against a cap from the last absence of the leader that applies at once
// in the next one.
Test(LocalPacing, NextAbsenceBeginsWithoutACap)
{
  Side side;
  side.answers_ = false;
  side.Run(3500, 3);
  side.answers_ = true;
  side.Run(1000, 0.9);
  side.answers_ = false;
  side.Run(2000, 0.9);
  cr_assert(side.pacing_.InForce());
  cr_assert_eq(side.pacing_.Cap(), kUncappedPace);
}
