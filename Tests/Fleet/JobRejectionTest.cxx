#include "ProcessFleet.h"

#include <criterion/criterion.h>

#include <QCoreApplication>

#include <algorithm>
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

/** Job of one task that is of use for 0.6 s. */
constexpr const char* kUrgentJob = "1 200 0";
/** Job of 60 s of work on four processors that is of use for minutes. */
constexpr const char* kLongJob = "1200 200 60000";

std::unique_ptr<ProcessFleet>
StartFleet(std::size_t aEntries)
{
  FleetFeatures features;
  features.admission_ = FeatureSwitch::On;
  auto fleet = std::make_unique<ProcessFleet>(aEntries, 1, 1, features);
  fleet->Worker(0).taskTime_ = Millis(200);
  cr_assert(fleet->Wait(
    [&fleet] { return fleet->Ask(0, "POST", "warm", "1").status_ == 200; }));
  cr_assert(fleet->Completes(0, "warm"));
  return fleet;
}

/** Submits short jobs until one is rejected; returns its name. An accepted job
 * is never rejected later, so each attempt has a name of its own. */
std::string
RejectedJob(ProcessFleet& aFleet,
            std::size_t aEntry,
            const std::string& aPrefix)
{
  int number = 0;
  cr_assert(aFleet.Wait([&] {
    ++number;
    const std::string job = aPrefix + std::to_string(number);
    return aFleet.Ask(aEntry, "POST", job, kUrgentJob).status_ == 429;
  }),
            "entry %zu rejects",
            aEntry);
  return aPrefix + std::to_string(number);
}

/** Submits a long job and then short ones until one is rejected; returns its
 * name. */
std::string
OverloadUntilRejection(ProcessFleet& aFleet, std::size_t aEntry)
{
  cr_assert_eq(aFleet.Ask(aEntry, "POST", "long", kLongJob).status_, 200);
  return RejectedJob(aFleet, aEntry, "x");
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

}

// Guards against a job that runs although it was rejected, and against a
// rejection of a job that is stored: its caller repeats the submission, also
// through another entry.
Test(JobRejection, RejectedJobNeverRunsAndKnownJobIsNotRejected)
{
  const Application application;
  const auto fleet = StartFleet(2);
  const std::string job = OverloadUntilRejection(*fleet, 1);
  cr_assert_eq(fleet->Ask(1, "POST", "long", kUrgentJob).status_, 200);
  const std::string other = RejectedJob(*fleet, 0, "y");
  const HttpReply reply = fleet->Ask(1, "POST", job, kUrgentJob);
  cr_assert_eq(reply.status_, 429);
  cr_assert_geq(std::stoi(reply.body_), 300);
  cr_assert_eq(fleet->Ask(1, "DELETE", "long").status_, 200);
  // The tasks that run end, and others start; those of the rejected job don't.
  cr_assert(fleet->Wait([&fleet] {
    return fleet->Ask(1, "POST", "after", kUrgentJob).status_ == 200;
  }));
  cr_assert(fleet->Completes(1, "after"));
  for (const std::string& rejected : { job, other }) {
    cr_assert_not(EverStarted(*fleet, rejected));
    cr_assert_eq(fleet->Ask(0, "GET", rejected).status_, 410);
  }
}

// Guards against a rejection after an attempt with an unknown outcome: the
// store may apply the first write late, and the job would run although its
// caller was told that it does not.
Test(JobRejection, JobWithAnUnknownFirstAttemptIsNotRejected)
{
  const Application application;
  const auto fleet = StartFleet(1);
  MemoryTables::OfTest().silent_ = true;
  cr_assert_eq(fleet->Ask(0, "POST", "unknown", kUrgentJob).status_, 504);
  MemoryTables::OfTest().silent_ = false;
  cr_assert(fleet->Wait([&fleet] {
    return fleet->Ask(0, "POST", "known", kUrgentJob).status_ == 200;
  }));
  cr_assert_eq(fleet->Ask(0, "GET", "unknown").status_, 410, "not stored");
  OverloadUntilRejection(*fleet, 0);
  cr_assert_eq(fleet->Ask(0, "POST", "unknown", kUrgentJob).status_, 200);
}

// Guards against a rejection on the leader's answer alone while the store does
// not confirm that the job is not stored.
Test(JobRejection, NothingIsRejectedWhileTheStoreIsAway)
{
  const Application application;
  const auto fleet = StartFleet(1);
  OverloadUntilRejection(*fleet, 0);
  MemoryTables::OfTest().unavailable_ = true;
  cr_assert_eq(fleet->Ask(0, "POST", "away", kUrgentJob).status_, 503);
  MemoryTables::OfTest().unavailable_ = false;
}
