#include "Version/Reaction.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cactusrail {

namespace {

/** Weight of a new report in the smoothed slowdown. */
constexpr double kSlowdownSmoothing = 0.4;
/** Minimum sample count of a report that is used. */
constexpr double kMinSamples = 5;
/** Limits of the urgent load from which the allowed slowdown is computed: its
 * factor (1 - load) / load is unbounded at load 0 and zero at load 1. */
constexpr double kMinLoad = 0.1;
constexpr double kMaxLoad = 0.95;
/** Minimum slowdown caused by a task for which a step is taken. */
constexpr double kMinCost = 0.002;
/** Price of a move relative to that of an eviction. */
constexpr double kMovePriceRatio = 0.15;
/** Weight of a lost payout relative to the lost progress of another task. */
constexpr double kPayoutFactor = 10;
/** Converts the harm to urgent work, slowdown times load, to the scale of
 * eviction prices. */
constexpr double kHarmFactor = 20;

}

Reaction::Reaction(const Rules& aRules, const PolicyWeights& aWeights)
  : rules_(aRules)
  , weights_(aWeights)
{
}

double
Reaction::PriceOfRemoval(const RunningTask& aTask) const
{
  if (aTask.canCheckpoint_) {
    return weights_.evictions_ * kMovePriceRatio;
  }
  const bool atRisk = aTask.payout_ && !aTask.checkpointed_;
  return weights_.evictions_ * (atRisk ? kPayoutFactor : 1);
}

ReactionStep
Reaction::RemovalOf(std::size_t aWorker,
                    std::size_t aIndex,
                    const RunningTask& aTask)
{
  const ReactionKind kind =
    aTask.canCheckpoint_ ? ReactionKind::Move : ReactionKind::Evict;
  return { kind, aWorker, aIndex, aTask.throttle_ };
}

std::size_t
Reaction::EvictionsLeft(Instant aNow)
{
  while (!evictions_.empty() &&
         evictions_.front() + rules_.evictionPeriod_ <= aNow) {
    evictions_.pop_front();
  }
  const std::size_t taken = evictions_.size();
  return rules_.evictionsPerPeriod_ -
         std::min(taken, rules_.evictionsPerPeriod_);
}

double
Reaction::AllowedAt(double aLoad) const
{
  const double load = std::clamp(aLoad, kMinLoad, kMaxLoad);
  const double tolerance = weights_.batchThroughput_ / weights_.tailLatency_;
  return rules_.allowedSlowdown_ * tolerance * (1 - load) / load;
}

void
Reaction::Observe(WorkerState& aState,
                  const WorkerPressure& aWorker,
                  const InterferenceModel& aModel,
                  InterferenceModel::Program aVictim) const
{
  if (aWorker.measuredAt_ <= aState.measuredAt_ ||
      aWorker.samples_ < kMinSamples) {
    return;
  }
  aState.measuredAt_ = aWorker.measuredAt_;
  const double slowdown = aModel.Slowdown(aVictim, aWorker.latencyMicros_);
  aState.slowdown_ += kSlowdownSmoothing * (slowdown - aState.slowdown_);
}

std::vector<ReactionStep>
Reaction::Decide(std::span<const WorkerPressure> aWorkers,
                 const InterferenceModel& aModel,
                 InterferenceModel::Program aVictim,
                 Instant aNow)
{
  std::vector<ReactionStep> steps;
  std::vector<Candidate> candidates;
  for (std::size_t index = 0; index < aWorkers.size(); ++index) {
    const WorkerPressure& worker = aWorkers[index];
    WorkerState& memory = workers_[worker.workerId_];
    Observe(memory, worker, aModel, aVictim);
    candidates.clear();
    double predicted = 1;
    for (std::size_t task = 0; task < worker.tasks_.size(); ++task) {
      const RunningTask& running = worker.tasks_[task];
      if (running.urgent_) {
        continue;
      }
      const double cost =
        aModel.Cost(aVictim, aModel.Find(running.program_), worker.urgentLoad_);
      predicted += cost * running.throttle_;
      if (!running.leaving_) {
        const double cores =
          static_cast<double>(running.declared_.milliCpus_) / 1000;
        candidates.push_back({ task, cost, cost / std::max(0.1, cores) });
      }
    }
    std::sort(candidates.begin(),
              candidates.end(),
              [](const Candidate& aLeft, const Candidate& aRight) {
                return aLeft.costPerCore_ != aRight.costPerCore_
                         ? aLeft.costPerCore_ > aRight.costPerCore_
                         : aLeft.task_ < aRight.task_;
              });
    // The prediction reflects placements and throttles at once; the measurement
    // reflects load changes that the model does not cover. Their mean responds
    // to both.
    const double excess = (predicted + memory.slowdown_) / 2 - 1;
    const double allowed = AllowedAt(worker.urgentLoad_);
    if (excess <= allowed) {
      memory.excessSince_.reset();
    }
    if (aNow < memory.nextStepAt_ || worker.cordoned_) {
      continue;
    }
    if (excess > allowed) {
      Relieve(steps, index, worker, candidates, excess - allowed, memory, aNow);
    } else if (excess < allowed * rules_.releaseShare_) {
      Release(steps, index, worker, candidates, allowed - excess, memory, aNow);
    }
  }
  return steps;
}

void
Reaction::Relieve(std::vector<ReactionStep>& aSteps,
                  std::size_t aIndex,
                  const WorkerPressure& aWorker,
                  std::span<const Candidate> aCandidates,
                  double aExcess,
                  WorkerState& aState,
                  Instant aNow)
{
  double remaining = aExcess;
  for (const Candidate& candidate : aCandidates) {
    if (remaining <= 0) {
      break;
    }
    if (candidate.cost_ < kMinCost) {
      continue;
    }
    const double now = aWorker.tasks_[candidate.task_].throttle_;
    const double wanted = std::max(rules_.minThrottle_, now / 2);
    if (wanted < now) {
      aSteps.push_back(
        { ReactionKind::Throttle, aIndex, candidate.task_, wanted });
      remaining -= candidate.cost_ * (now - wanted);
      aState.nextStepAt_ = aNow + rules_.settleTime_;
    }
  }
  if (aState.nextStepAt_ > aNow) {
    return;
  }
  if (!aState.excessSince_.has_value()) {
    aState.excessSince_ = aNow;
  }
  if (aNow - *aState.excessSince_ >= rules_.pressureTimeout_) {
    Remove(aSteps, aIndex, aWorker, aCandidates, aExcess, aState, aNow);
  }
}

void
Reaction::Remove(std::vector<ReactionStep>& aSteps,
                 std::size_t aIndex,
                 const WorkerPressure& aWorker,
                 std::span<const Candidate> aCandidates,
                 double aExcess,
                 WorkerState& aState,
                 Instant aNow)
{
  const double harm =
    weights_.tailLatency_ * aExcess * aWorker.urgentLoad_ * kHarmFactor;
  // Selects the cheapest step whose price does not exceed the harm. A payout
  // without a checkpoint has the highest price, so it is evicted only if no
  // cheaper step is possible.
  std::optional<ReactionStep> best;
  double bestPrice = harm;
  for (const Candidate& candidate : aCandidates) {
    const RunningTask& task = aWorker.tasks_[candidate.task_];
    if (candidate.cost_ < kMinCost) {
      continue;
    }
    const double price = PriceOfRemoval(task);
    const bool cheaper = best.has_value() ? price < bestPrice : price <= harm;
    if (cheaper && (task.canCheckpoint_ || EvictionsLeft(aNow) > 0)) {
      best = RemovalOf(aIndex, candidate.task_, task);
      bestPrice = price;
    }
  }
  if (!best.has_value()) {
    return;
  }
  if (best->kind_ == ReactionKind::Evict) {
    evictions_.push_back(aNow);
  }
  aSteps.push_back(*best);
  aState.nextStepAt_ = aNow + rules_.settleTime_;
  aState.excessSince_.reset();
}

void
Reaction::Release(std::vector<ReactionStep>& aSteps,
                  std::size_t aIndex,
                  const WorkerPressure& aWorker,
                  std::span<const Candidate> aCandidates,
                  double aAllowance,
                  WorkerState& aState,
                  Instant aNow) const
{
  double room = aAllowance;
  for (auto candidate = aCandidates.rbegin(); candidate != aCandidates.rend();
       ++candidate) {
    const double now = aWorker.tasks_[candidate->task_].throttle_;
    if (now >= 1) {
      continue;
    }
    const double wanted = std::min(1.0, now * 2);
    room -= candidate->cost_ * (wanted - now);
    if (room < 0) {
      return;
    }
    aSteps.push_back(
      { ReactionKind::Restore, aIndex, candidate->task_, wanted });
    aState.nextStepAt_ = aNow + rules_.settleTime_;
  }
}

std::vector<ReactionStep>
Reaction::FreeCapacity(const Resources& aSize,
                       std::span<const WorkerPressure> aWorkers,
                       Instant aNow)
{
  std::vector<ReactionStep> best;
  double bestPrice = std::numeric_limits<double>::max();
  std::size_t bestEvictions = 0;
  for (std::size_t index = 0; index < aWorkers.size(); ++index) {
    const WorkerPressure& worker = aWorkers[index];
    if (worker.cordoned_) {
      continue;
    }
    Resources reserved = worker.reserved_;
    const auto free = [&reserved](const RunningTask& aTask) {
      reserved.milliCpus_ -= aTask.declared_.milliCpus_;
      reserved.memoryMb_ -= aTask.declared_.memoryMb_;
      reserved.accelerators_ -= aTask.declared_.accelerators_;
    };
    std::vector<std::pair<double, std::size_t>> priced;
    for (std::size_t task = 0; task < worker.tasks_.size(); ++task) {
      const RunningTask& running = worker.tasks_[task];
      if (running.leaving_) {
        free(running);
      } else if (!running.urgent_) {
        priced.emplace_back(PriceOfRemoval(running), task);
      }
    }
    std::sort(priced.begin(), priced.end());
    std::vector<ReactionStep> steps;
    double price = 0;
    std::size_t evictions = 0;
    for (const auto& [cost, task] : priced) {
      if (aSize.FitsIn(worker.capacity_, reserved)) {
        break;
      }
      const RunningTask& running = worker.tasks_[task];
      free(running);
      steps.push_back(RemovalOf(index, task, running));
      evictions += running.canCheckpoint_ ? 0 : 1;
      price += cost;
    }
    const bool affordable = evictions <= EvictionsLeft(aNow);
    if (affordable && aSize.FitsIn(worker.capacity_, reserved) &&
        price < bestPrice) {
      best = std::move(steps);
      bestPrice = price;
      bestEvictions = evictions;
    }
  }
  evictions_.insert(evictions_.end(), bestEvictions, aNow);
  return best;
}

}
