#include "Version/DurationModel.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

namespace {

/** Weight, in steps, of the prior that estimates are accurate on average. */
constexpr double kMeanPriorWeight = 1;
/** Weight of the prior that the slope is 1, as a sum of squares: that of about
 * four steps whose estimates differ by a factor of three. */
constexpr double kSlopePriorWeight = 4;
/** Number of steps after which the weight of old samples is 1/e. With eleven
 * workers this is about two minutes of batch steps or half a minute of urgent
 * steps. */
constexpr double kDecaySteps = 200;

}

void
DurationModel::LogRegression::Add(double aEstimate,
                                  double aDuration,
                                  double aWeight)
{
  const double keep = std::max(0.0, 1 - aWeight / kDecaySteps);
  weight_ *= keep;
  sumSquares_ *= keep;
  sumProducts_ *= keep;
  weight_ += aWeight;
  const double estimateDeviation = aEstimate - meanEstimate_;
  const double durationDeviation = aDuration - meanDuration_;
  meanEstimate_ += estimateDeviation * aWeight / weight_;
  meanDuration_ += durationDeviation * aWeight / weight_;
  sumSquares_ += aWeight * estimateDeviation * (aEstimate - meanEstimate_);
  sumProducts_ += aWeight * durationDeviation * (aEstimate - meanEstimate_);
}

double
DurationModel::LogRegression::Predict(double aEstimate) const
{
  const double slope =
    (sumProducts_ + kSlopePriorWeight) / (sumSquares_ + kSlopePriorWeight);
  const double shift =
    (meanDuration_ - meanEstimate_) * weight_ / (weight_ + kMeanPriorWeight);
  return meanEstimate_ + shift +
         std::clamp(slope, 0.0, 1.0) * (aEstimate - meanEstimate_);
}

void
DurationModel::OnTaskDuration(std::string_view aQueue,
                              std::int64_t aEstimateMs,
                              double aDurationMs,
                              double aWeight)
{
  if (aEstimateMs <= 0 || aDurationMs <= 0 || aWeight <= 0) {
    return;
  }
  auto line = regressions_.find(aQueue);
  if (line == regressions_.end()) {
    line = regressions_.emplace(std::string(aQueue), LogRegression()).first;
  }
  line->second.Add(
    std::log(static_cast<double>(aEstimateMs)), std::log(aDurationMs), aWeight);
}

std::vector<DurationModel::Relation>
DurationModel::Relations() const
{
  std::vector<Relation> relations;
  for (const auto& [queue, line] : regressions_) {
    const double intercept = line.Predict(0);
    relations.push_back({ queue, intercept, line.Predict(1) - intercept });
  }
  return relations;
}

double
DurationModel::ExpectedMillis(std::string_view aQueue,
                              std::int64_t aEstimateMs) const
{
  if (aEstimateMs <= 0) {
    return 0;
  }
  const auto line = regressions_.find(aQueue);
  if (line == regressions_.end()) {
    return static_cast<double>(aEstimateMs);
  }
  return std::exp(
    line->second.Predict(std::log(static_cast<double>(aEstimateMs))));
}

}
