#include "Process/Metrics.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace cactusrail {

namespace {

/** Tenant and class of the overflow series. Not a valid tenant name. */
constexpr const char* kOverflowTenant = "(other)";
/** Yields 2.5 buckets per decade on the metrics pages. */
constexpr std::size_t kBinsPerBucket = 20;

constexpr std::array<MetricName, kCounterCount> kCounterNames{ {
  { "retries", "attempts after the first one of a request" },
  { "refusals", "requests that this process answered as not run" },
  { "heads_too_large", "connections ended for a request head over the limit" },
  { "bodies_too_large", "requests refused for a body over the limit" },
  { "requests_malformed", "connections ended for a malformed request" },
  { "requests_too_slow", "connections ended for a request that took too long" },
  { "callers_gone", "callers that hung up before their answer" },
  { "bad_datagrams", "datagrams that could not be read" },
  { "bad_frames", "links ended for a frame that could not be read" },
  { "unauthentic_datagrams", "datagrams refused for a missing or wrong tag" },
  { "unauthentic_links", "links refused for a missing or wrong key" },
  { "unauthentic_operators", "operators' requests refused for their key" },
  { "table_calls", "calls to the platform's table service" },
  { "table_failures", "calls to the table service without a good answer" },
  { "evictions", "tasks evicted" },
  { "log_lines_collapsed", "log lines of a flood that were only counted" },
  { "log_lines_dropped", "log lines that the log's reader had no room for" },
  { "series_overflows", "values counted under 'other' for lack of room" },
  { "backfill_pace_reductions",
    "reductions of a side's cap on the pace of backfill" },
  { "worker_notices_ignored", "messages of workers that changed nothing" },
  { "jobs_rejected", "jobs that could not be completed while useful" },
  { "takeovers_free", "leaderships begun without a leader" },
  { "takeovers_expired", "leaderships begun after an expired lease" },
  { "takeovers_yielded", "leaderships begun after the leader yielded" },
  { "takeovers_own_address", "leaderships resumed by a restarted process" },
  { "takeovers_early",
    "leaderships begun before a lost leader's lease expired" },
} };

constexpr std::array<MetricName, kGaugeCount> kGaugeNames{ {
  { "configuration_version", "version of the configuration in force" },
  { "journal_requests", "requests whose steps are remembered" },
  { "requests_in_progress", "requests without their final answer" },
  { "evacuated_data_centres", "data centres in which no task starts" },
  { "deferred_jobs", "jobs placed after those that can be in time" },
  { "group_work_ms", "processor-ms of the selected and running work" },
  { "largest_group_work_ms",
    "processor-ms of it that belong to the callers' largest group" },
  { "backfill_pace_cap",
    "a side's cap on the pace of backfill in percent; 100 for no cap" },
  { "store_breaker_open", "1 while requests don't wait for the store" },
  { "work_ahead", "processor-seconds of open work that can be of use" },
  { "leaderless_ms",
    "time without a leader before the last leadership of this entry" },
} };

struct Series
{
  Histogram latency_;
  Histogram queued_;
  Histogram served_;
  std::array<std::uint64_t, 3> verdicts_{};
};

using SeriesKey = std::pair<std::string, std::string>;

/** Compares keys without converting string views to strings on lookup. */
struct SeriesLess
{
  using is_transparent = void; // NOLINT(readability-identifier-naming)

  template<typename Left, typename Right>
  bool operator()(const Left& aLeft, const Right& aRight) const
  {
    return std::tuple<std::string_view, std::string_view>(aLeft.first,
                                                          aLeft.second) <
           std::tuple<std::string_view, std::string_view>(aRight.first,
                                                          aRight.second);
  }
};

SeriesSummary
Summarize(const SeriesKey& aKey, const Series& aSeries)
{
  SeriesSummary summary;
  summary.tenant_ = aKey.first;
  summary.class_ = aKey.second;
  summary.latency_ = aSeries.latency_.Summarize(kBinsPerBucket);
  summary.queued_ = aSeries.queued_.Summarize(kBinsPerBucket);
  summary.served_ = aSeries.served_.Summarize(kBinsPerBucket);
  summary.didNotRun_ =
    aSeries.verdicts_.at(static_cast<std::size_t>(Verdict::DidNotRun));
  summary.ran_ = aSeries.verdicts_.at(static_cast<std::size_t>(Verdict::Ran));
  summary.mayHaveRun_ =
    aSeries.verdicts_.at(static_cast<std::size_t>(Verdict::MayHaveRun));
  return summary;
}

}

MetricName
NameOf(Counter aCounter)
{
  return kCounterNames.at(static_cast<std::size_t>(aCounter));
}

MetricName
NameOf(Gauge aGauge)
{
  return kGaugeNames.at(static_cast<std::size_t>(aGauge));
}

/** Part of the series, under one lock. Series are never removed. */
class Metrics::Shard
{
public:
  /** Changes a series under the lock; returns false if the shard is full. */
  template<typename Change>
  bool ChangeSeries(std::string_view aTenant,
                    std::string_view aClass,
                    const Change& aChange)
  {
    const std::lock_guard lock(mutex_);
    const auto key = std::make_pair(aTenant, aClass);
    auto found = series_.find(key);
    if (found == series_.end()) {
      if (series_.size() >= kMaxSeriesPerShard) {
        return false;
      }
      found = series_.try_emplace(SeriesKey(key)).first;
    }
    aChange(found->second);
    return true;
  }

  std::vector<SeriesKey> Keys() const
  {
    const std::lock_guard lock(mutex_);
    std::vector<SeriesKey> keys;
    keys.reserve(series_.size());
    for (const auto& [key, series] : series_) {
      keys.push_back(key);
    }
    return keys;
  }

  Series Copy(const SeriesKey& aKey) const
  {
    const std::lock_guard lock(mutex_);
    return series_.at(aKey);
  }

private:
  mutable std::mutex mutex_;
  std::map<SeriesKey, Series, SeriesLess> series_;
};

Metrics::Metrics()
  : overflow_(std::make_unique<Shard>())
{
  for (std::size_t index = 0; index < kShards; ++index) {
    shards_.push_back(std::make_unique<Shard>());
  }
}

Metrics::~Metrics() = default;

Metrics&
Metrics::OfProcess()
{
  static Metrics metrics;
  return metrics;
}

void
Metrics::Describe(std::string aRole, std::string aProcess)
{
  role_ = std::move(aRole);
  process_ = std::move(aProcess);
}

Metrics::Shard&
Metrics::ShardOf(std::string_view aTenant, std::string_view aClass) const
{
  constexpr std::size_t kHashMultiplier = 31;
  const std::size_t hash =
    std::hash<std::string_view>{}(aTenant)*kHashMultiplier +
    std::hash<std::string_view>{}(aClass);
  return *shards_.at(hash % kShards);
}

template<typename Change>
void
Metrics::ChangeSeries(std::string_view aTenant,
                      std::string_view aClass,
                      const Change& aChange)
{
  if (ShardOf(aTenant, aClass).ChangeSeries(aTenant, aClass, aChange)) {
    return;
  }
  Count(Counter::SeriesOverflows);
  overflow_->ChangeSeries(kOverflowTenant, kOverflowTenant, aChange);
}

void
Metrics::RequestEnded(std::string_view aTenant,
                      std::string_view aClass,
                      Verdict aVerdict,
                      Micros aLatency)
{
  ChangeSeries(aTenant, aClass, [&](Series& aSeries) {
    aSeries.latency_.Add(aLatency);
    ++aSeries.verdicts_.at(static_cast<std::size_t>(aVerdict));
  });
}

void
Metrics::AttemptEnded(std::string_view aTenant,
                      std::string_view aClass,
                      Micros aQueued,
                      Micros aServed)
{
  ChangeSeries(aTenant, aClass, [&](Series& aSeries) {
    aSeries.queued_.Add(aQueued);
    aSeries.served_.Add(aServed);
  });
}

void
Metrics::Count(Counter aCounter, std::uint64_t aIncrement)
{
  counters_.at(static_cast<std::size_t>(aCounter))
    .fetch_add(aIncrement, std::memory_order_relaxed);
}

void
Metrics::Set(Gauge aGauge, std::uint64_t aValue)
{
  gauges_.at(static_cast<std::size_t>(aGauge))
    .store(aValue, std::memory_order_relaxed);
}

std::uint64_t
Metrics::Value(Counter aCounter) const
{
  return counters_.at(static_cast<std::size_t>(aCounter))
    .load(std::memory_order_relaxed);
}

MetricsSnapshot
Metrics::Snapshot() const
{
  MetricsSnapshot snapshot;
  snapshot.role_ = role_;
  snapshot.process_ = process_;
  const auto take = [&snapshot](const Shard& aShard) {
    for (const SeriesKey& key : aShard.Keys()) {
      snapshot.series_.push_back(Summarize(key, aShard.Copy(key)));
    }
  };
  for (const std::unique_ptr<Shard>& shard : shards_) {
    take(*shard);
  }
  const auto order = [](const SeriesSummary& aSeries) {
    return std::tie(aSeries.tenant_, aSeries.class_);
  };
  std::sort(snapshot.series_.begin(),
            snapshot.series_.end(),
            [&order](const SeriesSummary& aLeft, const SeriesSummary& aRight) {
              return order(aLeft) < order(aRight);
            });
  take(*overflow_);
  for (std::size_t index = 0; index < counters_.size(); ++index) {
    snapshot.counters_.push_back(
      { std::string(kCounterNames.at(index).name_),
        counters_.at(index).load(std::memory_order_relaxed) });
  }
  for (std::size_t index = 0; index < gauges_.size(); ++index) {
    snapshot.gauges_.push_back(
      { std::string(kGaugeNames.at(index).name_),
        gauges_.at(index).load(std::memory_order_relaxed) });
  }
  return snapshot;
}

}
