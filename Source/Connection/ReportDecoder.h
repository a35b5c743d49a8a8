#pragma once

#include "Connection/FleetMessages.h"

#include <cstdint>
#include <map>
#include <optional>

namespace cactusrail {

/**
 * Puts a side's whole report together again from what changed; see
 * ReportEncoder. One for each link. Pure.
 *
 * Whoever takes reports sees whole ones only, so what rests on them (a run that
 * is not listed is not on its worker) does not depend on how they travel.
 */
class ReportDecoder
{
public:
  FleetReport Take(const FleetReport& aReport);

  /** None if it does not follow the last one, or names a run that is not
   * known: the link must be made anew. */
  std::optional<FleetReport> Take(const FleetReportChange& aChange);

private:
  /** Applies the changes to runs_; false if a run is not known. */
  bool Apply(const FleetReportChange& aChange);

  bool begun_ = false;
  std::uint32_t sequence_ = 0;
  WorkerDescription worker_;
  std::map<std::uint16_t, RunFact> runs_;
};

}
