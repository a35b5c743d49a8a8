#pragma once

#include "Version/Instant.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/unlimited_storage.hpp>

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <tuple>
#include <vector>

namespace cactusrail {

/** Cumulative bucket: number of values up to an upper bound. */
struct HistogramBucket
{
  double upperSeconds_ = 0.0;
  std::uint64_t cumulative_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("upperSeconds", upperSeconds_),
       cereal::make_nvp("cumulative", cumulative_));
  }
};

/** Statistics and buckets of a histogram, in seconds. */
struct HistogramSummary
{
  std::uint64_t count_ = 0;
  double sum_ = 0.0;
  double minimum_ = 0.0;
  double maximum_ = 0.0;
  double median_ = 0.0;
  double p99_ = 0.0;
  double p999_ = 0.0;
  /** Sorted by upper bound; empty if there is no value. */
  std::vector<HistogramBucket> buckets_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("count", count_),
       cereal::make_nvp("sum", sum_),
       cereal::make_nvp("minimum", minimum_),
       cereal::make_nvp("maximum", maximum_),
       cereal::make_nvp("median", median_),
       cereal::make_nvp("p99", p99_),
       cereal::make_nvp("p999", p999_),
       cereal::make_nvp("buckets", buckets_));
  }
};

/**
 * Histogram of durations with logarithmic bins, 50 per decade from 10 µs to
 * 1000 s, so that quantiles are accurate within 2.4 %. Quantiles come from the
 * bins: the quantile estimate of Boost.Accumulators was wrong by a factor of
 * six when the slow values arrived together. Count, sum, minimum and maximum
 * are exact and come from Boost.Accumulators. Not thread-safe; the owner locks.
 */
class Histogram
{
public:
  Histogram();

  /** Adds a duration. One outside the range of the bins is counted in the first
   * or the last bin. */
  void Add(Micros aDuration);

  std::uint64_t Count() const;

  /**
   * Returns the quantile for a share from 0 to 1, in seconds: the geometric
   * middle of its bin, clamped to the minimum and maximum. 0 if empty.
   */
  double Quantile(double aShare) const;

  /** Returns the summary, with one bucket per aBinsPerBucket bins. */
  HistogramSummary Summarize(std::size_t aBinsPerBucket) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Bins = boost::histogram::histogram<std::tuple<Axis>>;

  double BinCount(int aBin) const;

  using ExactStatistics = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum,
                               boost::accumulators::tag::min,
                               boost::accumulators::tag::max>>;

  Bins bins_;
  ExactStatistics exactStatistics_;
};

}
