#include "Request/Routing.h"
#include "Request/RetryBudget.h"
#include "Request/ServiceSides.h"

#include <criterion/criterion.h>

#include <array>
#include <map>
#include <random>
#include <vector>

using namespace cactusrail;

namespace {

Instant
At(std::int64_t aMillis)
{
  return Instant(Millis(aMillis));
}

RunnerReport
Report(std::uint32_t aBusy, std::int64_t aMeasuredMs)
{
  return RunnerReport{ 8, aBusy, 0, At(aMeasuredMs) };
}

/** Number of times that each runner is chosen if nothing is sent. */
std::map<Router::Runner, int>
Choices(const Router& aRouter, Instant aNow)
{
  std::mt19937_64 random(7);
  std::map<Router::Runner, int> chosen;
  for (int choice = 0; choice < 1000; ++choice) {
    ++chosen[*aRouter.Choose({}, random(), aNow)];
  }
  return chosen;
}

}

// Guards against requests that wait although slots are free, because the entry
// doesn't count its own sends and keeps sending a burst to the runner that was
// idle in the last heartbeat until the next one.
Test(Routing, OwnSendsCountBeforeTheNextReport)
{
  Router router(Router::Rules{});
  const std::array runners{ router.Add(true, 8), router.Add(true, 8) };
  router.OnReport(runners[0], Report(0, 0), At(500));
  router.OnReport(runners[1], Report(4, 0), At(500));
  std::mt19937_64 random(1);
  std::map<Router::Runner, int> sent;
  for (int request = 0; request < 12; ++request) {
    const Router::Runner runner = *router.Choose({}, random(), At(600));
    router.OnSent(runner, At(600));
    ++sent[runner];
  }
  cr_assert_leq(sent[runners[0]], 8);
  cr_assert_geq(sent[runners[1]], 4);
}

// Guards against counting own attempts twice, once in the runner's report of a
// second ago and once locally: the runner would look twice as full, and
// requests would go to runners where they wait.
Test(Routing, ReportDoesNotCountOwnSendsTwice)
{
  Router router(Router::Rules{});
  const Router::Runner runner = router.Add(true, 8);
  for (int request = 0; request < 5; ++request) {
    router.OnSent(runner, At(100));
  }
  router.OnReport(runner, Report(5, 1000), At(2000));
  cr_assert_float_eq(router.EstimatedLoad(runner, At(2000)), 5, 1e-9);
}

// Guards against all entries sending to the one runner that a heartbeat reports
// as idle, which would be overloaded until the next heartbeat.
Test(Routing, EntriesWithTheSameViewSpread)
{
  Router router(Router::Rules{});
  for (std::uint32_t busy = 0; busy < 10; ++busy) {
    const Router::Runner runner = router.Add(true, 8);
    router.OnReport(runner, Report(busy == 0 ? 0 : 3, 0), At(500));
  }
  for (const auto& [runner, count] : Choices(router, At(600))) {
    cr_assert_leq(count, 450, "runner %u got %d of 1000", runner, count);
  }
}

Test(Routing, SameDataCentreIsPreferredWithFreeCapacity)
{
  Router router(Router::Rules{});
  const Router::Runner near = router.Add(true, 8);
  const Router::Runner far = router.Add(false, 8);
  cr_assert_eq(Choices(router, At(1))[near], 1000);
  for (int request = 0; request < 8; ++request) {
    router.OnSent(near, At(2));
  }
  cr_assert_eq(Choices(router, At(3))[far], 1000);
}

Test(Routing, ExcludedAndRemovedRunnersAreNeverChosen)
{
  Router router(Router::Rules{});
  const std::array runners{ router.Add(true, 8), router.Add(true, 8) };
  router.Remove(runners[0]);
  cr_assert_eq(Choices(router, At(1)).count(runners[0]), 0);
  cr_assert_not(router.Choose({ &runners[1], 1 }, 1, At(1)).has_value());
  const Router::Runner again = router.Add(true, 8);
  cr_assert_eq(again, runners[0]);
  cr_assert_float_eq(router.EstimatedLoad(again, At(1)), 0, 1e-9);
}

// Guards against a runner that refuses every request immediately, therefore
// always looks idle and attracts all requests, each of which then has a failed
// attempt.
Test(Routing, FailingRunnerIsEjectedAndProbedOnce)
{
  Router router(Router::Rules{});
  std::vector<Router::Runner> runners;
  runners.reserve(5);
  for (int count = 0; count < 5; ++count) {
    runners.push_back(router.Add(true, 8));
  }
  const Router::Runner bad = runners[2];
  for (int failure = 0; failure < 5; ++failure) {
    router.OnSent(bad, At(10));
    router.OnFailure(bad, At(10));
  }
  cr_assert_eq(Choices(router, At(500)).count(bad), 0);
  cr_assert_gt(Choices(router, At(1100))[bad], 0);
  router.OnSent(bad, At(1100));
  cr_assert_eq(Choices(router, At(1110)).count(bad), 0, "one probe at a time");
  router.OnAnswer(bad, Micros(20000), At(1120));
  cr_assert_gt(Choices(router, At(1130))[bad], 0);
}

Test(Routing, FleetThatFailsAsAWholeStaysInUse)
{
  Router router(Router::Rules{});
  for (int count = 0; count < 10; ++count) {
    const Router::Runner runner = router.Add(true, 8);
    for (int failure = 0; failure < 10; ++failure) {
      router.OnSent(runner, At(10));
      router.OnFailure(runner, At(10));
    }
  }
  cr_assert_geq(Choices(router, At(100)).size(), 7);
}

// Runners fail for a minute. Guards against three attempts per request, whose
// triple load would prolong the outage after its cause is removed.
Test(RetryBudget, OutageIsNotAmplified)
{
  RetryBudget budget(RetryBudget::Rules{});
  int retries = 0;
  for (std::int64_t millis = 0; millis < 60000; ++millis) {
    budget.OnRequest(At(millis));
    retries += budget.TryTake(At(millis)) ? 1 : 0;
    retries += budget.TryTake(At(millis)) ? 1 : 0;
  }
  cr_assert_leq(retries, 60000 / 10 + 60 * 2 + 20);
  cr_assert_geq(retries, 60000 / 10);
}

Test(RetryBudget, ReturnsTimeOfNextRetry)
{
  RetryBudget budget(RetryBudget::Rules{});
  while (budget.TryTake(At(1))) {
  }
  const Instant next = budget.NextAt(At(1));
  cr_assert_gt(next.time_since_epoch().count(),
               At(1).time_since_epoch().count());
  cr_assert(budget.TryTake(next));
}

namespace {

HeartbeatMessage
Heartbeat(const std::string& aSide, std::uint64_t aIncarnation)
{
  HeartbeatMessage heartbeat;
  heartbeat.sideId_ = aSide;
  heartbeat.service_ = "pricing";
  heartbeat.state_ = SideState::Ready;
  heartbeat.upstreamIncarnation_ = aIncarnation;
  heartbeat.slots_ = 8;
  return heartbeat;
}

}

// Guards against overload of a restarted upstream: late answers of its previous
// incarnation would free slots that they don't use in the new one.
Test(ServiceSides, RestartedUpstreamStartsAfresh)
{
  ServiceSides sides("dc1");
  sides.Observe(Heartbeat("s1", 1), At(9000), At(0));
  const auto old = sides.Choose({}, 1, At(5), At(5));
  cr_assert(old.has_value());
  sides.OnSent(*old, At(10));
  sides.Observe(Heartbeat("s1", 2), At(9000), At(20));
  sides.Observe(Heartbeat("s2", 1), At(9000), At(20));
  const auto restarted = sides.Choose({ { "s2", 1 } }, 1, At(25), At(25));
  cr_assert(restarted.has_value() && restarted->incarnation_ == 2);
  for (int request = 0; request < 8; ++request) {
    sides.OnSent(*restarted, At(30));
    sides.OnAnswer(*old, Millis(30), At(40));
  }
  for (std::uint64_t draw = 1; draw <= 50; ++draw) {
    const auto next = sides.Choose({}, draw, At(50), At(50));
    cr_assert(next.has_value() && next->sideId_ == "s2");
  }
  // The old incarnation was tried; the new one may still be chosen.
  const auto again =
    sides.Choose({ { "s1", 1 }, { "s2", 1 } }, 1, At(50), At(50));
  cr_assert(again.has_value() && again->sideId_ == "s1");
}

Test(ServiceSides, LeavingSideGetsNothingNew)
{
  ServiceSides sides("dc1");
  sides.Observe(Heartbeat("s1", 1), At(9000), At(0));
  const auto choice = sides.Choose({}, 1, At(5), At(5));
  cr_assert(choice.has_value());
  HeartbeatMessage goodbye = Heartbeat("s1", 1);
  goodbye.state_ = SideState::NoUpstream;
  sides.Observe(goodbye, At(9000), At(10));
  cr_assert_not(sides.Choose({}, 1, At(20), At(20)).has_value());
  sides.OnFailure(*choice, At(30));
}
