#include "Process/WorkerChoice.h"

#include <algorithm>
#include <limits>

namespace cactusrail {

namespace {

/**
 * Minimum share of its processors with which backfill starts. Below this share,
 * more tasks slow down all of them and none completes sooner.
 */
constexpr double kMinBackfillShare = 0.8;

/** Assumed share of their declared processors that serving tasks use, until a
 * report contains them. Higher use shows as a lower share of
 * CPU for backfill. */
constexpr double kServingUseShare = 0.6;
/** Minimum ratio of CPU used to CPU requested by the backfill on a worker;
 * below it, no more backfill starts there. */
constexpr double kMinUsedShare = 0.7;

/** Minimum speed at which backfill starts. After a slower start it would miss a
 * better worker that becomes free soon. */
constexpr double kMinBackfillSpeed = 0.25;
/** Minimum interval between starts, on one worker, of backfill of unknown
 * effect beside serving tasks. */
constexpr Millis kTrialInterval{ 800 };
/** Lower bound of the speed in the cost of a worker for starving backfill;
 * keeps the cost finite where the backfill may not run at all. */
constexpr double kAssumedSpeed = 0.02;
/** Lower bound of the CPU share in the same cost; keeps it finite on workers
 * without free processors. */
constexpr double kAssumedShare = 0.05;
/** Cost of a worker with paused backfill, for starving backfill: the same as
 * for the speed kAssumedSpeed, so that such a worker is a last resort. */
constexpr double kPausedCost = 1 / kAssumedSpeed;

/** Weights of the choice, as multiples of the duration of a task. */
constexpr double kBesideServingCost = 0.2;
constexpr double kUnknownFitCost = 1.0;
/** Added for each serving task that would suffer if the backfill turns out to
 * be harmful. */
constexpr double kTrialCostPerServing = 0.3;
/** Added for a worker on which the task failed or stalled before. */
constexpr double kAvoidedCost = 20;

/** Cost, for a serving task, of a worker that runs serving tasks of the same
 * image or only of other images. A worker without serving tasks costs 1 plus
 * its used share. */
constexpr double kSameImageCost = 0.5;
constexpr double kOtherImageCost = 0.7;
/** Weight of the used share in the cost of a worker that runs serving tasks. */
constexpr double kUsedShareWeight = 0.1;

bool
Contains(std::span<const std::string> aList, std::string_view aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

double
UsedShare(const FleetWorker& aWorker)
{
  const FleetResources& room = aWorker.facts_.room_;
  const double cpu = room.cpuMilli_ <= 0
                       ? 1
                       : static_cast<double>(aWorker.used_.cpuMilli_ +
                                             aWorker.backfillCpuMilli_) /
                           static_cast<double>(room.cpuMilli_);
  const double memory = room.memoryMb_ <= 0
                          ? 1
                          : static_cast<double>(aWorker.used_.memoryMb_) /
                              static_cast<double>(room.memoryMb_);
  return std::max(cpu, memory);
}

/** Returns the share of its processors that one more backfill task would
 * get. */
double
BackfillShare(const FleetWorker& aWorker, std::int64_t aCpuMilli)
{
  const double unused =
    (1 - aWorker.servingUseShare_.value_or(kServingUseShare)) *
    static_cast<double>(aWorker.servingCpuMilli_);
  const double left = static_cast<double>(aWorker.Free().cpuMilli_) + unused;
  const auto wanted =
    static_cast<double>(aWorker.backfillCpuMilli_ + aCpuMilli);
  if (left <= 0) {
    return 0;
  }
  return wanted <= left ? 1 : left / wanted;
}

double
DistanceFactor(const FleetWorker& aWorker, const ChoiceFacts& aFacts)
{
  const StepSpec& step = *aFacts.step_;
  const std::string& rack = aWorker.facts_.rack_;
  double factor = 1;
  if (!step.dataRack_.empty() && step.dataRack_ != rack) {
    factor *= aFacts.farFactor_;
  }
  if (step.sameRack_ && !aFacts.rackInUse_.empty() &&
      aFacts.rackInUse_ != rack) {
    factor *= aFacts.farFactor_;
  }
  return factor;
}

constexpr double kIneligibleCost = std::numeric_limits<double>::infinity();

double
BackfillCost(const WorkerOption& aOption, const ChoiceFacts& aFacts)
{
  const FleetWorker& worker = *aOption.worker_;
  const double share = BackfillShare(worker, aFacts.step_->cpuMilli_);
  const BackfillFit& fit = aOption.fit_;
  if (aFacts.starving_) {
    const double cost = 1 / std::max(fit.speed_, kAssumedSpeed) +
                        1 / std::max(share, kAssumedShare);
    return worker.backfillPaused_ ? cost + kPausedCost : cost;
  }
  if (share < kMinBackfillShare || worker.backfillShare_ < kMinUsedShare ||
      worker.backfillPaused_ || fit.speed_ < kMinBackfillSpeed) {
    return kIneligibleCost;
  }
  const double cost = 1 / (share * fit.speed_) + UsedShare(worker) * 0.5;
  if (worker.serving_ == 0) {
    return cost;
  }
  if (!fit.known_) {
    const bool mayStartTrial =
      aFacts.now_ - worker.trialStartedAt_ > kTrialInterval;
    return mayStartTrial
             ? cost + kUnknownFitCost + kTrialCostPerServing * worker.serving_
             : kIneligibleCost;
  }
  return fit.harmless_ ? cost + kBesideServingCost : kIneligibleCost;
}

/**
 * Returns the cost of a worker for a serving task. Serving tasks are packed
 * onto few workers, those of one image first.
 *
 * The fewer images serve on a worker, the more kinds of backfill disturb none
 * of them.
 */
double
ServingCost(const FleetWorker& aWorker, const std::string& aImage)
{
  if (aWorker.serving_ == 0) {
    return 1 + UsedShare(aWorker);
  }
  const bool same = std::any_of(
    aWorker.servingGroups_.begin(),
    aWorker.servingGroups_.end(),
    [&aImage](const auto& aEntry) { return aEntry.first.image_ == aImage; });
  return (same ? kSameImageCost : kOtherImageCost) +
         kUsedShareWeight * UsedShare(aWorker);
}

double
CostOn(const WorkerOption& aOption, const ChoiceFacts& aFacts)
{
  const FleetWorker& worker = *aOption.worker_;
  const StepSpec& step = *aFacts.step_;
  double cost = 0;
  if (step.backfill_) {
    cost = BackfillCost(aOption, aFacts);
  } else if (step.latencyObjectiveMs_ > 0) {
    cost = ServingCost(worker, step.image_);
  } else {
    cost = 1 + UsedShare(worker);
  }
  cost *= DistanceFactor(worker, aFacts) * worker.slowness_;
  if (Contains(aFacts.avoid_, worker.node_)) {
    cost += kAvoidedCost;
  }
  return cost;
}

bool
IsCordoned(const WorkerOption& aOption, Instant aNow)
{
  return aOption.cordoned_ || aNow < aOption.worker_->cordonedUntil_;
}

/** Whether the capacity of the worker suffices once all its tasks that are not
 * long-running have ended. */
bool
MayGetCapacityFor(const FleetWorker& aWorker, const FleetResources& aRoom)
{
  const FleetResources& all = aWorker.facts_.room_;
  const FleetResources& longRunning = aWorker.longRunningUsed_;
  return Covers({ all.cpuMilli_ - longRunning.cpuMilli_,
                  all.memoryMb_ - longRunning.memoryMb_,
                  all.accelerators_ - longRunning.accelerators_ },
                aRoom);
}

/**
 * Whether any eligible worker is not cordoned and has the capacity now or
 * later. If there is none, cordoned workers are used nevertheless: work must
 * not wait indefinitely because every other worker had failures for a minute.
 */
bool
AnyUncordoned(std::span<const WorkerOption> aOptions, const ChoiceFacts& aFacts)
{
  const FleetResources room = FixedResourcesOf(*aFacts.step_);
  return std::any_of(
    aOptions.begin(), aOptions.end(), [&](const WorkerOption& aOption) {
      return MayRunOn(aOption, aFacts) && !IsCordoned(aOption, aFacts.now_) &&
             MayGetCapacityFor(*aOption.worker_, room);
    });
}

/** Whether the last attempt of a task may be made on the worker. */
bool
IsTrusted(const WorkerOption& aOption, const ChoiceFacts& aFacts)
{
  return !aOption.suspect_ && !IsCordoned(aOption, aFacts.now_) &&
         !Contains(aFacts.avoid_, aOption.worker_->node_);
}

/** Whether the task must go to a worker that is trusted. */
bool
NeedsTrust(std::span<const WorkerOption> aOptions, const ChoiceFacts& aFacts)
{
  return aFacts.lastAttempt_ && !aFacts.starving_ &&
         std::any_of(aOptions.begin(),
                     aOptions.end(),
                     [&aFacts](const WorkerOption& aOption) {
                       return MayRunOn(aOption, aFacts) &&
                              IsTrusted(aOption, aFacts);
                     });
}

}

FleetResources
FixedResourcesOf(const StepSpec& aStep)
{
  return { aStep.backfill_ ? 0 : aStep.cpuMilli_,
           aStep.memoryMb_,
           aStep.accelerators_ };
}

TaskResources
TaskResourcesOf(const StepSpec& aStep, const JobDescription& aJob)
{
  TaskResources room;
  room.room_ = FixedResourcesOf(aStep);
  room.preemptible_ = !aStep.longRunning_ && !aStep.gang_;
  room.priority_ = aJob.priority_;
  room.backfillCpuMilli_ = aStep.backfill_ ? aStep.cpuMilli_ : 0;
  room.serves_ = aStep.latencyObjectiveMs_ > 0;
  room.longRunning_ = aStep.longRunning_;
  room.image_ = aStep.image_;
  room.job_ = aJob.id_;
  return room;
}

bool
MayRunOn(const WorkerOption& aOption, const ChoiceFacts& aFacts)
{
  const FleetWorker& worker = *aOption.worker_;
  const StepSpec& step = *aFacts.step_;
  if (!worker.synced_ || !worker.registered_ || !worker.facts_.answers_ ||
      worker.facts_.id_.empty() || worker.facts_.service_ != aFacts.service_ ||
      worker.facts_.draining_ || aOption.evacuated_ ||
      !worker.unknownRuns_.empty()) {
    return false;
  }
  // Backfill uses only processors that others leave, so a reservation of the
  // worker does not exclude backfill.
  if (aOption.reserved_ && !step.backfill_) {
    return false;
  }
  if (!step.requiredLabel_.empty() &&
      !Contains(worker.facts_.labels_, step.requiredLabel_)) {
    return false;
  }
  return step.maxPerWorker_ == 0 || aOption.sameStep_ < step.maxPerWorker_;
}

bool
Covers(const FleetResources& aRoom, const FleetResources& aWanted)
{
  return aRoom.cpuMilli_ >= aWanted.cpuMilli_ &&
         aRoom.memoryMb_ >= aWanted.memoryMb_ &&
         aRoom.accelerators_ >= aWanted.accelerators_;
}

bool
HasCapacityFor(const FleetWorker& aWorker, const FleetResources& aRoom)
{
  return Covers(aWorker.Free(), aRoom);
}

std::vector<std::size_t>
PreemptionTargets(std::span<const WorkerOption> aOptions,
                  const ChoiceFacts& aFacts,
                  std::int64_t aPriority)
{
  const FleetResources wanted = FixedResourcesOf(*aFacts.step_);
  const bool needsTrust = NeedsTrust(aOptions, aFacts);
  std::vector<std::size_t> targets;
  for (std::size_t i = 0; i < aOptions.size(); ++i) {
    const WorkerOption& option = aOptions[i];
    if (!option.cordoned_ && !option.withheld_ && MayRunOn(option, aFacts) &&
        (!needsTrust || IsTrusted(option, aFacts)) &&
        Covers(option.worker_->FreeAfterPreemption(aPriority), wanted)) {
      targets.push_back(i);
    }
  }
  return targets;
}

namespace {

std::optional<std::size_t>
BestOf(std::span<const WorkerOption> aOptions,
       const ChoiceFacts& aFacts,
       bool aUncordonedOnly)
{
  const FleetResources room = FixedResourcesOf(*aFacts.step_);
  const bool needsTrust = NeedsTrust(aOptions, aFacts);
  std::optional<std::size_t> best;
  double bestCost = kIneligibleCost;
  for (std::size_t i = 0; i < aOptions.size(); ++i) {
    const FleetWorker& worker = *aOptions[i].worker_;
    // Backfill takes no capacity that other tasks wait for.
    const bool withheld = aOptions[i].withheld_ && !aFacts.step_->backfill_;
    if (withheld || !MayRunOn(aOptions[i], aFacts) ||
        !HasCapacityFor(worker, room) ||
        aFacts.now_ < worker.refusalBackoffUntil_ ||
        (aUncordonedOnly && IsCordoned(aOptions[i], aFacts.now_)) ||
        (needsTrust && !IsTrusted(aOptions[i], aFacts))) {
      continue;
    }
    const double cost = CostOn(aOptions[i], aFacts);
    if (cost < bestCost) {
      bestCost = cost;
      best = i;
    }
  }
  return best;
}

}

std::optional<std::size_t>
ChooseWorker(std::span<const WorkerOption> aOptions, const ChoiceFacts& aFacts)
{
  const auto uncordoned =
    BestOf(aOptions, aFacts, AnyUncordoned(aOptions, aFacts));
  if (uncordoned.has_value() || !aFacts.step_->longRunning_) {
    return uncordoned;
  }
  // A long-running task has no limited number of attempts. If all other workers
  // are full, it tries a cordoned worker rather than wait.
  return BestOf(aOptions, aFacts, false);
}

}
