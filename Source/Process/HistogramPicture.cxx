#include "Process/HistogramPicture.h"

#include "Process/TextTable.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace cactusrail {

namespace {

constexpr std::array<const char*, 9> kBars{ " ", "▁", "▂", "▃", "▄",
                                            "▅", "▆", "▇", "█" };

std::string
MillisText(double aSeconds)
{
  constexpr double kMillisPerSecond = 1000.0;
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << aSeconds * kMillisPerSecond;
  return text.str();
}

std::vector<std::string>
SeriesRow(const SeriesSummary& aSeries)
{
  return { aSeries.tenant_,
           aSeries.class_,
           std::to_string(aSeries.latency_.count_),
           MillisText(aSeries.latency_.median_),
           MillisText(aSeries.latency_.p99_),
           MillisText(aSeries.latency_.p999_),
           MillisText(aSeries.latency_.maximum_),
           MillisText(aSeries.queued_.p99_),
           std::to_string(aSeries.ran_),
           std::to_string(aSeries.didNotRun_),
           std::to_string(aSeries.mayHaveRun_),
           "|" + HistogramBars(aSeries.latency_) + "|" };
}

}

std::string
HistogramBars(const HistogramSummary& aSummary)
{
  std::vector<std::uint64_t> counts;
  std::uint64_t cumulative = 0;
  for (const HistogramBucket& bucket : aSummary.buckets_) {
    counts.push_back(bucket.cumulative_ - cumulative);
    cumulative = bucket.cumulative_;
  }
  const std::uint64_t highest =
    counts.empty() ? 0 : *std::max_element(counts.begin(), counts.end());
  std::string bars;
  for (const std::uint64_t count : counts) {
    // A non-empty bucket is never drawn as empty.
    const std::size_t steps = kBars.size() - 1;
    const std::size_t height =
      count == 0
        ? 0
        : std::max<std::size_t>(1, steps * count / std::max(highest, count));
    bars += kBars.at(height);
  }
  return bars;
}

std::string
FormatMetrics(const MetricsSnapshot& aSnapshot)
{
  TextTable table;
  table.AddRow({ "TENANT",
                 "CLASS",
                 "REQUESTS",
                 "P50-MS",
                 "P99-MS",
                 "P99.9-MS",
                 "MAX-MS",
                 "QUEUE-P99-MS",
                 "RAN",
                 "NOT-RUN",
                 "MAY-HAVE-RUN",
                 "LATENCY 10us..1000s" });
  for (const SeriesSummary& series : aSnapshot.series_) {
    table.AddRow(SeriesRow(series));
  }
  std::string counts;
  for (const std::vector<MetricValue>* values :
       { &aSnapshot.gauges_, &aSnapshot.counters_ }) {
    for (const MetricValue& value : *values) {
      if (value.value_ != 0) {
        counts += value.name_ + " " + std::to_string(value.value_) + "\n";
      }
    }
  }
  return aSnapshot.role_ + " " + aSnapshot.process_ + "\n" + table.Text() +
         counts;
}

}
