#include "Load/InTimeSelection.h"
#include "Load/CallerShares.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <bit>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

using namespace cactusrail;

namespace {

constexpr std::int64_t kNow = 1000000;

/** Job that is due in aMillisLeft and needs aWorkMs on one processor. */
OpenWork
Work(std::string_view aJob, std::int64_t aMillisLeft, double aWorkMs)
{
  OpenWork work;
  work.job_ = aJob;
  work.deadlineMs_ = kNow + aMillisLeft;
  work.workMs_ = aWorkMs;
  return work;
}

OpenWork
Begun(OpenWork aWork, double aRunningMs)
{
  aWork.begun_ = true;
  aWork.runningMs_ = aRunningMs;
  return aWork;
}

OpenWork
Deferred(OpenWork aWork)
{
  aWork.wasDeferred_ = true;
  return aWork;
}

InTimeSelection
SelectOnOne(const std::vector<OpenWork>& aJobs)
{
  return SelectInTime(aJobs, 1, kNow, nullptr);
}

/** Verdicts as one letter each. */
std::string
Verdicts(const std::vector<OpenWork>& aJobs)
{
  std::string text;
  for (const InTimeVerdict verdict : SelectOnOne(aJobs).verdicts_) {
    text += verdict == InTimeVerdict::Selected   ? 'S'
            : verdict == InTimeVerdict::Deferred ? 'D'
                                                 : 'L';
  }
  return text;
}

bool
Fits(const std::vector<OpenWork>& aByDeadline, unsigned aSubset)
{
  double load = 0;
  for (std::size_t i = 0; i < aByDeadline.size(); ++i) {
    if ((aSubset >> i & 1U) == 0) {
      continue;
    }
    load += aByDeadline[i].workMs_;
    if (load > static_cast<double>(aByDeadline[i].deadlineMs_ - kNow)) {
      return false;
    }
  }
  return true;
}

/** Largest number of jobs that can be in time, by trying all subsets. */
int
MostInTime(std::vector<OpenWork> aJobs)
{
  std::sort(aJobs.begin(),
            aJobs.end(),
            [](const OpenWork& aLeft, const OpenWork& aRight) {
              return aLeft.deadlineMs_ < aRight.deadlineMs_;
            });
  int most = 0;
  for (unsigned subset = 0; subset < 1U << aJobs.size(); ++subset) {
    if (Fits(aJobs, subset)) {
      most = std::max(most, std::popcount(subset));
    }
  }
  return most;
}

}

Test(InTimeSelection, AllJobsAreSelectedWithoutShortage)
{
  const std::vector<OpenWork> jobs{ Work("a", 1000, 600),
                                    Work("b", 1000, 400),
                                    Work("c", 2000, 1000) };
  cr_expect_eq(Verdicts(jobs), "SSS");
  cr_expect_not(SelectOnOne(jobs).shortage_);
}

// Guards against an overload that makes all jobs late instead of some.
Test(InTimeSelection, LargestJobIsDeferredInShortage)
{
  const std::vector<OpenWork> jobs{ Work("a", 1000, 600),
                                    Work("b", 1000, 300),
                                    Work("c", 1000, 500) };
  cr_expect_eq(Verdicts(jobs), "DSS");
  cr_expect(SelectOnOne(jobs).shortage_);
}

// Guards against a choice that leaves fewer jobs in time than possible, by
// comparison with all subsets of random jobs.
Test(InTimeSelection, SelectsAsManyJobsAsPossible)
{
  std::mt19937 random(7);
  std::uniform_int_distribution<std::int64_t> deadline(100, 3000);
  std::uniform_int_distribution<std::int64_t> work(10, 1000);
  for (int round = 0; round < 300; ++round) {
    std::vector<OpenWork> jobs;
    jobs.reserve(9);
    for (int i = 0; i < 9; ++i) {
      jobs.push_back(
        Work("j", deadline(random), static_cast<double>(work(random))));
    }
    const std::string verdicts = Verdicts(jobs);
    cr_assert_eq(std::count(verdicts.begin(), verdicts.end(), 'S'),
                 MostInTime(jobs),
                 "round %d",
                 round);
  }
}

// Guards against a job that is stopped halfway in favor of one that has not
// begun: its work would be lost and neither might be in time.
Test(InTimeSelection, JobThatHasBegunStaysSelected)
{
  cr_expect_eq(Verdicts({ Begun(Work("a", 1000, 600), 100),
                          Work("b", 1000, 300),
                          Work("c", 1000, 500) }),
               "SSD");
}

// The job was deferred and has used processors that nobody else needed.
Test(InTimeSelection, JobWithMostOfItsWorkDoneIsNotDeferred)
{
  OpenWork most = Begun(Deferred(Work("a", 1000, 600)), 0);
  most.doneShare_ = 0.6;
  OpenWork little = most;
  little.doneShare_ = 0.4;
  cr_expect_eq(Verdicts({ most, Work("b", 1000, 500) }), "SD");
  cr_expect_eq(Verdicts({ little, Work("b", 1000, 500) }), "DS");
}

// Guards against processors that are reserved for a job which is late in any
// case.
Test(InTimeSelection, JobThatCannotBeInTimeIsNotSelected)
{
  OpenWork late = Work("a", 1000, 900);
  late.chainMs_ = 1001;
  cr_expect_eq(Verdicts({ late, Work("b", 1000, 900) }), "LS");
}

Test(InTimeSelection, LateJobMeansShortageOnlyIfItWouldDelayOthers)
{
  OpenWork late = Work("a", 1000, 900);
  late.chainMs_ = 1001;
  cr_expect(SelectOnOne({ late, Work("b", 1000, 900) }).shortage_);
  cr_expect_not(SelectOnOne({ late, Work("b", 1000, 100) }).shortage_);
}

// Guards against a job that is selected although its last tasks would start too
// late: they cannot use all processors until the deadline.
Test(InTimeSelection, TasksNeedTheirDurationBeforeTheDeadline)
{
  OpenWork longTasks = Work("b", 1000, 600);
  longTasks.chainMs_ = 200;
  cr_expect_eq(Verdicts({ Work("a", 800, 300), longTasks }), "SS");
  longTasks.chainMs_ = 400;
  cr_expect_eq(Verdicts({ Work("a", 800, 300), longTasks }), "SD");
}

// Guards against jobs that are deferred and selected alternately.
Test(InTimeSelection, DeferredJobReturnsOnlyWithMargin)
{
  const OpenWork other = Work("b", 1000, 600);
  cr_expect_eq(Verdicts({ Work("a", 1000, 390), other }), "SS");
  cr_expect_eq(Verdicts({ Deferred(Work("a", 1000, 390)), other }), "DS");
  cr_expect_eq(Verdicts({ Deferred(Work("a", 1000, 290)), other }), "SS");
}

// A job that returns must not make a selected job with a later deadline late.
Test(InTimeSelection, DeferredJobReturnsOnlyIfLaterJobsStillFit)
{
  cr_expect_eq(
    Verdicts({ Deferred(Work("a", 1000, 200)), Work("b", 2000, 1900) }), "DS");
}

// Running tasks of a deferred job are not stopped, so they hold processors.
Test(InTimeSelection, RunningWorkOfDeferredJobsCounts)
{
  const OpenWork other = Work("b", 1000, 600);
  const OpenWork deferred = Deferred(Work("a", 1000, 950));
  cr_expect_eq(Verdicts({ Begun(deferred, 300), other }), "DS");
  cr_expect_eq(Verdicts({ Begun(deferred, 500), other }), "DD");
}

// Prints the cost of one selection of 300 jobs, of which most are deferred.
Test(InTimeSelection, CostOfManyJobs)
{
  std::mt19937 random(7);
  std::uniform_int_distribution<std::int64_t> deadline(500, 5000);
  CallerShares shares;
  std::vector<std::string> names;
  names.reserve(300);
  for (int i = 0; i < 300; ++i) {
    names.push_back("job" + std::to_string(i));
  }
  std::vector<OpenWork> jobs;
  jobs.reserve(300);
  for (int i = 0; i < 300; ++i) {
    jobs.push_back(Work(names[i], deadline(random), 100 + i));
    jobs.back().wasDeferred_ = i % 2 == 0;
    jobs.back().group_ = shares.Classify("dc" + std::to_string(i % 4),
                                         "queue" + std::to_string(i % 5),
                                         jobs.back().workMs_);
  }
  constexpr int kRounds = 100;
  for (CallerShares* used : { static_cast<CallerShares*>(nullptr), &shares }) {
    std::size_t selected = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 0; round < kRounds; ++round) {
      shares.Clear();
      const InTimeSelection selection = SelectInTime(jobs, 2, kNow, used);
      selected =
        static_cast<std::size_t>(std::count(selection.verdicts_.begin(),
                                            selection.verdicts_.end(),
                                            InTimeVerdict::Selected));
    }
    const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - begin;
    std::printf("selection of %zu of 300 jobs, %s shares: %.0f us\n",
                selected,
                used == nullptr ? "without" : "with",
                took.count() / kRounds);
    cr_assert_gt(selected, 0);
    cr_assert_lt(selected, 300);
  }
}
