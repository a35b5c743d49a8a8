#pragma once

#include "Load/CallerShares.h"
#include "Load/InTimeSelection.h"
#include "Version/Instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace cactusrail {

/** Jobs that compete for the same processors. */
struct WorkClass
{
  std::string service_;
  std::int64_t priority_ = 0;
  bool backfill_ = false;

  bool operator<(const WorkClass& aOther) const
  {
    return std::tie(service_, priority_, backfill_) <
           std::tie(aOther.service_, aOther.priority_, aOther.backfill_);
  }
};

/** Time during which more work of a class waits than can be completed in
 * time. */
struct Shortage
{
  Instant since_;
  /** Time of the last selection that found a shortage. */
  Instant lastFoundAt_;
  /** Number of deferred jobs, by group. */
  std::map<std::size_t, std::size_t> deferred_;
};

/** Figures of the last selections, for the metrics. */
struct OverloadFigures
{
  std::uint64_t deferredJobs_ = 0;
  /** Selected and running work, in processor-ms: of all groups, and of the
   * group with the most. */
  std::uint64_t workMs_ = 0;
  std::uint64_t largestGroupWorkMs_ = 0;
};

/** What FleetScheduler keeps for the placement order in an overload. It is
 * derived from the jobs and runs, so a new leader starts with none. */
struct OverloadState
{
  /** Features in force in this placement pass. */
  bool ordersByTime_ = false;
  bool sharesFairly_ = false;
  /** Jobs that are not over. */
  std::set<std::string> open_;
  /** A job came or ended since the last selection. */
  bool changed_ = false;
  Instant nextSelectionAt_;
  CallerShares shares_;
  std::map<WorkClass, Shortage> shortages_;
  OverloadFigures figures_;
};

}
