#include "Process/Histogram.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

namespace {

namespace accumulators = boost::accumulators;

/** Range of the bins in seconds. */
constexpr double kLowest = 1e-5;
constexpr double kHighest = 1e3;
constexpr int kBinsADecade = 50;
constexpr int kDecades = 8;
constexpr int kBins = kBinsADecade * kDecades;
constexpr double kHalfBin = 0.5;
constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;

}

Histogram::Histogram()
  : bins_(std::make_tuple(Axis(kBins, kLowest, kHighest)))
{
}

void
Histogram::Add(Micros aDuration)
{
  const double seconds = std::chrono::duration<double>(aDuration).count();
  // Clamps durations to the first and the last bin: the logarithm of zero would
  // lose the value, and so would an edge that is rounded outwards.
  const Axis& axis = bins_.axis();
  const double shortest = axis.value(kHalfBin);
  const double longest = axis.value(kBins - kHalfBin);
  bins_(std::clamp(seconds, shortest, longest));
  exactStatistics_(seconds);
}

std::uint64_t
Histogram::Count() const
{
  return accumulators::count(exactStatistics_);
}

double
Histogram::BinCount(int aBin) const
{
  return static_cast<double>(bins_.at(aBin));
}

double
Histogram::Quantile(double aShare) const
{
  if (Count() == 0) {
    return 0.0;
  }
  const double wanted = aShare * static_cast<double>(Count());
  const Axis& axis = bins_.axis();
  double cumulative = 0.0;
  int bin = 0;
  for (; bin < kBins - 1; ++bin) {
    cumulative += BinCount(bin);
    if (cumulative >= wanted && cumulative > 0.0) {
      break;
    }
  }
  const double middle = std::sqrt(axis.value(bin) * axis.value(bin + 1));
  return std::clamp(middle,
                    accumulators::min(exactStatistics_),
                    accumulators::max(exactStatistics_));
}

HistogramSummary
Histogram::Summarize(std::size_t aBinsPerBucket) const
{
  HistogramSummary summary;
  summary.count_ = Count();
  if (summary.count_ == 0) {
    return summary;
  }
  summary.sum_ = accumulators::sum(exactStatistics_);
  summary.minimum_ = accumulators::min(exactStatistics_);
  summary.maximum_ = accumulators::max(exactStatistics_);
  summary.median_ = Quantile(kMedian);
  summary.p99_ = Quantile(kP99);
  summary.p999_ = Quantile(kP999);
  const Axis& axis = bins_.axis();
  double cumulative = 0.0;
  for (int bin = 0; bin < kBins; ++bin) {
    cumulative += BinCount(bin);
    if ((bin + 1) % static_cast<int>(aBinsPerBucket) == 0) {
      summary.buckets_.push_back(
        { axis.value(bin + 1), static_cast<std::uint64_t>(cumulative) });
    }
  }
  return summary;
}

}
