#pragma once

#include "Connection/FleetMessages.h"

#include <cstdint>
#include <map>
#include <optional>

namespace cactusrail {

/**
 * Reconstructs a side's full reports from the incremental reports of
 * ReportEncoder. One instance per link; no I/O and no clock.
 *
 * Consumers of reports see only full reports, so their conclusions (a run that
 * is not listed is not on its worker) do not depend on the encoding.
 */
class ReportDecoder
{
public:
  FleetReport Take(const FleetReport& aReport);

  /** Returns none if the change is out of sequence or refers to an unknown run;
   * the link must then be reopened. */
  std::optional<FleetReport> Take(const FleetReportChange& aChange);

private:
  /** Applies the changes to runs_; returns false for an unknown run. */
  bool Apply(const FleetReportChange& aChange);

  bool hasBaseline_ = false;
  std::uint32_t sequence_ = 0;
  WorkerDescription worker_;
  std::map<std::uint16_t, RunStatus> runs_;
};

}
