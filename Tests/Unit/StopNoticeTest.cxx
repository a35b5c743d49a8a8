#include "Process/StopNotice.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

constexpr Instant kStart{ Micros(1000000000) };
constexpr Instant kBound = kStart + Millis(30000);

}

// A balancer asks each second, at whatever moment the stop begins: the entry
// takes callers until it has answered the second time that it is not ready.
Test(StopNotice, CallersAreTakenUntilTheBalancerWasToldTwice)
{
  for (int phase = 0; phase < 1000; phase += 50) {
    StopNotice notice;
    notice.OnAsked(true, kStart - Millis(1000 - phase));
    notice.Begin(kStart, kBound);
    int told = 0;
    for (int now = 0; now < 10000; now += 10) {
      if (now % 1000 == phase) {
        cr_assert(told >= 2 || notice.TakesConnections(kStart + Millis(now)));
        notice.OnAsked(false, kStart + Millis(now));
        ++told;
      }
    }
    cr_assert_not(notice.TakesConnections(kStart + Millis(10000)));
  }
}

// The machine is busy and the balancer's questions come late. The entry waits
// for the second one, however long ago the signal came, up to five seconds.
Test(StopNotice, LateQuestionsAreWaitedFor)
{
  StopNotice notice;
  notice.OnAsked(true, kStart - Millis(100));
  notice.Begin(kStart, kBound);
  cr_assert(notice.TakesConnections(kStart + Millis(2900)));
  notice.OnAsked(false, kStart + Millis(2900));
  cr_assert(notice.TakesConnections(kStart + Millis(4000)));
  notice.OnAsked(false, kStart + Millis(4100));
  cr_assert_not(notice.TakesConnections(kStart + Millis(4100)));
}

// A balancer that is gone must not hold a stop up, nor must one that nobody has
// put in front of the entry; and a stop ends at its bound.
Test(StopNotice, NobodyIsWaitedForWithoutEnd)
{
  StopNotice gone;
  gone.OnAsked(true, kStart - Millis(100));
  gone.Begin(kStart, kBound);
  cr_assert_not(gone.TakesConnections(kStart + Millis(5000)));
  StopNotice none;
  none.Begin(kStart, kBound);
  cr_assert(none.TakesConnections(kStart + Millis(2000)));
  cr_assert_not(none.TakesConnections(kStart + Millis(2500)));
  StopNotice bounded;
  bounded.Begin(kStart, kStart + Millis(1000));
  cr_assert_not(bounded.TakesConnections(kStart + Millis(1000)));
}
