#include "Process/StopNotice.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

constexpr Instant kStart{ Micros(1000000000) };
constexpr Instant kDeadline = kStart + Millis(30000);

}

// The balancer sends a health check each second, at any offset to the stop. The
// entry accepts connections until its second "not ready" answer.
Test(StopNotice, ConnectionsAreAcceptedUntilSecondNotReady)
{
  for (int phase = 0; phase < 1000; phase += 50) {
    StopNotice notice;
    notice.OnHealthCheck(true, kStart - Millis(1000 - phase));
    notice.Begin(kStart, kDeadline);
    int notReadyAnswers = 0;
    for (int now = 0; now < 10000; now += 10) {
      if (now % 1000 == phase) {
        cr_assert(notReadyAnswers >= 2 ||
                  notice.AcceptsConnections(kStart + Millis(now)));
        notice.OnHealthCheck(false, kStart + Millis(now));
        ++notReadyAnswers;
      }
    }
    cr_assert_not(notice.AcceptsConnections(kStart + Millis(10000)));
  }
}

// Health checks may be late on a busy machine. The entry waits for the second
// one after the stop signal, for up to five seconds.
Test(StopNotice, LateHealthChecksAreAwaited)
{
  StopNotice notice;
  notice.OnHealthCheck(true, kStart - Millis(100));
  notice.Begin(kStart, kDeadline);
  cr_assert(notice.AcceptsConnections(kStart + Millis(2900)));
  notice.OnHealthCheck(false, kStart + Millis(2900));
  cr_assert(notice.AcceptsConnections(kStart + Millis(4000)));
  notice.OnHealthCheck(false, kStart + Millis(4100));
  cr_assert_not(notice.AcceptsConnections(kStart + Millis(4100)));
}

// A balancer that is gone or was never installed must not delay a stop, and a
// stop must end at its bound.
Test(StopNotice, WaitForTheBalancerIsBounded)
{
  StopNotice gone;
  gone.OnHealthCheck(true, kStart - Millis(100));
  gone.Begin(kStart, kDeadline);
  cr_assert_not(gone.AcceptsConnections(kStart + Millis(5000)));
  StopNotice none;
  none.Begin(kStart, kDeadline);
  cr_assert(none.AcceptsConnections(kStart + Millis(2000)));
  cr_assert_not(none.AcceptsConnections(kStart + Millis(2500)));
  StopNotice bounded;
  bounded.Begin(kStart, kStart + Millis(1000));
  cr_assert_not(bounded.AcceptsConnections(kStart + Millis(1000)));
}
