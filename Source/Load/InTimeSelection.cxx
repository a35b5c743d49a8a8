#include "Load/InTimeSelection.h"

#include "Load/CallerShares.h"

#include <algorithm>
#include <map>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

namespace cactusrail {

namespace {

/** Share of a job's work from which on the job is not deferred any more. */
constexpr double kMostDone = 0.5;
/** Share of the processors that stays unused when a deferred job is selected
 * again. Without it, small errors of the estimate would defer and resume jobs
 * alternately. */
constexpr double kReturnMargin = 0.1;
/** Share of a job's chain before its deadline in which its last tasks leave
 * processors to other jobs. Tasks end one after the other, so on average a
 * processor is available to the job until half a task before the deadline. */
constexpr double kTailShare = 0.5;

/** Selection under construction. */
class Selector
{
public:
  Selector(std::span<const OpenWork> aJobs,
           double aProcessors,
           std::int64_t aNowMs,
           CallerShares* aShares)
    : jobs_(aJobs)
    , processors_(aProcessors)
    , nowMs_(aNowMs)
    , shares_(aShares)
    , verdicts_(aJobs.size(), InTimeVerdict::Deferred)
  {
  }

  InTimeSelection Run()
  {
    const std::vector<std::size_t> candidates = Candidates();
    for (const std::size_t job : candidates) {
      if (!MustReturn(jobs_[job])) {
        SelectWithDeferral(job);
      }
    }
    SelectReturning(candidates);
    InTimeSelection selection;
    selection.shortage_ = IsShortage(candidates);
    selection.verdicts_ = std::move(verdicts_);
    return selection;
  }

private:
  /** Jobs with the most work first; the later one of equal jobs. */
  using LargestFirst = std::priority_queue<std::pair<double, std::size_t>>;

  double Processors(double aMargin = 0) const
  {
    return processors_ * (1 - aMargin);
  }

  double MillisLeft(const OpenWork& aJob) const
  {
    return static_cast<double>(aJob.deadlineMs_ - nowMs_);
  }

  /** Time for which the processors can work on jobs with this deadline. */
  double UsableMillis(const OpenWork& aJob) const
  {
    return MillisLeft(aJob) - kTailShare * aJob.chainMs_;
  }

  static bool MustReturn(const OpenWork& aJob)
  {
    return aJob.wasDeferred_ && aJob.doneShare_ < kMostDone;
  }

  /** Marks late jobs, accounts for the work that runs in any case, and returns
   * the others in the order of their deadlines. */
  std::vector<std::size_t> Candidates()
  {
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      const OpenWork& job = jobs_[i];
      if (job.chainMs_ > MillisLeft(job)) {
        verdicts_[i] = InTimeVerdict::Late;
        lateMs_ += job.workMs_;
      } else {
        candidates.push_back(i);
      }
      if (verdicts_[i] == InTimeVerdict::Late || MustReturn(job)) {
        AddRunning(job);
      }
    }
    std::sort(candidates.begin(),
              candidates.end(),
              [this](std::size_t aLeft, std::size_t aRight) {
                return KeyOf(aLeft) < KeyOf(aRight);
              });
    return candidates;
  }

  std::pair<double, std::string_view> KeyOf(std::size_t aJob) const
  {
    return { UsableMillis(jobs_[aJob]), jobs_[aJob].job_ };
  }

  void AddRunning(const OpenWork& aJob)
  {
    loadMs_ += aJob.runningMs_;
    if (shares_ != nullptr) {
      shares_->Add(aJob.group_, aJob.runningMs_);
    }
  }

  /** Selects a job in place of its running work only. */
  void Select(std::size_t aJob)
  {
    verdicts_[aJob] = InTimeVerdict::Selected;
    loadMs_ += jobs_[aJob].workMs_;
    if (shares_ != nullptr) {
      shares_->Add(jobs_[aJob].group_, jobs_[aJob].workMs_);
    }
  }

  void Unselect(std::size_t aJob)
  {
    const OpenWork& job = jobs_[aJob];
    verdicts_[aJob] = InTimeVerdict::Deferred;
    loadMs_ -= job.workMs_;
    if (shares_ != nullptr) {
      shares_->Remove(job.group_, job.workMs_);
    }
  }

  void SelectWithDeferral(std::size_t aJob)
  {
    const OpenWork& job = jobs_[aJob];
    Select(aJob);
    if (!job.begun_) {
      const std::size_t group = shares_ == nullptr ? 0 : job.group_;
      deferrable_[group].emplace(job.workMs_, aJob);
    }
    while (loadMs_ > Processors() * UsableMillis(job)) {
      const auto group = GroupToDefer();
      if (group == deferrable_.end()) {
        return;
      }
      Unselect(group->second.top().second);
      group->second.pop();
      if (group->second.empty()) {
        deferrable_.erase(group);
      }
    }
  }

  std::map<std::size_t, LargestFirst>::iterator GroupToDefer()
  {
    return std::max_element(deferrable_.begin(),
                            deferrable_.end(),
                            [this](const auto& aLeft, const auto& aRight) {
                              return shares_ != nullptr &&
                                     shares_->IsFurtherAbove(aRight.first,
                                                             aLeft.first);
                            });
  }

  /** Selects previously deferred jobs for which there is room, those of groups
   * with the least work first, then the smallest. */
  void SelectReturning(const std::vector<std::size_t>& aCandidates)
  {
    std::vector<std::size_t> returning;
    for (const std::size_t job : aCandidates) {
      if (MustReturn(jobs_[job])) {
        returning.push_back(job);
      }
    }
    std::sort(returning.begin(),
              returning.end(),
              [this](std::size_t aLeft, std::size_t aRight) {
                return ReturnsBefore(aLeft, aRight);
              });
    for (const std::size_t job : returning) {
      if (HasRoomFor(job, aCandidates)) {
        const OpenWork& work = jobs_[job];
        loadMs_ -= work.runningMs_;
        if (shares_ != nullptr) {
          shares_->Remove(work.group_, work.runningMs_);
        }
        Select(job);
      }
    }
  }

  bool ReturnsBefore(std::size_t aLeft, std::size_t aRight) const
  {
    const OpenWork& left = jobs_[aLeft];
    const OpenWork& right = jobs_[aRight];
    if (shares_ != nullptr && left.group_ != right.group_) {
      return shares_->IsFurtherAbove(right.group_, left.group_);
    }
    return std::tie(left.workMs_, left.job_) <
           std::tie(right.workMs_, right.job_);
  }

  /** Running work of all jobs that are not selected. */
  double UnselectedRunningMs() const
  {
    double sum = 0;
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      sum += verdicts_[i] == InTimeVerdict::Selected ? 0 : jobs_[i].runningMs_;
    }
    return sum;
  }

  /** Whether all selected jobs and this one fit before their deadlines. */
  bool HasRoomFor(std::size_t aJob,
                  const std::vector<std::size_t>& aCandidates) const
  {
    double load = UnselectedRunningMs() - jobs_[aJob].runningMs_;
    bool added = false;
    for (const std::size_t other : aCandidates) {
      added = added || other == aJob;
      if (other != aJob && verdicts_[other] != InTimeVerdict::Selected) {
        continue;
      }
      load += jobs_[other].workMs_;
      if (added &&
          load > Processors(kReturnMargin) * UsableMillis(jobs_[other])) {
        return false;
      }
    }
    return true;
  }

  /** Whether a job is deferred, or would not fit if late jobs went first. */
  bool IsShortage(const std::vector<std::size_t>& aCandidates) const
  {
    double load = lateMs_;
    for (const std::size_t job : aCandidates) {
      load += jobs_[job].workMs_;
      if (verdicts_[job] != InTimeVerdict::Selected ||
          load > Processors() * UsableMillis(jobs_[job])) {
        return true;
      }
    }
    return false;
  }

  std::span<const OpenWork> jobs_;
  double processors_;
  std::int64_t nowMs_;
  CallerShares* shares_;
  std::vector<InTimeVerdict> verdicts_;
  /** Work of the jobs selected so far, and running work of the others. */
  double loadMs_ = 0;
  double lateMs_ = 0;
  /** Selected jobs that may be deferred, by group. */
  std::map<std::size_t, LargestFirst> deferrable_;
};

}

InTimeSelection
SelectInTime(std::span<const OpenWork> aJobs,
             double aProcessors,
             std::int64_t aNowMs,
             CallerShares* aShares)
{
  return Selector(aJobs, aProcessors, aNowMs, aShares).Run();
}

}
