// FleetScheduler: placement order in an overload, and callers' fair shares.

#include "Process/FleetScheduler.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cactusrail {

namespace {

/** Interval between selections while no job comes or ends. */
constexpr Millis kSelectionInterval{ 100 };
/** Time without a shortage after which the log reports its end. */
constexpr Millis kShortageEndDelay{ 1000 };
/** Latest starts within one unit are equal for fair shares alone. */
constexpr std::int64_t kShareUnitMs = 1000;
constexpr std::size_t kMaxLoggedGroups = 8;
/** Share of their declared processors that serving tasks use, while no report
 * contains their load. The same as in the choice of a worker. */
constexpr double kServingUseShare = 0.6;
constexpr double kMilli = 1000;
constexpr double kPercent = 100;

bool
CompetesInTime(const JobDescription& aJob)
{
  return std::none_of(
    aJob.steps_.begin(), aJob.steps_.end(), [](const StepSpec& aStep) {
      return aStep.longRunning_ || aStep.gang_;
    });
}

WorkClass
ClassOf(const JobDescription& aJob)
{
  const bool backfill =
    std::all_of(aJob.steps_.begin(),
                aJob.steps_.end(),
                [](const StepSpec& aStep) { return aStep.backfill_; });
  return { aJob.service_, aJob.priority_, backfill };
}

std::string
DescribeClass(const WorkClass& aClass)
{
  return "service " + aClass.service_ + ", priority " +
         std::to_string(aClass.priority_) +
         (aClass.backfill_ ? ", backfill" : "");
}

/**
 * Remaining duration of a run, with the progress since its last report at its
 * pace. Without that, the work of running tasks would stay the same between two
 * reports, and waiting jobs would be deferred although everything is on time.
 */
double
RemainingMillis(const TaskRun& aRun, double aTaskMs, Instant aNow)
{
  const auto since =
    std::chrono::duration_cast<Millis>(aNow - aRun.progressAt_);
  const double progressed =
    static_cast<double>(std::clamp(since, Millis(0), kReportPeriod).count()) *
    aRun.pace_ / kPercent;
  const double reported =
    aTaskMs * (kPercent - std::min<double>(aRun.percent_, kPercent)) / kPercent;
  return std::max(0.0, reported - progressed);
}

/** Processors that backfill can use on the worker, in thousandths. */
double
BackfillCpuMilli(const FleetWorker& aWorker)
{
  const double unused =
    (1 - aWorker.servingUseShare_.value_or(kServingUseShare)) *
    static_cast<double>(aWorker.servingCpuMilli_);
  const double left = static_cast<double>(aWorker.Free().cpuMilli_) + unused;
  return std::max(0.0, left) * aWorker.backfillShare_;
}

}

/** Open occurrence of a job, as input of the selection. */
struct FleetScheduler::OpenOccurrence
{
  FleetOccurrence* occurrence_ = nullptr;
  OpenWork work_;
  /** Processors of its running tasks, in thousandths. */
  std::int64_t heldCpuMilli_ = 0;
  double totalMs_ = 0;
};

JobRank
FleetScheduler::RankInOverload(JobRank aRank,
                               const FleetOccurrence& aOccurrence) const
{
  if (aRank.outlook_ != JobOutlook::Useful) {
    return aRank;
  }
  if (overload_.ordersByTime_) {
    if (aOccurrence.inTime_ != InTimeVerdict::Selected) {
      aRank.outlook_ = JobOutlook::Deferred;
    }
  } else if (overload_.sharesFairly_) {
    aRank.exactMs_ = aRank.orderMs_;
    aRank.orderMs_ /= kShareUnitMs;
    aRank.groupRank_ = aOccurrence.groupRank_;
  }
  return aRank;
}

void
FleetScheduler::UpdateSelection(Instant aNow)
{
  const WorkerProtocol protocol = Protocol().value_or(WorkerProtocol::IdOnly);
  overload_.ordersByTime_ =
    IsEnabled(bounds_.features_.overloadOrder_, protocol);
  overload_.sharesFairly_ = IsEnabled(bounds_.features_.fairShares_, protocol);
  if (!overload_.ordersByTime_ && !overload_.sharesFairly_) {
    overload_.figures_ = OverloadFigures();
    return;
  }
  // In a shortage, a new job must not start in the order of latest start before
  // the selection has considered it.
  const bool due = aNow >= overload_.nextSelectionAt_ ||
                   (overload_.changed_ && !overload_.shortages_.empty());
  if (!due) {
    return;
  }
  overload_.nextSelectionAt_ = aNow + kSelectionInterval;
  overload_.changed_ = false;
  overload_.figures_ = OverloadFigures();
  for (auto& [kind, open] : OpenWorkByClass(aNow)) {
    if (overload_.ordersByTime_) {
      Select(kind, open, aNow);
    } else {
      RankGroups(open);
    }
  }
  EndShortages(aNow);
}

std::map<WorkClass, std::vector<FleetScheduler::OpenOccurrence>>
FleetScheduler::OpenWorkByClass(Instant aNow)
{
  std::map<WorkClass, std::vector<OpenOccurrence>> byClass;
  for (auto id = overload_.open_.begin(); id != overload_.open_.end();) {
    const auto found = jobs_.find(*id);
    if (found == jobs_.end() || found->second.job_->IsOver()) {
      id = overload_.open_.erase(id);
      continue;
    }
    ++id;
    FleetJob& job = *found->second.job_;
    if (!CompetesInTime(job.Spec())) {
      continue;
    }
    std::vector<OpenOccurrence>& open = byClass[ClassOf(job.Spec())];
    for (auto& [number, occurrence] : job.Occurrences()) {
      if (job.DueMs(number) <= wallMs_) {
        open.push_back(DescribeOpen(job, number, occurrence, aNow));
      }
    }
  }
  return byClass;
}

FleetScheduler::OpenOccurrence
FleetScheduler::DescribeOpen(const FleetJob& aJob,
                             std::uint32_t aNumber,
                             FleetOccurrence& aOccurrence,
                             Instant aNow)
{
  const JobDescription& spec = aJob.Spec();
  OpenOccurrence open;
  open.occurrence_ = &aOccurrence;
  std::vector<double> all;
  std::vector<double> remaining;
  for (const FleetStep& step : aOccurrence.steps_) {
    all.push_back(ExpectedMillis(aJob, step));
    remaining.push_back(AddStep(step, all.back(), open, aNow));
  }
  const double chainMs = ChainMillis(spec.steps_, all);
  open.work_.chainMs_ = ChainMillis(spec.steps_, remaining);
  const JobTimes times{ DueMsOf(spec, aNumber), chainMs, open.work_.chainMs_ };
  if (RankOf(spec, times, wallMs_).outlook_ == JobOutlook::Overdue) {
    // Its waiting tasks are placed after all other work.
    open.work_.workMs_ = open.work_.runningMs_;
  }
  open.work_.job_ = spec.id_;
  open.work_.deadlineMs_ = times.dueMs_ + ObjectiveMillis(spec, chainMs);
  open.work_.wasDeferred_ = aOccurrence.inTime_ != InTimeVerdict::Selected;
  if (!aOccurrence.callerGroup_.has_value()) {
    aOccurrence.callerGroup_ =
      overload_.shares_.Classify(spec.dataCentre_, spec.queue_, open.totalMs_);
  }
  open.work_.group_ = *aOccurrence.callerGroup_;
  return open;
}

/** Adds the work of a step that is not done. Returns its remaining duration. */
double
FleetScheduler::AddStep(const FleetStep& aStep,
                        double aTaskMs,
                        OpenOccurrence& aOpen,
                        Instant aNow)
{
  const std::int64_t cpuMilli = aStep.spec_->cpuMilli_;
  const double processors = static_cast<double>(cpuMilli) / kMilli;
  double longest = 0;
  double doneMs = 0;
  for (const FleetTask& task : aStep.tasks_) {
    if (task.done_) {
      aOpen.work_.begun_ = true;
      doneMs += processors * aTaskMs;
      continue;
    }
    double left = aTaskMs;
    for (const TaskRun& run : task.runs_) {
      left = std::min(left, RemainingMillis(run, aTaskMs, aNow));
    }
    doneMs += processors * (aTaskMs - left);
    aOpen.work_.workMs_ += processors * left;
    if (!task.runs_.empty()) {
      aOpen.work_.begun_ = true;
      aOpen.work_.runningMs_ += processors * left;
      aOpen.heldCpuMilli_ += cpuMilli;
    }
    longest = std::max(longest, left);
  }
  const double stepMs =
    processors * aTaskMs * static_cast<double>(aStep.tasks_.size());
  const double doneBefore = aOpen.work_.doneShare_ * aOpen.totalMs_;
  aOpen.totalMs_ += stepMs;
  aOpen.work_.doneShare_ =
    aOpen.totalMs_ > 0 ? (doneBefore + doneMs) / aOpen.totalMs_ : 0;
  return longest;
}

std::optional<double>
FleetScheduler::ProcessorsFor(const WorkClass& aClass,
                              std::int64_t aHeldCpuMilli,
                              Instant aNow)
{
  double cpuMilli = 0;
  bool any = false;
  for (const auto& [node, worker] : workers_) {
    const bool cordoned =
      aNow < worker.cordonedUntil_ || health_.IsCordoned(node, aNow);
    if (!worker.linked_ || !worker.synced_ || worker.facts_.draining_ ||
        cordoned || IsEvacuated(worker) ||
        worker.facts_.service_ != aClass.service_) {
      continue;
    }
    any = true;
    cpuMilli +=
      aClass.backfill_
        ? BackfillCpuMilli(worker)
        : static_cast<double>(std::max<std::int64_t>(
            0, worker.FreeAfterPreemption(aClass.priority_).cpuMilli_));
  }
  if (!aClass.backfill_) {
    cpuMilli += static_cast<double>(aHeldCpuMilli);
  }
  return any ? std::optional(cpuMilli / kMilli) : std::nullopt;
}

void
FleetScheduler::Select(const WorkClass& aClass,
                       std::vector<OpenOccurrence>& aOpen,
                       Instant aNow)
{
  overload_.shares_.Clear();
  std::vector<OpenWork> work;
  work.reserve(aOpen.size());
  std::int64_t held = 0;
  bool waits = false;
  for (const OpenOccurrence& one : aOpen) {
    work.push_back(one.work_);
    held += one.heldCpuMilli_;
    waits = waits || one.work_.workMs_ > one.work_.runningMs_;
  }
  InTimeSelection selection;
  selection.verdicts_.assign(work.size(), InTimeVerdict::Selected);
  if (waits) {
    if (const auto processors = ProcessorsFor(aClass, held, aNow)) {
      selection =
        SelectInTime(work,
                     *processors,
                     wallMs_,
                     overload_.sharesFairly_ ? &overload_.shares_ : nullptr);
    }
  }
  const std::vector<std::size_t> deferred = Apply(selection, aOpen);
  if (selection.shortage_) {
    RecordShortage(aClass, deferred, aOpen.size(), aNow);
  }
  AddFigures(aOpen);
}

/** Applies the verdicts. Returns the groups of jobs that were not deferred
 * before. */
std::vector<std::size_t>
FleetScheduler::Apply(const InTimeSelection& aSelection,
                      std::vector<OpenOccurrence>& aOpen)
{
  std::vector<std::size_t> deferred;
  for (std::size_t i = 0; i < aOpen.size(); ++i) {
    const InTimeVerdict verdict =
      aSelection.shortage_ ? aSelection.verdicts_[i] : InTimeVerdict::Selected;
    InTimeVerdict& stored = aOpen[i].occurrence_->inTime_;
    if (verdict == InTimeVerdict::Deferred) {
      ++overload_.figures_.deferredJobs_;
      if (stored == InTimeVerdict::Selected) {
        deferred.push_back(aOpen[i].work_.group_);
      }
    }
    stored = verdict;
  }
  return deferred;
}

void
FleetScheduler::RecordShortage(const WorkClass& aClass,
                               const std::vector<std::size_t>& aDeferred,
                               std::size_t aOpenJobs,
                               Instant aNow)
{
  const auto [found, begins] =
    overload_.shortages_.try_emplace(aClass, Shortage{ aNow, aNow, {} });
  Shortage& shortage = found->second;
  shortage.lastFoundAt_ = aNow;
  for (const std::size_t group : aDeferred) {
    ++shortage.deferred_[group];
  }
  if (begins) {
    LogEvent("jobs-deferred",
             {},
             {},
             DescribeClass(aClass) + ": " + std::to_string(aDeferred.size()) +
               " of " + std::to_string(aOpenJobs) +
               " jobs, by group: " + DescribeGroups(shortage));
  }
}

/** Ends the shortages that no selection has found for a while. */
void
FleetScheduler::EndShortages(Instant aNow)
{
  std::erase_if(overload_.shortages_, [this, aNow](const auto& aEntry) {
    const Shortage& shortage = aEntry.second;
    if (aNow - shortage.lastFoundAt_ < kShortageEndDelay) {
      return false;
    }
    const auto lasted = std::chrono::duration_cast<Millis>(
      shortage.lastFoundAt_ - shortage.since_);
    LogEvent("jobs-resumed",
             {},
             {},
             DescribeClass(aEntry.first) + ": after a shortage of " +
               std::to_string(lasted.count()) +
               " ms; deferred by group: " + DescribeGroups(shortage));
    return true;
  });
}

std::string
FleetScheduler::DescribeGroups(const Shortage& aShortage) const
{
  std::vector<std::pair<std::size_t, std::size_t>> groups;
  for (const auto& [group, count] : aShortage.deferred_) {
    groups.emplace_back(count, group);
  }
  std::sort(groups.rbegin(), groups.rend());
  std::string text;
  for (std::size_t i = 0; i < std::min(groups.size(), kMaxLoggedGroups); ++i) {
    text += (text.empty() ? "" : ", ") +
            overload_.shares_.NameOf(groups[i].second) + " " +
            std::to_string(groups[i].first);
  }
  if (groups.size() > kMaxLoggedGroups) {
    text += " and " + std::to_string(groups.size() - kMaxLoggedGroups) +
            " more groups";
  }
  return text.empty() ? "none" : text;
}

/** Ranks the groups for fair shares alone, by the work of their running
 * tasks. */
void
FleetScheduler::RankGroups(std::vector<OpenOccurrence>& aOpen)
{
  CallerShares& shares = overload_.shares_;
  shares.Clear();
  for (const OpenOccurrence& one : aOpen) {
    shares.Add(one.work_.group_, one.work_.runningMs_);
  }
  std::vector<std::size_t> groups(shares.GroupCount());
  std::iota(groups.begin(), groups.end(), 0);
  std::sort(groups.begin(),
            groups.end(),
            [&shares](std::size_t aLeft, std::size_t aRight) {
              return shares.IsFurtherAbove(aRight, aLeft);
            });
  std::vector<std::uint32_t> ranks(groups.size());
  for (std::uint32_t rank = 0; rank < groups.size(); ++rank) {
    ranks[groups[rank]] = rank;
  }
  for (OpenOccurrence& one : aOpen) {
    one.occurrence_->groupRank_ = ranks[one.work_.group_];
  }
  AddFigures(aOpen);
}

void
FleetScheduler::AddFigures(const std::vector<OpenOccurrence>& aOpen)
{
  CallerShares& shares = overload_.shares_;
  shares.Clear();
  for (const OpenOccurrence& one : aOpen) {
    const bool selected = one.occurrence_->inTime_ == InTimeVerdict::Selected;
    shares.Add(one.work_.group_,
               selected ? one.work_.workMs_ : one.work_.runningMs_);
  }
  OverloadFigures& figures = overload_.figures_;
  for (std::size_t i = 0; i < shares.GroupCount(); ++i) {
    const auto work = static_cast<std::uint64_t>(shares.WorkOf(i));
    figures.workMs_ += work;
    figures.largestGroupWorkMs_ = std::max(figures.largestGroupWorkMs_, work);
  }
}

}
