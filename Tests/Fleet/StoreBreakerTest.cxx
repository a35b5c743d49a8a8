#include "ProcessFleet.h"
#include "Tests/EventLoop.h"

#include <criterion/criterion.h>

#include <QCoreApplication>

#include <algorithm>
#include <optional>
#include <string>

using namespace cactusrail;

namespace {

/** Qt application; each test runs in a separate process and creates one. */
struct Application
{
  int argc_ = 1;
  char name_[5] = "test";
  char* argv_[2] = { name_, nullptr };
  QCoreApplication application_{ argc_, argv_ };
};

FleetFeatures
WithBreaker(FeatureSwitch aSwitch)
{
  FleetFeatures features;
  features.storeBreaker_ = aSwitch;
  return features;
}

/** Waits until the fleet has completed a first job. */
void
WarmUp(ProcessFleet& aFleet)
{
  cr_assert(aFleet.Wait(
    [&aFleet] { return aFleet.Ask(0, "POST", "warm", "1").status_ == 200; }));
  cr_assert(aFleet.Completes(0, "warm"));
}

/** Returns the number of the entry, of two, that does not lead. */
std::size_t
Follower()
{
  return ProcessFleet::Leader() == "entry0" ? 1 : 0;
}

bool
EverStarted(ProcessFleet& aFleet, const std::string& aJob)
{
  const std::vector<std::string>& started = aFleet.Worker(0).started_;
  return std::any_of(
    started.begin(), started.end(), [&aJob](const std::string& aRun) {
      return aRun.starts_with(aJob + ".");
    });
}

void
ExpectAnswersWithoutBreaker(FeatureSwitch aSwitch)
{
  const Application application;
  ProcessFleet fleet(2, 1, 1, WithBreaker(aSwitch));
  WarmUp(fleet);
  const std::size_t entry = Follower();
  MemoryTables::OfTest().silent_ = true;
  cr_assert_eq(fleet.Ask(entry, "POST", "first", "1").status_, 504);
  cr_assert_eq(fleet.Ask(entry, "POST", "second", "1").status_, 504);
  MemoryTables::OfTest().silent_ = false;
  MemoryTables::OfTest().unavailable_ = true;
  const HttpReply reply = fleet.Ask(entry, "POST", "first", "1");
  cr_assert_eq(reply.status_, 503);
  cr_assert_eq(reply.body_, "1000");
}

}

// Guards against callers that wait until their deadline while the store is
// known to be away, and against a job that runs although it was refused to
// every attempt. Without the breaker, the follower passes each request to the
// leader, whose write is unanswered until the deadline.
Test(StoreBreaker, CallersAreRefusedWhileTheStoreIsAway)
{
  const Application application;
  ProcessFleet fleet(2, 1, 1, WithBreaker(FeatureSwitch::On));
  WarmUp(fleet);
  const std::size_t entry = Follower();
  fleet.Worker(0).taskTime_ = Millis(20000);
  cr_assert_eq(fleet.Ask(entry, "POST", "running", "1").status_, 200);
  cr_assert(fleet.Wait([&fleet] { return EverStarted(fleet, "running"); }));
  MemoryTables::OfTest().silent_ = true;
  cr_assert_eq(fleet.Ask(entry, "POST", "first", "1").status_, 504);
  const HttpReply refused = fleet.Ask(entry, "POST", "refused", "1");
  cr_assert_eq(refused.status_, 503);
  cr_assert_geq(std::stoi(refused.body_), 300);
  cr_assert_eq(fleet.Ask(entry, "DELETE", "running").status_, 503);
  MemoryTables::OfTest().silent_ = false;
  cr_assert(fleet.Wait([&fleet, entry] {
    return fleet.Ask(entry, "POST", "later", "1").status_ == 200;
  }));
  cr_assert(fleet.Wait([&fleet] { return EverStarted(fleet, "later"); }));
  cr_assert_eq(fleet.Ask(entry, "GET", "refused").status_, 410);
  cr_assert_not(EverStarted(fleet, "refused"));
  cr_assert_eq(fleet.Ask(entry, "GET", "running").body_, "running");
}

// Guards against a caller that is told "not run" although an earlier attempt of
// its job may be stored: the write was sent, and the store may apply it late.
Test(StoreBreaker, UnknownOutcomeStaysUnknown)
{
  const Application application;
  ProcessFleet fleet(1, 1, 1, WithBreaker(FeatureSwitch::On));
  WarmUp(fleet);
  MemoryTables::OfTest().silent_ = true;
  cr_assert_eq(fleet.Ask(0, "POST", "unknown", "1").status_, 504);
  cr_assert_eq(fleet.Ask(0, "POST", "refused", "1").status_, 503);
  cr_assert_eq(fleet.Ask(0, "POST", "unknown", "1").status_, 504, "silent");
  MemoryTables::OfTest().silent_ = false;
  MemoryTables::OfTest().unavailable_ = true;
  cr_assert_eq(fleet.Ask(0, "POST", "unknown", "1").status_, 504, "refusing");
  cr_assert_eq(fleet.Ask(0, "POST", "refused", "1").status_, 503);
}

// Guards against new behavior with the feature off, or with "auto" and workers
// of the earlier protocol: the caller gets no answer before its deadline.
Test(StoreBreaker, BreakerThatIsOffChangesNothing)
{
  ExpectAnswersWithoutBreaker(FeatureSwitch::Off);
}

Test(StoreBreaker, AutomaticBreakerChangesNothingWithEarlierWorkers)
{
  ExpectAnswersWithoutBreaker(FeatureSwitch::Auto);
}

// Guards against submissions that wait behind a write without an answer
// although nothing was sent for them.
Test(JobIntake, UnsentWritesAreRefusedUnlessTheirRowMayBeStored)
{
  const Application application;
  MemoryStore store({});
  JobIntake<MemoryStore> intake(store);
  const std::string first = "first";
  std::string other = "other";
  for (int i = 0; WorkPartOf(other) != WorkPartOf(first); ++i) {
    other = "other" + std::to_string(i);
  }
  MemoryTables::OfTest().silent_ = true;
  std::optional<IntakeOutcome> sent;
  std::optional<IntakeOutcome> repeated;
  std::optional<IntakeOutcome> unsent;
  const Instant deadline = ReadMonotonicClock() + Millis(60000);
  const auto store1 = [&](const std::string& aJob,
                          std::optional<IntakeOutcome>& aOutcome) {
    intake.StoreJob(MakeJob(aJob, 1, 1000),
                    deadline,
                    [&aOutcome](IntakeOutcome aResult) { aOutcome = aResult; });
  };
  store1(first, sent);
  store1(first, repeated);
  store1(other, unsent);
  intake.RefuseUnsent();
  cr_assert(unsent == IntakeOutcome::NotStored);
  cr_assert_not(sent.has_value());
  cr_assert_not(repeated.has_value());
  cr_assert(intake.MayBeStored(JobRowId(first)));
  cr_assert_not(intake.MayBeStored(JobRowId(other)));
  MemoryTables::OfTest().silent_ = false;
  cr_assert(WaitInLoop([&repeated] { return repeated.has_value(); }));
  cr_assert(sent == IntakeOutcome::Stored);
  cr_assert(repeated == IntakeOutcome::Stored);
}
