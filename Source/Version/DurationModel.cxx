#include "Version/DurationModel.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

namespace {

/** Weight, in steps, of the prior that estimates are accurate on average. */
constexpr double kTrustInMean = 1;
/** Weight of the prior that the slope is 1, as a sum of squares: that of about
 * four steps whose estimates differ by a factor of three. */
constexpr double kTrustInSlope = 4;
/** Number of steps over which old samples decay. With eleven workers this is
 * about two minutes of batch steps or half a minute of urgent steps. */
constexpr double kMemory = 200;

}

void
DurationModel::Line::Add(double aEstimate, double aTook, double aWeight)
{
  const double keep = std::max(0.0, 1 - aWeight / kMemory);
  weight_ *= keep;
  squares_ *= keep;
  products_ *= keep;
  weight_ += aWeight;
  const double offEstimate = aEstimate - meanEstimate_;
  const double offTook = aTook - meanTook_;
  meanEstimate_ += offEstimate * aWeight / weight_;
  meanTook_ += offTook * aWeight / weight_;
  squares_ += aWeight * offEstimate * (aEstimate - meanEstimate_);
  products_ += aWeight * offTook * (aEstimate - meanEstimate_);
}

double
DurationModel::Line::At(double aEstimate) const
{
  const double slope = (products_ + kTrustInSlope) / (squares_ + kTrustInSlope);
  const double shift =
    (meanTook_ - meanEstimate_) * weight_ / (weight_ + kTrustInMean);
  return meanEstimate_ + shift +
         std::clamp(slope, 0.0, 1.0) * (aEstimate - meanEstimate_);
}

void
DurationModel::OnTook(std::string_view aQueue,
                      std::int64_t aEstimateMs,
                      double aTookMs,
                      double aWeight)
{
  if (aEstimateMs <= 0 || aTookMs <= 0 || aWeight <= 0) {
    return;
  }
  auto line = lines_.find(aQueue);
  if (line == lines_.end()) {
    line = lines_.emplace(std::string(aQueue), Line()).first;
  }
  line->second.Add(
    std::log(static_cast<double>(aEstimateMs)), std::log(aTookMs), aWeight);
}

double
DurationModel::ExpectedMillis(std::string_view aQueue,
                              std::int64_t aEstimateMs) const
{
  if (aEstimateMs <= 0) {
    return 0;
  }
  const auto line = lines_.find(aQueue);
  if (line == lines_.end()) {
    return static_cast<double>(aEstimateMs);
  }
  return std::exp(line->second.At(std::log(static_cast<double>(aEstimateMs))));
}

}
