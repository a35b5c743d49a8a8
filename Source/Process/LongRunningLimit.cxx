#include "Process/LongRunningLimit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactusrail {

namespace {

/** Time constant of the decay, in ms: demand of this age counts 1/e of current
 * demand. */
constexpr double kDecayMs = 15000;
/** Minimum interval over which a rate is computed, in ms. */
constexpr double kMinSpanMs = 2000;
/** Ratio of the processors left to short work to those that it would keep
 * busy. */
constexpr double kSpareFactor = 1.3;
/** The same ratio after a task found no capacity: free capacity is fragmented
 * over many workers, and large tasks need large fragments. */
constexpr double kSpareFactorAfterMiss = 2.5;
/** Interval for which kSpareFactorAfterMiss applies after a miss. */
constexpr Millis kMissRetention{ 15000 };
/** Share of the capacity that long-running jobs may always use. */
constexpr double kMinLongRunningShare = 0.6;

double
MillisBetween(Instant aFrom, Instant aTo)
{
  return static_cast<double>((aTo - aFrom).count()) / 1000;
}

}

double
LongRunningLimit::Demand::DecayedAt(Instant aNow) const
{
  return cpuMilliMs_ * std::exp(-MillisBetween(addedAt_, aNow) / kDecayMs);
}

double
LongRunningLimit::Demand::RateAt(Instant aNow) const
{
  const double span = std::max(kMinSpanMs, MillisBetween(since_, aNow));
  return DecayedAt(aNow) / (kDecayMs * (1 - std::exp(-span / kDecayMs)));
}

void
LongRunningLimit::AddDemand(std::string_view aService,
                            std::int64_t aPriority,
                            double aCpuMilliMs,
                            Instant aNow)
{
  const auto [entry, isNew] =
    demands_.try_emplace({ std::string(aService), aPriority });
  Demand& asked = entry->second;
  if (isNew) {
    asked.since_ = aNow;
    asked.addedAt_ = aNow;
  }
  asked.cpuMilliMs_ = asked.DecayedAt(aNow) + aCpuMilliMs;
  asked.addedAt_ = aNow;
}

void
LongRunningLimit::AddMiss(std::string_view aService,
                          std::int64_t aPriority,
                          Instant aNow)
{
  const auto found = demands_.find({ std::string(aService), aPriority });
  if (found != demands_.end()) {
    found->second.missedAt_ = aNow;
  }
}

bool
LongRunningLimit::MissedRecently(std::string_view aService,
                                 std::int64_t aPriority,
                                 Instant aNow) const
{
  return std::any_of(demands_.begin(), demands_.end(), [&](const auto& aEntry) {
    const std::optional<Instant>& missedAt = aEntry.second.missedAt_;
    return aEntry.first.first == aService && aEntry.first.second <= aPriority &&
           missedAt.has_value() && aNow - *missedAt < kMissRetention;
  });
}

double
LongRunningLimit::DemandCpuMilli(std::string_view aService,
                                 std::int64_t aPriority,
                                 Instant aNow) const
{
  double sum = 0;
  for (const auto& [key, asked] : demands_) {
    if (key.first == aService && key.second <= aPriority) {
      sum += asked.RateAt(aNow);
    }
  }
  return sum;
}

double
LongRunningLimit::MaxLongRunningCpuMilli(std::string_view aService,
                                         std::int64_t aPriority,
                                         std::int64_t aCapacityMilli,
                                         Instant aNow) const
{
  const auto capacity = static_cast<double>(aCapacityMilli);
  const double factor = MissedRecently(aService, aPriority, aNow)
                          ? kSpareFactorAfterMiss
                          : kSpareFactor;
  const double spare = factor * DemandCpuMilli(aService, aPriority, aNow);
  return std::max(kMinLongRunningShare * capacity, capacity - spare);
}

}
