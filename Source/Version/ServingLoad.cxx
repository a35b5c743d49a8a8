#include "Version/ServingLoad.h"

#include <algorithm>

namespace cactusrail {

namespace {

/** Prior of a job without measurements: services are sized with about a third
 * of their capacity to spare. */
constexpr double kFirstLoad = 0.45;
constexpr double kFirstDeviation = 0.2;
constexpr double kFirstPeak = 0.65;
/** Variance added per second. */
constexpr double kDriftPerSecond = 0.01;
/** Maximum rise of the load per second. */
constexpr double kSteepest = 0.1;
/** Decay of the peak per second. */
constexpr double kForgetPeak = 0.004;
constexpr double kMostLoad = 0.95;

double
SecondsBetween(Instant aFrom, Instant aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

}

ServingLoad::ServingLoad(Instant aNow)
  : load_{ kFirstLoad, kFirstDeviation * kFirstDeviation, aNow }
  , peak_(kFirstPeak)
{
}

void
ServingLoad::Advance(Instant aNow)
{
  const double seconds = SecondsBetween(load_.updatedAt_, aNow);
  const double most = kFirstDeviation * kFirstDeviation;
  load_.variance_ = std::min(most, load_.variance_ + kDriftPerSecond * seconds);
  load_.updatedAt_ = std::max(load_.updatedAt_, aNow);
  peak_ = std::max(load_.mean_, peak_ - kForgetPeak * seconds);
}

void
ServingLoad::Correct(double aError, double aGain)
{
  load_.Correct(aError, aGain, 1);
  load_.mean_ = std::clamp(load_.mean_, 0.0, kMostLoad);
  peak_ = std::max(peak_, load_.mean_);
}

double
ServingLoad::AtMost(Millis aAhead) const
{
  const double seconds = std::chrono::duration<double>(aAhead).count();
  return std::min(peak_, load_.mean_ + kSteepest * seconds);
}

}
