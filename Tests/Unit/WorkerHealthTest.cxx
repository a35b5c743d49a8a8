#include "Version/WorkerHealth.h"
#include "Version/RecoveryRateLimiter.h"
#include "Version/UsageEstimate.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

Instant
At(std::int64_t aMillis)
{
  return Instant(Millis(aMillis));
}

}

// A worker that fails every task is always idle, so it would receive every next
// task and fail the whole queue.
Test(WorkerHealth, WorkerThatFailsEveryTaskIsCordonedAndProbed)
{
  WorkerHealth health(WorkerHealth::Rules{});
  for (const char* job : { "a", "b", "c" }) {
    cr_assert_not(health.IsCordoned("bad", At(0)));
    health.OnFailure("bad", job, At(0));
  }
  cr_assert(health.IsCordoned("bad", At(100)));
  cr_assert_not(health.IsParked("a"));
  cr_assert_not(health.IsCordoned("bad", At(5100)), "a probe is due");
  health.OnStart("bad", At(5100));
  cr_assert(health.IsCordoned("bad", At(5200)), "one probe only");
  health.OnFailure("bad", "a", At(5300));
  cr_assert(health.IsCordoned("bad", At(14000)),
            "the pause before the next probe has doubled");
  health.OnSuccess("bad", "a");
  cr_assert_not(health.IsCordoned("bad", At(14001)));
}

// A job that fails everywhere must not cause the cordoning of each worker on
// which it is tried.
Test(WorkerHealth, ImpossibleJobIsParkedAndItsWorkersAreNotCordoned)
{
  WorkerHealth health(WorkerHealth::Rules{});
  for (const char* worker : { "one", "two", "three" }) {
    health.OnFailure(worker, "impossible", At(0));
  }
  cr_assert(health.IsParked("impossible"));
  cr_assert_neq(health.ParkedReason("impossible").find("one"),
                std::string::npos);
  health.OnFailure("one", "a", At(1));
  health.OnFailure("one", "b", At(1));
  cr_assert_not(health.IsCordoned("one", At(2)),
                "two failures of its own do not cordon a worker");
  health.Unpark("impossible");
  cr_assert_not(health.IsParked("impossible"));
}

// A job must not be parked for failures that a faulty worker caused.
Test(WorkerHealth, FailuresOnACordonedWorkerDoNotCountAgainstTheJob)
{
  WorkerHealth health(WorkerHealth::Rules{});
  health.OnFailure("bad", "unlucky", At(0));
  health.OnFailure("bad", "b", At(0));
  health.OnFailure("bad", "c", At(0));
  health.OnFailure("other", "unlucky", At(1));
  health.OnFailure("third", "unlucky", At(1));
  cr_assert_not(health.IsParked("unlucky"));
}

Test(WorkerHealth, JobThatSucceededIsNeverParked)
{
  WorkerHealth health(WorkerHealth::Rules{});
  health.OnSuccess("one", "job");
  for (const char* worker : { "one", "two", "three", "four" }) {
    health.OnFailure(worker, "job", At(0));
  }
  cr_assert_not(health.IsParked("job"));
}

Test(UsageEstimate, StartsConservativeAndLearns)
{
  UsageEstimate usage;
  const Resources declared{ 1000, 1000, 1 };
  const ExpectedUsage first = usage.Expect("p", declared, 1000);
  cr_assert_gt(first.resources_.milliCpus_, 1000);
  cr_assert_float_eq(first.confidence_, 0, 1e-9);
  for (int report = 0; report < 40; ++report) {
    usage.OnUsage("p", declared, Resources{ 400, 700, 1 });
    usage.OnFinished("p", 1000, 5000);
  }
  const ExpectedUsage later = usage.Expect("p", declared, 1000);
  cr_assert_lt(later.resources_.milliCpus_, 500);
  cr_assert_lt(later.resources_.memoryMb_, 800);
  cr_assert_gt(later.runMs_, 4000);
  cr_assert_eq(later.resources_.accelerators_, 1);
  cr_assert_gt(later.confidence_, 0.9);
}

// After an outage of the table service, a thousand processes that send their
// deferred writes at once would overload it again.
Test(RecoveryRateLimiter, ProcessesResumeSpreadOutAndAtALowRate)
{
  int first = 0;
  int inFirstSecond = 0;
  for (std::uint64_t process = 0; process < 1000; ++process) {
    RecoveryRateLimiter pacing(RecoveryRateLimiter::Rules{});
    pacing.OnOutage(At(0), process * 2003);
    for (std::int64_t time = 0; time < 1000; ++time) {
      if (pacing.TryTake(At(time))) {
        first += time < 10 ? 1 : 0;
        ++inFirstSecond;
        pacing.OnSuccess(At(time));
      }
    }
  }
  cr_assert_leq(first, 20);
  cr_assert_leq(inFirstSecond, 2000);
}

Test(RecoveryRateLimiter, RateGrowsOnSuccessUntilLimitingEnds)
{
  RecoveryRateLimiter pacing(RecoveryRateLimiter::Rules{});
  cr_assert(pacing.TryTake(At(0)));
  pacing.OnFailure(At(0), 0);
  cr_assert(pacing.IsLimited());
  for (std::int64_t time = 0; time < 10000 && pacing.IsLimited(); time += 10) {
    if (pacing.TryTake(At(time))) {
      pacing.OnSuccess(At(time));
    }
  }
  cr_assert_not(pacing.IsLimited());
}
