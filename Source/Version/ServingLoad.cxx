#include "Version/ServingLoad.h"

#include <algorithm>

namespace cactusrail {

namespace {

/** Prior of a job without measurements: services are sized with about a third
 * of their capacity to spare. */
constexpr double kPriorLoad = 0.45;
constexpr double kPriorLoadDeviation = 0.2;
constexpr double kPriorPeak = 0.65;
/** Variance added per second. */
constexpr double kDriftPerSecond = 0.01;
/** Maximum rise of the load per second. */
constexpr double kMaxRisePerSecond = 0.1;
/** Decay of the peak per second. */
constexpr double kPeakDecayPerSecond = 0.004;
constexpr double kMaxLoad = 0.95;

double
SecondsBetween(Instant aFrom, Instant aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

}

ServingLoad::ServingLoad(Instant aNow)
  : load_{ kPriorLoad, kPriorLoadDeviation * kPriorLoadDeviation, aNow }
  , peak_(kPriorPeak)
{
}

void
ServingLoad::Advance(Instant aNow)
{
  const double seconds = SecondsBetween(load_.updatedAt_, aNow);
  const double maxVariance = kPriorLoadDeviation * kPriorLoadDeviation;
  load_.variance_ =
    std::min(maxVariance, load_.variance_ + kDriftPerSecond * seconds);
  load_.updatedAt_ = std::max(load_.updatedAt_, aNow);
  peak_ = std::max(load_.mean_, peak_ - kPeakDecayPerSecond * seconds);
}

void
ServingLoad::Correct(double aError, double aGain)
{
  load_.Correct(aError, aGain, 1);
  load_.mean_ = std::clamp(load_.mean_, 0.0, kMaxLoad);
  peak_ = std::max(peak_, load_.mean_);
}

double
ServingLoad::MaxWithin(Millis aAhead) const
{
  const double seconds = std::chrono::duration<double>(aAhead).count();
  return std::min(peak_, load_.mean_ + kMaxRisePerSecond * seconds);
}

}
