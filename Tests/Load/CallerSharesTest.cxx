#include "Load/CallerShares.h"
#include "Load/InTimeSelection.h"

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

using namespace cactusrail;

namespace {

constexpr std::int64_t kNow = 1000000;

/** Waiting jobs, all due in one second, on one processor. */
class Waiting
{
public:
  void Add(std::string_view aDataCentre,
           std::string_view aQueue,
           double aWorkMs,
           int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      OpenWork work;
      work.job_ = "job";
      work.deadlineMs_ = kNow + 1000;
      work.workMs_ = aWorkMs;
      work.group_ = shares_.Classify(aDataCentre, aQueue, aWorkMs);
      jobs_.push_back(work);
      keys_.push_back(std::string(aDataCentre) + "/" + std::string(aQueue));
    }
  }

  /** Selected work by data centre and queue. */
  std::map<std::string, double> Selected()
  {
    shares_.Clear();
    const InTimeSelection selection = SelectInTime(jobs_, 1, kNow, &shares_);
    std::map<std::string, double> work;
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      work[keys_[i]] += selection.verdicts_[i] == InTimeVerdict::Selected
                          ? jobs_[i].workMs_
                          : 0;
    }
    return work;
  }

  /** Number of selected jobs with this work. */
  std::size_t SelectedOfSize(double aWorkMs)
  {
    shares_.Clear();
    const InTimeSelection selection = SelectInTime(jobs_, 1, kNow, &shares_);
    std::size_t count = 0;
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      count += selection.verdicts_[i] == InTimeVerdict::Selected &&
                   jobs_[i].workMs_ == aWorkMs
                 ? 1
                 : 0;
    }
    return count;
  }

private:
  std::vector<OpenWork> jobs_;
  CallerShares shares_;
  std::vector<std::string> keys_;
};

}

// Guards against a data centre whose callers submit ten times their usual load
// and thereby defer the jobs of the others.
Test(CallerShares, FloodOfOneDataCentreLeavesTheOthersTheirShare)
{
  Waiting waiting;
  for (const char* dataCentre : { "a", "b", "c", "d" }) {
    waiting.Add(dataCentre, "q", 50, dataCentre[0] == 'a' ? 40 : 4);
  }
  std::map<std::string, double> selected = waiting.Selected();
  cr_expect_eq(selected["b/q"], 200);
  cr_expect_eq(selected["c/q"], 200);
  cr_expect_eq(selected["d/q"], 200);
  cr_expect_eq(selected["a/q"], 400, "others leave their shares unused");
}

Test(CallerShares, FloodOfOneQueueLeavesTheOthersTheirShare)
{
  Waiting waiting;
  waiting.Add("a", "flood", 50, 40);
  waiting.Add("a", "quiet", 50, 5);
  waiting.Add("b", "quiet", 50, 5);
  std::map<std::string, double> selected = waiting.Selected();
  cr_expect_eq(selected["a/quiet"], 250);
  cr_expect_eq(selected["b/quiet"], 250);
  cr_expect_eq(selected["a/flood"], 500);
}

// Guards against callers that get a larger share of the fleet by the use of
// more queues.
Test(CallerShares, MoreQueuesGiveADataCentreNoLargerShare)
{
  Waiting waiting;
  for (const char* queue : { "q1", "q2", "q3", "q4" }) {
    waiting.Add("a", queue, 50, 10);
  }
  waiting.Add("b", "q1", 50, 20);
  std::map<std::string, double> selected = waiting.Selected();
  cr_expect_eq(selected["b/q1"], 500);
}

// Guards against wide jobs that displace the narrow ones of the same queue. The
// wide jobs still get the processors that the narrow ones leave.
Test(CallerShares, WideJobsDoNotDisplaceNarrowOnes)
{
  Waiting waiting;
  waiting.Add("a", "q", 20, 20);
  waiting.Add("a", "q", 200, 10);
  cr_expect_eq(waiting.Selected()["a/q"], 1000);
  cr_expect_eq(waiting.SelectedOfSize(20), 20);
  cr_expect_eq(waiting.SelectedOfSize(200), 3);
}

// Jobs that were stored before the data centre was recorded.
Test(CallerShares, UnknownDataCentreIsAGroupOfItsOwn)
{
  Waiting waiting;
  waiting.Add("", "q", 50, 40);
  waiting.Add("a", "q", 50, 4);
  std::map<std::string, double> selected = waiting.Selected();
  cr_expect_eq(selected["a/q"], 200);
  cr_expect_eq(selected["/q"], 800);
}

// Guards against a group that was idle and then displaces the others until it
// has caught up.
Test(CallerShares, IdleGroupGetsNoCredit)
{
  CallerShares shares;
  const std::size_t busy = shares.Classify("a", "q", 50);
  const std::size_t idle = shares.Classify("b", "q", 50);
  shares.Add(busy, 1000);
  cr_expect(shares.IsFurtherAbove(busy, idle));
  shares.Clear();
  shares.Add(busy, 100);
  shares.Add(idle, 200);
  cr_expect(shares.IsFurtherAbove(idle, busy));
}

// Work of a group ends when its jobs end; none is counted twice.
Test(CallerShares, RemovedWorkDoesNotCount)
{
  CallerShares shares;
  const std::size_t one = shares.Classify("a", "q", 50);
  const std::size_t other = shares.Classify("b", "q", 50);
  shares.Add(one, 1000);
  shares.Add(other, 500);
  shares.Remove(one, 900);
  cr_expect(shares.IsFurtherAbove(other, one));
  cr_expect_eq(shares.WorkOf(one), 100);
}

Test(CallerShares, OrderOfGroupsIsStrict)
{
  CallerShares shares;
  const std::size_t one = shares.Classify("a", "q", 50);
  const std::size_t other = shares.Classify("b", "q", 50);
  cr_expect_not(shares.IsFurtherAbove(one, one));
  cr_expect_neq(shares.IsFurtherAbove(one, other),
                shares.IsFurtherAbove(other, one));
}

// Sizes follow the recent jobs of the queue: what was large counts as small
// once the queue's jobs have grown.
Test(CallerShares, SizeIsRelativeToRecentJobsOfTheQueue)
{
  CallerShares shares;
  for (int i = 0; i < 200; ++i) {
    shares.Classify("a", "q", i + 1);
  }
  cr_expect_eq(shares.NameOf(shares.Classify("a", "q", 50)), "a q small");
  cr_expect_eq(shares.NameOf(shares.Classify("a", "q", 150)), "a q medium");
  cr_expect_eq(shares.NameOf(shares.Classify("a", "q", 195)), "a q large");
  for (int i = 0; i < 400; ++i) {
    shares.Classify("a", "q", 10 * (i % 100 + 1));
  }
  cr_expect_eq(shares.NameOf(shares.Classify("a", "q", 450)), "a q small");
}
