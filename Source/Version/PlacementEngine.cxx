#include "Version/PlacementEngine.h"

#include <algorithm>
#include <limits>

namespace cactusrail {

namespace {

/** Reports lag behind placements: a report up to this much later than a
 * placement may not include it. */
constexpr Millis kReportLag{ 300 };
/** Lower limit of the urgent load used for scoring, because the load of an idle
 * runner may rise soon. */
constexpr double kMinLoad = 0.2;
/** Urgent load at which the slowdown is compared with disruptiveCost_ and
 * sharedCostLimit_. */
constexpr double kHalfLoad = 0.5;
/** Weight of the used share of a worker in the score of batch work. */
constexpr double kPackingWeight = 0.02;
/** Added to the score of a service for each task of the same program on the
 * worker. */
constexpr double kSameProgramPenalty = 1.0;

double
UsedShare(const Resources& aTaken, const Resources& aCapacity)
{
  const auto part = [](std::int64_t aUsed, std::int64_t aAll) {
    return aAll == 0 ? 0.0
                     : static_cast<double>(aUsed) / static_cast<double>(aAll);
  };
  return std::max(part(aTaken.milliCpus_, aCapacity.milliCpus_),
                  part(aTaken.memoryMb_, aCapacity.memoryMb_));
}

}

PlacementEngine::PlacementEngine(const Rules& aRules,
                                 const UsageEstimate& aUsage,
                                 const InterferenceModel& aInterference,
                                 InterferenceModel::Program aVictim,
                                 std::uint64_t aSeed)
  : rules_(aRules)
  , usage_(aUsage)
  , interference_(aInterference)
  , victim_(aVictim)
  , random_(aSeed)
{
}

std::uint64_t
PlacementEngine::NextRandom()
{
  random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
  return random_ >> 33U;
}

bool
PlacementEngine::ExpectedToFit(const Resources& aExpected,
                               const WorkerFacts& aWorker,
                               Instant)
{
  Resources taken = aWorker.used_;
  const auto found = pending_.find(aWorker.workerId_);
  if (found != pending_.end()) {
    std::erase_if(found->second, [&aWorker](const Pending& aPending) {
      return aPending.placedAt_ + kReportLag < aWorker.reportedAt_;
    });
    for (const Pending& pending : found->second) {
      taken += pending.resources_;
    }
  }
  const auto fits = [](std::int64_t aTaken, std::int64_t aAll, double aLimit) {
    return static_cast<double>(aTaken) <= static_cast<double>(aAll) * aLimit;
  };
  taken += aExpected;
  return fits(taken.milliCpus_,
              aWorker.capacity_.milliCpus_,
              rules_.processorLimit_) &&
         fits(
           taken.memoryMb_, aWorker.capacity_.memoryMb_, rules_.memoryLimit_);
}

double
PlacementEngine::Score(const TaskFacts& aTask,
                       InterferenceModel::Program aProgram,
                       const WorkerFacts& aWorker) const
{
  const double load = std::max(kMinLoad, aWorker.urgentLoad_);
  const double harm =
    interference_.Cost(victim_, aProgram, load) * load * rules_.harmWeight_;
  Resources after = aWorker.reserved_;
  after += aTask.declared_;
  return harm - kPackingWeight * UsedShare(after, aWorker.capacity_);
}

double
PlacementEngine::ServiceScore(const TaskFacts& aTask,
                              const WorkerFacts& aWorker) const
{
  // Spreads replicas of a service, so that a host failure stops only one.
  const auto same = std::count(
    aWorker.programs_.begin(), aWorker.programs_.end(), aTask.program_);
  return static_cast<double>(same) * kSameProgramPenalty +
         UsedShare(aWorker.reserved_, aWorker.capacity_);
}

bool
PlacementEngine::IsPlacementAllowed(bool aDisruptive,
                                    bool aDesignated,
                                    double aCost,
                                    const WorkerFacts& aWorker,
                                    Instant aNow) const
{
  if (aDesignated) {
    return aDisruptive || !disruptiveRejectedAt_.has_value() ||
           *disruptiveRejectedAt_ + rules_.rejectionHold_ < aNow;
  }
  if (!aDisruptive) {
    return true;
  }
  double sum = aCost;
  for (const std::string& program : aWorker.programs_) {
    sum += interference_.Cost(victim_, interference_.Find(program), kHalfLoad);
  }
  return sum <= rules_.sharedCostLimit_;
}

std::optional<std::size_t>
PlacementEngine::Choose(const TaskFacts& aTask,
                        std::span<const WorkerFacts> aWorkers,
                        Instant aNow)
{
  const std::size_t count = aWorkers.size();
  if (count == 0) {
    return std::nullopt;
  }
  const bool urgent = aTask.kind_ == WorkKind::Service;
  if (urgent) {
    urgentSize_.milliCpus_ =
      std::max(urgentSize_.milliCpus_, aTask.declared_.milliCpus_);
    urgentSize_.memoryMb_ =
      std::max(urgentSize_.memoryMb_, aTask.declared_.memoryMb_);
  }
  const auto isOpen = [this](const WorkerFacts& aWorker) {
    return !aWorker.cordoned_ &&
           urgentSize_.FitsIn(aWorker.capacity_, aWorker.reserved_);
  };
  const auto open = static_cast<std::size_t>(
    std::count_if(aWorkers.begin(), aWorkers.end(), isOpen));
  const InterferenceModel::Program program = interference_.Find(aTask.program_);
  const double cost = interference_.Cost(victim_, program, kHalfLoad);
  const bool disruptive = !urgent && cost > rules_.disruptiveCost_;
  const auto generalWorkers = static_cast<std::size_t>(
    static_cast<double>(count) * (1 - rules_.designatedShare_));
  const Resources expected =
    usage_.Expect(aTask.program_, aTask.declared_, 0).resources_;
  std::optional<std::size_t> best;
  double bestScore = std::numeric_limits<double>::max();
  std::size_t scored = 0;
  const std::size_t start = NextRandom() % count;
  for (std::size_t step = 0; step < count && scored < rules_.maxScored_;
       ++step) {
    const std::size_t index = (start + step) % count;
    const WorkerFacts& worker = aWorkers[index];
    if (worker.cordoned_ ||
        !aTask.declared_.FitsIn(worker.capacity_, worker.reserved_)) {
      continue;
    }
    if (!urgent) {
      // If batch work filled the last open workers, the next urgent task would
      // have to wait for a checkpoint or cause an eviction.
      Resources after = worker.reserved_;
      after += aTask.declared_;
      const bool closes =
        isOpen(worker) && !urgentSize_.FitsIn(worker.capacity_, after);
      if (closes && open <= rules_.minOpenWorkers_) {
        continue;
      }
      if (!IsPlacementAllowed(
            disruptive, index >= generalWorkers, cost, worker, aNow) ||
          !ExpectedToFit(expected, worker, aNow)) {
        continue;
      }
    }
    ++scored;
    const double score =
      urgent ? ServiceScore(aTask, worker) : Score(aTask, program, worker);
    if (score < bestScore) {
      best = index;
      bestScore = score;
    }
  }
  if (disruptive && !best.has_value()) {
    disruptiveRejectedAt_ = aNow;
  }
  if (best.has_value()) {
    pending_[aWorkers[*best].workerId_].push_back({ expected, aNow });
  }
  return best;
}

}
