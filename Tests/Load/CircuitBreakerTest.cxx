#include "Load/CircuitBreaker.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <vector>

using namespace cactusrail;

namespace {

using State = CircuitBreaker::State;

Instant
At(std::int64_t aMs)
{
  return Instant(Millis(1000000 + aMs));
}

/** Returns a breaker that opened at 600 ms. */
CircuitBreaker
OpenBreaker()
{
  CircuitBreaker breaker;
  breaker.OnSuccess(At(0));
  breaker.OnFailure(At(50), At(50));
  breaker.OnFailure(At(600), At(600));
  return breaker;
}

}

// Guards against requests that wait for a store that is known to be away.
Test(CircuitBreaker, OpensAfterHalfASecondWithoutSuccess)
{
  CircuitBreaker breaker;
  breaker.OnSuccess(At(0));
  breaker.OnFailure(At(100), At(100));
  breaker.OnFailure(At(590), At(590));
  cr_assert_not(breaker.Rejects(), "failing for 490 ms only");
  breaker.OnFailure(At(610), At(610));
  cr_assert(breaker.Rejects());
  cr_assert_eq(breaker.Failures(), 3);
}

// Guards against rejections because one answer was lost: a call that timed out
// after 0.9 s is a single failure.
Test(CircuitBreaker, OneFailureDoesNotOpenIt)
{
  CircuitBreaker breaker;
  breaker.OnFailure(At(0), At(900));
  cr_assert_not(breaker.Rejects());
  breaker.OnFailure(At(100), At(1000));
  cr_assert(breaker.Rejects());
}

// Guards against rejections while a store that loses one answer in three still
// serves requests: other calls succeeded while the lost ones were in flight.
Test(CircuitBreaker, SuccessInBetweenKeepsItClosed)
{
  CircuitBreaker breaker;
  for (int i = 0; i < 50; ++i) {
    const std::int64_t start = 400L * i;
    breaker.OnFailure(At(start - 900), At(start));
    cr_assert_not(breaker.Rejects(), "round %d", i);
    breaker.OnSuccess(At(start + 200));
  }
  breaker.OnFailure(At(19500), At(20300));
  breaker.OnFailure(At(19500), At(20301));
  cr_assert(breaker.Rejects(), "700 ms after the last success");
}

// Guards against a store that is asked too often while it is away, or too
// seldom to notice that it is back.
Test(CircuitBreaker, ProbesAtDoublingIntervals)
{
  CircuitBreaker breaker = OpenBreaker();
  std::vector<std::int64_t> sent;
  for (std::int64_t ms = 600; ms < 12000; ms += 10) {
    if (breaker.TakeProbe(At(ms))) {
      sent.push_back(ms);
      cr_assert(breaker.Current() == State::HalfOpen);
      cr_assert_not(breaker.TakeProbe(At(ms + 9000)), "one probe at a time");
      breaker.OnProbeFailure(At(ms));
    }
  }
  const std::vector<std::int64_t> expected{ 900,  1500, 2700, 4700,
                                            6700, 8700, 10700 };
  cr_assert(sent == expected);
}

// Guards against a breaker that stays open, and against long intervals that
// remain from an earlier outage.
Test(CircuitBreaker, SuccessOfAnyCallClosesIt)
{
  CircuitBreaker breaker = OpenBreaker();
  cr_assert(breaker.TakeProbe(At(900)));
  breaker.OnProbeFailure(At(900));
  breaker.OnSuccess(At(550));
  cr_assert(breaker.Rejects(), "a success from before it opened");
  breaker.OnSuccess(At(1000));
  cr_assert_not(breaker.Rejects());
  breaker.OnProbeFailure(At(1100));
  cr_assert_not(breaker.Rejects(), "the end of a late probe");
  breaker.OnFailure(At(2000), At(2000));
  breaker.OnFailure(At(2500), At(2500));
  cr_assert(breaker.TakeProbe(At(2800)), "the first interval again");
}

// Guards against callers that return before the next probe, or all at once.
Test(CircuitBreaker, RetryAfterIsSpreadAfterTheNextProbe)
{
  CircuitBreaker breaker = OpenBreaker();
  std::set<Millis> delays;
  for (int i = 0; i < 30; ++i) {
    delays.insert(breaker.RetryAfter(At(600)));
  }
  cr_assert_geq(delays.begin()->count(), 300);
  cr_assert_leq(delays.rbegin()->count(), 600);
  cr_assert_geq(delays.size(), 25);
  cr_assert_geq(breaker.RetryAfter(At(899)).count(), 300, "never less");
}

// Guards against a load of returning callers that the store cannot take when it
// is back. The store is unavailable for 4 s; 17 callers a second arrive and
// return after Retry-After, up to four times.
Test(CircuitBreaker, CallersReturnAfterAnOutageOfFourSeconds)
{
  struct Caller
  {
    std::int64_t at_;
    int attempts_;
  };
  CircuitBreaker breaker;
  std::vector<Caller> callers;
  for (std::int64_t ms = 0; ms < 8000; ms += 59) {
    callers.push_back({ ms, 0 });
  }
  std::size_t served = 0;
  std::size_t lost = 0;
  std::size_t most = 0;
  for (std::int64_t ms = 0; ms < 14000; ++ms) {
    const bool available = ms < 1000 || ms >= 5000;
    if (breaker.TakeProbe(At(ms))) {
      available ? breaker.OnSuccess(At(ms)) : breaker.OnProbeFailure(At(ms));
    }
    std::size_t now = 0;
    for (Caller& caller : callers) {
      if (caller.at_ / 100 == ms / 100) {
        ++now;
      }
      if (caller.at_ != ms) {
        continue;
      }
      if (!breaker.Rejects() && available) {
        breaker.OnSuccess(At(ms));
        ++served;
      } else if (++caller.attempts_ > 4) {
        ++lost;
      } else {
        // An entry whose breaker is closed sends the constant delay.
        caller.at_ +=
          breaker.Rejects() ? breaker.RetryAfter(At(ms)).count() : 1000;
        breaker.OnFailure(At(ms), At(ms));
      }
    }
    most = std::max(most, now);
  }
  cr_assert_eq(served + lost, callers.size());
  cr_assert_eq(lost, 0, "%zu callers gave up", lost);
  cr_assert_leq(most, 14, "%zu callers in 100 ms", most);
}
