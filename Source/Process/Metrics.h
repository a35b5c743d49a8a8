#pragma once

#include "Process/Histogram.h"
#include "Process/Instant.h"
#include "Request/Verdict.h"

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

/** What a process counts; the order is that of kCounterNames. */
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
};

constexpr std::size_t kCounterCount =
  static_cast<std::size_t>(Counter::SeriesOverflows) + 1;

/** A value that goes up and down; the order is that of kGaugeNames. */
enum class Gauge : std::uint8_t
{
  ConfigurationVersion,
  JournalRequests,
  RequestsInProgress,
};

constexpr std::size_t kGaugeCount =
  static_cast<std::size_t>(Gauge::RequestsInProgress) + 1;

/** The name of a counter or gauge, "table_calls", and what it means. */
struct MetricName
{
  std::string_view name_;
  std::string_view help_;
};

MetricName
NameOf(Counter aCounter);

MetricName
NameOf(Gauge aGauge);

/** What is known of one tenant's requests of one class. */
struct SeriesSummary
{
  std::string tenant_;
  std::string class_;
  /** From the request's arrival to its final answer. */
  HistogramSummary latency_;
  /** What its attempts waited for a slot at a side. */
  HistogramSummary queued_;
  /** What its attempts ran at an upstream. */
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

/** A counter or gauge with its value. */
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

/** All that a process measured, at one time. */
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
 * What a process measures, per tenant and class. Safe from any thread: series
 * are spread over shards, each under its own lock, and a snapshot holds a lock
 * only while it copies one series.
 *
 * Guards against memory that grows with the number of tenants: beyond
 * kMaxSeriesPerShard values of new tenants go into one series "(other)", and
 * each is counted as a series overflow.
 */
class Metrics
{
public:
  static constexpr std::size_t kShards = 16;
  static constexpr std::size_t kMaxSeriesPerShard = 96;

  Metrics();
  ~Metrics();

  /** The metrics of this process. */
  static Metrics& OfProcess();

  /** Names the process for its page; called once, before any thread. */
  void Describe(std::string aRole, std::string aProcess);

  void RequestEnded(std::string_view aTenant,
                    std::string_view aClass,
                    Verdict aVerdict,
                    Micros aLatency);
  void AttemptEnded(std::string_view aTenant,
                    std::string_view aClass,
                    Micros aQueued,
                    Micros aServed);
  void Count(Counter aCounter, std::uint64_t aHowMany = 1);
  void Set(Gauge aGauge, std::uint64_t aValue);

  std::uint64_t Value(Counter aCounter) const;

  /** The series in order of tenant and class, "(other)" last. */
  MetricsSnapshot Snapshot() const;

private:
  class Shard;

  template<typename Change>
  void With(std::string_view aTenant,
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
