#pragma once

#include "Process/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace cactusrail {

/**
 * Which new jobs that last may start, so that urgent short work still finds
 * room beside them. Owned by FleetScheduler. Pure.
 *
 * Short work frees its room within seconds; a job that lasts takes what is free
 * at that moment and keeps it. So a part of a service's processors is left to
 * short work, by how much of it callers have asked for lately, and more once
 * some of it has found no room. Jobs that have started are never held back
 * again.
 */
class StandingRoom
{
public:
  /** Callers asked for short work of this priority: thousandths of a processor
   * times milliseconds. */
  void OnAsked(std::string_view aService,
               std::int64_t aPriority,
               double aCpuMilliMs,
               Instant aNow);

  /** A task of short work of this priority found no room. */
  void OnMissed(std::string_view aService,
                std::int64_t aPriority,
                Instant aNow);

  /** Thousandths of processors that short work of this priority and more urgent
   * work has kept busy lately, had it run at once. */
  double AskedCpuMilli(std::string_view aService,
                       std::int64_t aPriority,
                       Instant aNow) const;

  /** What jobs that last may hold of a service's processors. */
  double MostCpuMilli(std::string_view aService,
                      std::int64_t aPriority,
                      std::int64_t aCapacityMilli,
                      Instant aNow) const;

private:
  /** A sum that fades with time. */
  struct Asked
  {
    double cpuMilliMs_ = 0;
    Instant since_;
    Instant addedAt_;
    /** When a task found no room; none if none did. */
    std::optional<Instant> missedAt_;

    double FadedAt(Instant aNow) const;
    double RateAt(Instant aNow) const;
  };

  bool MissedLately(std::string_view aService,
                    std::int64_t aPriority,
                    Instant aNow) const;

  std::map<std::pair<std::string, std::int64_t>, Asked> asked_;
};

}
