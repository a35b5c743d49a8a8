#pragma once

#include "Process/Histogram.h"
#include "Request/Verdict.h"
#include "Version/Instant.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusrail {

/** Counters of a process, in the order of kCounterNames. */
enum class Counter : std::uint8_t
{
  Retries,
  Refusals,
  HeadsTooLarge,
  BodiesTooLarge,
  RequestsMalformed,
  RequestsTooSlow,
  CallersGone,
  BadDatagrams,
  BadFrames,
  UnauthenticDatagrams,
  UnauthenticLinks,
  UnauthenticOperators,
  TableCalls,
  TableFailures,
  Evictions,
  LogLinesCollapsed,
  LogLinesDropped,
  SeriesOverflows,
  BackfillPaceReductions,
  WorkerNoticesIgnored,
  JobsRejected,
  TakeoversFree,
  TakeoversExpired,
  TakeoversYielded,
  TakeoversOwnAddress,
  TakeoversEarly,
};

constexpr std::size_t kCounterCount =
  static_cast<std::size_t>(Counter::TakeoversEarly) + 1;

/** Gauges of a process, in the order of kGaugeNames. */
enum class Gauge : std::uint8_t
{
  ConfigurationVersion,
  JournalRequests,
  RequestsInProgress,
  EvacuatedDataCentres,
  DeferredJobs,
  GroupWork,
  LargestGroupWork,
  BackfillPaceCap,
  StoreBreakerOpen,
  WorkAhead,
  LeaderlessMs,
};

constexpr std::size_t kGaugeCount =
  static_cast<std::size_t>(Gauge::LeaderlessMs) + 1;

/** Name of a counter or gauge, such as "table_calls", and its help text. */
struct MetricName
{
  std::string_view name_;
  std::string_view help_;
};

MetricName
NameOf(Counter aCounter);

MetricName
NameOf(Gauge aGauge);

/** Metrics of one tenant's requests of one class. */
struct SeriesSummary
{
  std::string tenant_;
  std::string class_;
  /** Time from the request's arrival to its final answer. */
  HistogramSummary latency_;
  /** Time that attempts waited for a slot at a side. */
  HistogramSummary queued_;
  /** Time that attempts ran at an upstream. */
  HistogramSummary served_;
  std::uint64_t didNotRun_ = 0;
  std::uint64_t ran_ = 0;
  std::uint64_t mayHaveRun_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("tenant", tenant_),
       cereal::make_nvp("class", class_),
       cereal::make_nvp("latency", latency_),
       cereal::make_nvp("queued", queued_),
       cereal::make_nvp("served", served_),
       cereal::make_nvp("didNotRun", didNotRun_),
       cereal::make_nvp("ran", ran_),
       cereal::make_nvp("mayHaveRun", mayHaveRun_));
  }
};

/** Value of one counter or gauge. */
struct MetricValue
{
  std::string name_;
  std::uint64_t value_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("name", name_), cereal::make_nvp("value", value_));
  }
};

/** Copy of all metrics of a process. */
struct MetricsSnapshot
{
  std::string role_;
  std::string process_;
  std::vector<SeriesSummary> series_;
  std::vector<MetricValue> counters_;
  std::vector<MetricValue> gauges_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("role", role_),
       cereal::make_nvp("process", process_),
       cereal::make_nvp("series", series_),
       cereal::make_nvp("counters", counters_),
       cereal::make_nvp("gauges", gauges_));
  }
};

/**
 * Metrics of a process per tenant and class. Thread-safe: series are spread
 * over shards, each with its own lock, and a snapshot holds a lock only while
 * it copies the keys of one shard or one series.
 *
 * Memory does not grow without limit with the number of tenants: once a shard
 * has kMaxSeriesPerShard series, values of new pairs of tenant and class go
 * into one series "(other)", and each such value is counted as a series
 * overflow.
 */
class Metrics
{
public:
  static constexpr std::size_t kShards = 16;
  static constexpr std::size_t kMaxSeriesPerShard = 96;

  Metrics();
  ~Metrics();

  /** Returns the metrics of this process. */
  static Metrics& OfProcess();

  /** Sets the role and name shown on the metrics page; called once, before any
   * thread starts. */
  void Describe(std::string aRole, std::string aProcess);

  void RequestEnded(std::string_view aTenant,
                    std::string_view aClass,
                    Verdict aVerdict,
                    Micros aLatency);
  void AttemptEnded(std::string_view aTenant,
                    std::string_view aClass,
                    Micros aQueued,
                    Micros aServed);
  void Count(Counter aCounter, std::uint64_t aIncrement = 1);
  void Set(Gauge aGauge, std::uint64_t aValue);

  std::uint64_t Value(Counter aCounter) const;

  /** Copies all metrics; series are sorted by tenant and class, with "(other)"
   * last. */
  MetricsSnapshot Snapshot() const;

private:
  class Shard;

  template<typename Change>
  void ChangeSeries(std::string_view aTenant,
                    std::string_view aClass,
                    const Change& aChange);
  Shard& ShardOf(std::string_view aTenant, std::string_view aClass) const;

  std::string role_;
  std::string process_;
  std::vector<std::unique_ptr<Shard>> shards_;
  std::unique_ptr<Shard> overflow_;
  std::array<std::atomic<std::uint64_t>, kCounterCount> counters_{};
  std::array<std::atomic<std::uint64_t>, kGaugeCount> gauges_{};
};

}
