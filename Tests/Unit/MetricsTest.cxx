#include "Process/Metrics.h"
#include "Process/HistogramPicture.h"
#include "Process/MetricsPage.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <thread>

using namespace cactusrail;

namespace {

std::uint64_t
CounterOf(const MetricsSnapshot& aSnapshot, const std::string& aName)
{
  const auto found = std::find_if(
    aSnapshot.counters_.begin(),
    aSnapshot.counters_.end(),
    [&](const MetricValue& aValue) { return aValue.name_ == aName; });
  cr_assert(found != aSnapshot.counters_.end());
  return found->value_;
}

}

// When the last 1.5 % of the calls are slow, all in a row, the p99 estimate of
// Boost.Accumulators is too high by a factor of six.
Test(Histogram, TailQuantileOfSlowBurstIsAccurate)
{
  constexpr int kCalls = 20000;
  constexpr int kSlow = 300;
  Histogram histogram;
  for (int call = 0; call < kCalls; ++call) {
    const bool slow = call >= kCalls - kSlow;
    histogram.Add(slow ? Micros(60000 + call) : Micros(1000 + call % 1000));
  }
  const double exact = 0.0799;
  cr_assert(std::abs(histogram.Quantile(0.99) / exact - 1.0) < 0.03);
  cr_assert(std::abs(histogram.Quantile(0.5) / 0.0015 - 1.0) < 0.03);
}

Test(Histogram, ZeroAndEndlessDurationsAreCounted)
{
  Histogram histogram;
  histogram.Add(Micros(0));
  histogram.Add(std::chrono::hours(2));
  const HistogramSummary summary = histogram.Summarize(20);
  cr_assert(summary.count_ == 2);
  cr_assert(summary.buckets_.back().cumulative_ == 2);
  cr_assert(summary.minimum_ == 0.0 && summary.maximum_ == 7200.0);
  cr_assert(Histogram().Quantile(0.99) == 0.0);
}

// A caller or a faulty script may create very many tenant names. Memory must
// stay bounded, and values without a series of their own are counted.
Test(Metrics, ManyTenantsShareOneSeriesThatIsCounted)
{
  constexpr std::uint64_t kTenants = 5000;
  Metrics metrics;
  for (std::uint64_t tenant = 0; tenant < kTenants; ++tenant) {
    metrics.RequestEnded(
      "tenant" + std::to_string(tenant), "urgent", Verdict::Ran, Micros(500));
  }
  const MetricsSnapshot snapshot = metrics.Snapshot();
  cr_assert(snapshot.series_.size() <=
            Metrics::kShards * Metrics::kMaxSeriesPerShard + 1);
  const SeriesSummary& other = snapshot.series_.back();
  cr_assert(other.tenant_ == "(other)");
  cr_assert(other.latency_.count_ == CounterOf(snapshot, "series_overflows"));
  std::uint64_t total = 0;
  for (const SeriesSummary& series : snapshot.series_) {
    total += series.ran_;
  }
  cr_assert(total == kTenants);
}

// A snapshot taken while all lanes record must not lose a value or count one
// twice.
Test(Metrics, SnapshotsWhileLanesRecordLoseNothing)
{
  constexpr int kLanes = 4;
  constexpr std::uint64_t kRequests = 20000;
  Metrics metrics;
  std::vector<std::thread> lanes;
  lanes.reserve(kLanes);
  for (int lane = 0; lane < kLanes; ++lane) {
    lanes.emplace_back([&metrics] {
      for (std::uint64_t request = 0; request < kRequests; ++request) {
        const std::string tenant = request % 2 == 0 ? "clerk" : "buyer";
        metrics.RequestEnded(tenant, "urgent", Verdict::Ran, Micros(700));
      }
    });
  }
  for (int reading = 0; reading < 50; ++reading) {
    cr_assert(metrics.Snapshot().series_.size() <= 2);
  }
  for (std::thread& lane : lanes) {
    lane.join();
  }
  const MetricsSnapshot snapshot = metrics.Snapshot();
  cr_assert(snapshot.series_.size() == 2);
  cr_assert(snapshot.series_[0].ran_ == kLanes * kRequests / 2);
}

Test(MetricsPage, FollowsTheExpositionFormat)
{
  Metrics metrics;
  metrics.Describe("entry", "e\"1");
  metrics.RequestEnded("clerk", "urgent", Verdict::DidNotRun, Micros(2000));
  metrics.Count(Counter::TableFailures, 3);
  const std::string page =
    MetricsText(metrics.Snapshot(), MetricsDetail::Tenant);
  const std::string labels = "{role=\"entry\",process=\"e\\\"1\"";
  const auto has = [&page](const std::string& aLine) {
    return page.find(aLine) != std::string::npos;
  };
  cr_assert(has("# TYPE cactusrail_request_duration_seconds histogram\n"));
  cr_assert(has("cactusrail_requests_total" + labels +
                ",tenant=\"clerk\",class=\"urgent\",verdict=\"did_not_run\"} "
                "1\n"));
  cr_assert(has("cactusrail_request_duration_seconds_bucket" + labels +
                ",tenant=\"clerk\",class=\"urgent\",le=\"+Inf\"} 1\n"));
  cr_assert(has("cactusrail_table_failures_total" + labels + "} 3\n"));
}

// A collector requests the page every few seconds. With the target of 210
// tenants, a page that grows with their number would exceed the node's whole
// traffic allowance.
Test(MetricsPage, DefaultPageSumsTenants)
{
  Metrics metrics;
  for (const char* tenant : { "a", "b", "c" }) {
    metrics.RequestEnded(tenant, "urgent", Verdict::Ran, Micros(2000));
    metrics.RequestEnded(tenant, "batch", Verdict::Ran, Micros(9000));
  }
  const MetricsSnapshot snapshot = metrics.Snapshot();
  const std::string page = MetricsText(snapshot, DetailOf(""));
  cr_assert(page.find("tenant=") == std::string::npos);
  cr_assert(page.find("class=\"urgent\",le=\"+Inf\"} 3\n") !=
            std::string::npos);
  const MetricsSnapshot sum = SumTenants(snapshot);
  cr_assert(sum.series_.size() == 2 && sum.series_[0].ran_ == 3);
  cr_assert(sum.series_[0].latency_.buckets_.back().cumulative_ == 3);
  cr_assert(MetricsText(snapshot, DetailOf("tenant")).find("tenant=\"b\"") !=
            std::string::npos);
}

Test(HistogramPicture, ASingleSlowCallIsStillDrawn)
{
  Histogram histogram;
  for (int call = 0; call < 10000; ++call) {
    histogram.Add(Micros(1000));
  }
  histogram.Add(Micros(5000000));
  const std::string bars = HistogramBars(histogram.Summarize(20));
  cr_assert(bars.find("█") != std::string::npos);
  cr_assert(bars.find("▁") != std::string::npos);
}
