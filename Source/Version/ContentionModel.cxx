#include "Version/ContentionModel.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

namespace {

/** Ratio of the latency without load to the lowest reported latency, which
 * still includes some load. */
constexpr double kBaseToLowestRatio = 0.8;
/** Minimum number of reports of an image for its lowest pressure to be used
 * unchanged; with fewer reports it is limited to kInitialLowestLimit. */
constexpr std::uint32_t kMinReports = 30;
/** Upper limit of the lowest pressure of an image with fewer than kMinReports
 * reports, as a share of the objective. */
constexpr double kInitialLowestLimit = 0.3;
/** Pressure up to which backfill may raise a serving task, just below its
 * objective. */
constexpr double kMaxPressure = 0.98;
/** Utilisation above which latency no longer indicates utilisation. */
constexpr double kMaxUtilisation = 0.97;

/** Prior of an unknown pair: most pairs cost nothing and a few cost much, so
 * the mean lies between them and the deviation is wide. */
constexpr double kPriorCost = 0.05;
constexpr double kPriorCostDeviation = 0.12;
/** Variance added per second, because the cost of a pair changes within about a
 * minute. */
constexpr double kDriftPerSecond = 2e-4;
/** Standard deviation of one measurement, as a share of capacity. Latencies are
 * whole milliseconds and cover half a second of requests. */
constexpr double kMeasurementDeviation = 0.08;

constexpr double
Square(double aValue)
{
  return aValue * aValue;
}

}

ContentionModel::Image
ContentionModel::Number(std::string_view aName)
{
  const auto known = numbers_.find(aName);
  if (known != numbers_.end()) {
    return known->second;
  }
  const auto next = static_cast<Image>(numbers_.size());
  numbers_.emplace(std::string(aName), next);
  return next;
}

ContentionModel::Serving&
ContentionModel::ServingAt(Image aServing)
{
  if (aServing >= servings_.size()) {
    servings_.resize(aServing + 1);
  }
  return servings_[aServing];
}

double
ContentionModel::BasePressureOf(Image aServing) const
{
  if (aServing >= servings_.size() || servings_[aServing].reportCount_ == 0) {
    return kBaseToLowestRatio * kInitialLowestLimit;
  }
  const Serving& serving = servings_[aServing];
  const double lowest =
    serving.reportCount_ < kMinReports
      ? std::min(serving.lowestPressure_, kInitialLowestLimit)
      : serving.lowestPressure_;
  return kBaseToLowestRatio * lowest;
}

double
ContentionModel::Utilisation(Image aServing, double aPressure) const
{
  if (aPressure <= 0) {
    return 0;
  }
  return std::clamp(
    1 - BasePressureOf(aServing) / aPressure, 0.0, kMaxUtilisation);
}

double
ContentionModel::Limit(Image aServing) const
{
  return Utilisation(aServing, kMaxPressure);
}

double
ContentionModel::LoadWithin(const std::string& aJob, Millis aAhead) const
{
  const auto found = loads_.find(aJob);
  return found == loads_.end() ? ServingLoad(Instant()).MaxWithin(aAhead)
                               : found->second.MaxWithin(aAhead);
}

const ScalarEstimate*
ContentionModel::FindCost(Image aServing, Image aBackfill) const
{
  if (aServing >= servings_.size()) {
    return nullptr;
  }
  const auto found = servings_[aServing].costs_.find(aBackfill);
  return found == servings_[aServing].costs_.end() ? nullptr : &found->second;
}

ContentionCost
ContentionModel::CostOf(Image aServing, Image aBackfill) const
{
  const ScalarEstimate* cost = FindCost(aServing, aBackfill);
  if (cost == nullptr) {
    return { kPriorCost, kPriorCostDeviation };
  }
  return { cost->mean_, std::sqrt(cost->variance_) };
}

ScalarEstimate&
ContentionModel::CostAt(Image aServing, Image aBackfill, Instant aNow)
{
  const double maxVariance = Square(kPriorCostDeviation);
  ScalarEstimate& cost =
    ServingAt(aServing)
      .costs_
      .try_emplace(aBackfill, ScalarEstimate{ kPriorCost, maxVariance, aNow })
      .first->second;
  const double seconds = std::max(
    0.0, std::chrono::duration<double>(aNow - cost.updatedAt_).count());
  cost.variance_ =
    std::min(maxVariance, cost.variance_ + kDriftPerSecond * seconds);
  cost.updatedAt_ = std::max(cost.updatedAt_, aNow);
  return cost;
}

void
ContentionModel::OnReported(Image aServing, double aPressure)
{
  Serving& serving = ServingAt(aServing);
  serving.lowestPressure_ = serving.reportCount_ == 0
                              ? aPressure
                              : std::min(serving.lowestPressure_, aPressure);
  ++serving.reportCount_;
}

void
ContentionModel::OnMeasured(Image aServing,
                            const std::string& aJob,
                            double aPressure,
                            std::span<const Neighbour> aNeighbours,
                            Instant aMeasuredAt)
{
  if (aPressure <= 0) {
    return;
  }
  ServingLoad& load =
    loads_.try_emplace(aJob, ServingLoad(aMeasuredAt)).first->second;
  load.Advance(aMeasuredAt);
  struct Term
  {
    ScalarEstimate* cost_;
    double weight_;
  };
  std::vector<Term> terms;
  terms.reserve(aNeighbours.size());
  double expected = load.Estimate().mean_;
  double variance = Square(kMeasurementDeviation) + load.Estimate().variance_;
  for (const Neighbour& neighbour : aNeighbours) {
    ScalarEstimate& cost = CostAt(aServing, neighbour.program_, aMeasuredAt);
    terms.push_back({ &cost, neighbour.weight_ });
    expected += neighbour.weight_ * cost.mean_;
    variance += Square(neighbour.weight_) * cost.variance_;
  }
  const double used = Utilisation(aServing, aPressure);
  if (used >= kMaxUtilisation && expected >= used) {
    return; // Saturated as expected; the excess cannot be measured.
  }
  const double error = used - expected;
  load.Correct(error, load.Estimate().variance_ / variance);
  for (const Term& term : terms) {
    ScalarEstimate& cost = *term.cost_;
    cost.Correct(error, cost.variance_ * term.weight_ / variance, term.weight_);
    // A neighbour never speeds a task up. A negative cost is noise and would
    // distort the load and the costs of other pairs.
    cost.mean_ = std::clamp(cost.mean_, 0.0, 1.0);
  }
}

void
ContentionModel::SetKnownCost(Image aServing,
                              Image aBackfill,
                              double aCost,
                              Instant aNow)
{
  CostAt(aServing, aBackfill, aNow) = { aCost, 0, aNow };
}

LearnedContention
ContentionModel::Export() const
{
  std::vector<std::string> names(numbers_.size());
  for (const auto& [name, number] : numbers_) {
    names[number] = name;
  }
  LearnedContention learned;
  for (Image image = 0; image < servings_.size(); ++image) {
    const Serving& serving = servings_[image];
    if (serving.reportCount_ > 0) {
      learned.bases_.push_back(
        { names[image], serving.lowestPressure_, serving.reportCount_ });
    }
    for (const auto& [backfill, cost] : serving.costs_) {
      learned.pairs_.push_back(
        { names[image], names[backfill], cost.mean_, cost.variance_ });
    }
  }
  return learned;
}

void
ContentionModel::Import(const LearnedContention& aLearned, Instant aNow)
{
  for (const LearnedContention::Base& base : aLearned.bases_) {
    Serving& serving = ServingAt(Number(base.serving_));
    serving.lowestPressure_ =
      serving.reportCount_ == 0
        ? base.lowestPressure_
        : std::min(serving.lowestPressure_, base.lowestPressure_);
    serving.reportCount_ += base.reportCount_;
  }
  for (const LearnedContention::Pair& pair : aLearned.pairs_) {
    Serving& serving = ServingAt(Number(pair.serving_));
    serving.costs_.try_emplace(
      Number(pair.backfill_),
      ScalarEstimate{ pair.mean_, pair.variance_, aNow });
  }
}

void
ContentionModel::ForgetBefore(Instant aTime)
{
  std::erase_if(loads_, [aTime](const auto& aEntry) {
    return aEntry.second.Estimate().updatedAt_ < aTime;
  });
}

}
