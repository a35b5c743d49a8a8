#include "Process/StandingRoom.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactusrail {

namespace {

/** Time constant of the decay, in ms: demand of this age counts 1/e of current
 * demand. */
constexpr double kFadeMs = 15000;
/** Minimum interval over which a rate is computed, in ms. */
constexpr double kLeastSpanMs = 2000;
/** Ratio of the processors left to short work to those that it would keep
 * busy. */
constexpr double kSpare = 1.3;
/** The same ratio after a task found no capacity: free capacity is fragmented
 * over many workers, and large tasks need large fragments. */
constexpr double kSpareWhenMissed = 2.5;
/** Interval for which kSpareWhenMissed applies after a miss. */
constexpr Millis kMissMemory{ 15000 };
/** Share of the capacity that long-running jobs may always use. */
constexpr double kLeastShare = 0.6;

double
MillisBetween(Instant aFrom, Instant aTo)
{
  return static_cast<double>((aTo - aFrom).count()) / 1000;
}

}

double
StandingRoom::Asked::FadedAt(Instant aNow) const
{
  return cpuMilliMs_ * std::exp(-MillisBetween(addedAt_, aNow) / kFadeMs);
}

double
StandingRoom::Asked::RateAt(Instant aNow) const
{
  const double span = std::max(kLeastSpanMs, MillisBetween(since_, aNow));
  return FadedAt(aNow) / (kFadeMs * (1 - std::exp(-span / kFadeMs)));
}

void
StandingRoom::OnAsked(std::string_view aService,
                      std::int64_t aPriority,
                      double aCpuMilliMs,
                      Instant aNow)
{
  const auto [entry, isNew] =
    asked_.try_emplace({ std::string(aService), aPriority });
  Asked& asked = entry->second;
  if (isNew) {
    asked.since_ = aNow;
    asked.addedAt_ = aNow;
  }
  asked.cpuMilliMs_ = asked.FadedAt(aNow) + aCpuMilliMs;
  asked.addedAt_ = aNow;
}

void
StandingRoom::OnMissed(std::string_view aService,
                       std::int64_t aPriority,
                       Instant aNow)
{
  const auto found = asked_.find({ std::string(aService), aPriority });
  if (found != asked_.end()) {
    found->second.missedAt_ = aNow;
  }
}

bool
StandingRoom::MissedLately(std::string_view aService,
                           std::int64_t aPriority,
                           Instant aNow) const
{
  return std::any_of(asked_.begin(), asked_.end(), [&](const auto& aEntry) {
    const std::optional<Instant>& missedAt = aEntry.second.missedAt_;
    return aEntry.first.first == aService && aEntry.first.second <= aPriority &&
           missedAt.has_value() && aNow - *missedAt < kMissMemory;
  });
}

double
StandingRoom::AskedCpuMilli(std::string_view aService,
                            std::int64_t aPriority,
                            Instant aNow) const
{
  double sum = 0;
  for (const auto& [key, asked] : asked_) {
    if (key.first == aService && key.second <= aPriority) {
      sum += asked.RateAt(aNow);
    }
  }
  return sum;
}

double
StandingRoom::MostCpuMilli(std::string_view aService,
                           std::int64_t aPriority,
                           std::int64_t aCapacityMilli,
                           Instant aNow) const
{
  const auto capacity = static_cast<double>(aCapacityMilli);
  const double times =
    MissedLately(aService, aPriority, aNow) ? kSpareWhenMissed : kSpare;
  const double spare = times * AskedCpuMilli(aService, aPriority, aNow);
  return std::max(kLeastShare * capacity, capacity - spare);
}

}
