#pragma once

#include "Version/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace cactusrail {

/**
 * Limits the start of new long-running jobs, so that urgent short work still
 * finds capacity beside them. Owned by FleetScheduler. Pure.
 *
 * Short work frees its capacity within seconds, whereas a long-running job
 * takes what is free at the moment and keeps it. A part of a service's
 * processors is therefore left to short work: its size follows the recent
 * demand of short work, and rises after short work found no capacity. Jobs that
 * have started are never deferred again.
 */
class LongRunningLimit
{
public:
  /** Adds demand of short work of this priority, in thousandths of a processor
   * times milliseconds. */
  void AddDemand(std::string_view aService,
                 std::int64_t aPriority,
                 double aCpuMilliMs,
                 Instant aNow);

  /** Records that a task of short work of this priority found no capacity. */
  void AddMiss(std::string_view aService, std::int64_t aPriority, Instant aNow);

  /** Returns the recent demand of short work of this and more urgent
   * priorities: the thousandths of processors that it would have kept busy if
   * it had run at once. */
  double DemandCpuMilli(std::string_view aService,
                        std::int64_t aPriority,
                        Instant aNow) const;

  /** Returns the maximum CPU that all long-running jobs of a service may use
   * once a job of this priority has started. The rest of the capacity is left
   * to short work of this and more urgent priorities. Capacity and
   * result are in thousandths of a processor. */
  double MaxLongRunningCpuMilli(std::string_view aService,
                                std::int64_t aPriority,
                                std::int64_t aCapacityMilli,
                                Instant aNow) const;

private:
  /** Sum of demand that decays exponentially with time. */
  struct Demand
  {
    double cpuMilliMs_ = 0;
    Instant since_;
    Instant addedAt_;
    /** Time at which a task last found no capacity; none if all did. */
    std::optional<Instant> missedAt_;

    double DecayedAt(Instant aNow) const;
    double RateAt(Instant aNow) const;
  };

  bool MissedRecently(std::string_view aService,
                      std::int64_t aPriority,
                      Instant aNow) const;

  std::map<std::pair<std::string, std::int64_t>, Demand> demands_;
};

}
