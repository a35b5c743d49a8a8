#include "Process/WorkerChoice.h"

#include <algorithm>
#include <limits>

namespace cactusrail {

namespace {

/**
 * Backfill starts only where it gets this share of its processors: below it,
 * starting more makes all slower and none ready sooner.
 */
constexpr double kLeastBackfillShare = 0.8;

/** Part of their processors that tasks which serve are taken to use: what they
 * do use is not reported. Too much shows in the share that backfill gets. */
constexpr double kServingUse = 0.6;
/** Where backfill gets less than this of what it asked for, no more starts. */
constexpr double kSaturated = 0.7;

/** No backfill joins a worker where a task is that close to its objective. */
constexpr double kPressed = 0.9;
/** Slowdown of a serving task that all backfill beside it may add up to. Many
 * that are harmless one by one are not together: six at 0.35 made it ten. */
constexpr double kMaxImpact = 0.8;
/** One that slows it by this much is not tried again to see whether it still
 * does; what was learned of the others fades, and they are. */
constexpr double kHarmful = 3;
/** A task whose effect is unknown starts beside serving ones below this part of
 * their objective, and one at a time. */
constexpr double kCalmPressure = 0.7;
constexpr Millis kTryEvery{ 1500 };

/** Weights of a choice, in units of "a task takes so many times as long". */
constexpr double kBesideServing = 0.2;
constexpr double kUnknownImpact = 1.0;
/** For each task that would suffer should it turn out harmful. */
constexpr double kTriedBeside = 0.3;
constexpr double kImpactWeight = 4;
constexpr double kAvoided = 20;

bool
Contains(std::span<const std::string> aList, std::string_view aWord)
{
  return std::find(aList.begin(), aList.end(), aWord) != aList.end();
}

double
UsedShare(const FleetWorker& aWorker)
{
  const FleetRoom& room = aWorker.facts_.room_;
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

/** The share of its processors that one more backfill task would get. */
double
BackfillShare(const FleetWorker& aWorker, std::int64_t aCpuMilli)
{
  const double unused =
    (1 - kServingUse) * static_cast<double>(aWorker.servingCpuMilli_);
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

constexpr double kNever = std::numeric_limits<double>::infinity();

double
BackfillCost(const WorkerOption& aOption, const ChoiceFacts& aFacts)
{
  const FleetWorker& worker = *aOption.worker_;
  const double share = BackfillShare(worker, aFacts.step_->cpuMilli_);
  if (aFacts.starving_) {
    return kImpactWeight * aOption.impact_.cost_ + 1 / std::max(share, 0.05);
  }
  if (share < kLeastBackfillShare || worker.backfillShare_ < kSaturated) {
    return kNever;
  }
  double cost = 1 / share + UsedShare(worker) * 0.5;
  if (worker.serving_ == 0) {
    return cost;
  }
  if (worker.backfillPaused_ || worker.pressure_ > kPressed) {
    return kNever;
  }
  const BackfillImpact& impact = aOption.impact_;
  if (impact.cost_ > kHarmful) {
    return kNever;
  }
  if (!impact.known_) {
    const bool mayTry = worker.pressure_ < kCalmPressure &&
                        aFacts.now_ - worker.triedAt_ > kTryEvery;
    return mayTry ? cost + kUnknownImpact + kTriedBeside * worker.serving_
                  : kNever;
  }
  if (impact.total_ > kMaxImpact) {
    return kNever;
  }
  return cost + kBesideServing + kImpactWeight * impact.cost_;
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
    cost = worker.serving_ > 0 ? 0.5 + UsedShare(worker) * 0.1
                               : 1 + UsedShare(worker);
  } else {
    cost = 1 + UsedShare(worker);
  }
  cost *= DistanceFactor(worker, aFacts) * worker.slowness_;
  if (Contains(aFacts.avoid_, worker.node_)) {
    cost += kAvoided;
  }
  return cost;
}

bool
IsSetAside(const WorkerOption& aOption, Instant aNow)
{
  return aOption.setAside_ || aNow < aOption.worker_->avoidUntil_;
}

/**
 * Whether some worker that could take the task is trusted. If none is, those
 * set aside are used all the same: work must not wait for ever because every
 * worker had a bad minute.
 */
bool
AnyTrusted(std::span<const WorkerOption> aOptions, const ChoiceFacts& aFacts)
{
  return std::any_of(
    aOptions.begin(), aOptions.end(), [&aFacts](const WorkerOption& aOption) {
      return MayRunOn(aOption, aFacts) && !IsSetAside(aOption, aFacts.now_);
    });
}

}

TaskRoom
RoomOf(const StepSpec& aStep)
{
  TaskRoom room;
  room.room_ = { aStep.backfill_ ? 0 : aStep.cpuMilli_,
                 aStep.memoryMb_,
                 aStep.accelerators_ };
  room.backfillCpuMilli_ = aStep.backfill_ ? aStep.cpuMilli_ : 0;
  room.serves_ = aStep.latencyObjectiveMs_ > 0;
  room.image_ = aStep.image_;
  return room;
}

bool
MayRunOn(const WorkerOption& aOption, const ChoiceFacts& aFacts)
{
  const FleetWorker& worker = *aOption.worker_;
  const StepSpec& step = *aFacts.step_;
  if (!worker.synced_ || !worker.registered_ || !worker.facts_.answers_ ||
      worker.facts_.id_.empty() || worker.facts_.service_ != aFacts.service_ ||
      worker.facts_.draining_ || !worker.strangers_.empty()) {
    return false;
  }
  if (!step.requiredLabel_.empty() &&
      !Contains(worker.facts_.labels_, step.requiredLabel_)) {
    return false;
  }
  return step.maxPerWorker_ == 0 || aOption.sameStep_ < step.maxPerWorker_;
}

bool
HasRoomFor(const FleetWorker& aWorker, const TaskRoom& aRoom)
{
  const FleetRoom free = aWorker.Free();
  return free.cpuMilli_ >= aRoom.room_.cpuMilli_ &&
         free.memoryMb_ >= aRoom.room_.memoryMb_ &&
         free.accelerators_ >= aRoom.room_.accelerators_;
}

namespace {

std::optional<std::size_t>
BestOf(std::span<const WorkerOption> aOptions,
       const ChoiceFacts& aFacts,
       bool aTrustedOnly)
{
  const TaskRoom room = RoomOf(*aFacts.step_);
  std::optional<std::size_t> best;
  double bestCost = kNever;
  for (std::size_t i = 0; i < aOptions.size(); ++i) {
    const FleetWorker& worker = *aOptions[i].worker_;
    if (!MayRunOn(aOptions[i], aFacts) || !HasRoomFor(worker, room) ||
        aFacts.now_ < worker.fullUntil_ ||
        (aTrustedOnly && IsSetAside(aOptions[i], aFacts.now_))) {
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
  const auto trusted = BestOf(aOptions, aFacts, AnyTrusted(aOptions, aFacts));
  if (trusted.has_value() || !aFacts.step_->longRunning_) {
    return trusted;
  }
  // A long-running task has no attempts to lose: where all trusted workers are
  // full it tries one that is set aside, rather than be away for its pause.
  return BestOf(aOptions, aFacts, false);
}

}
