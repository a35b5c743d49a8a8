#pragma once

#include "Connection/FleetMessages.h"
#include "Connection/WireMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace cactusrail {

/**
 * Reduces the size of a side's reports on one link: the first report is sent in
 * full, later ones contain only changes. This requires a link that is ordered
 * and lossless while it is open. Owned by the side's process; no I/O and no
 * clock.
 */
class ReportEncoder
{
public:
  /** Resets the state for a new link; the next report is sent in full. */
  void Reset();

  /** Returns the message to send for a full report. */
  WireMessage Encode(FleetReport aReport);

private:
  using RunKey = std::pair<std::string, std::uint32_t>;

  struct KnownRun
  {
    std::uint16_t number_ = 0;
    /** Whether the report that is being encoded lists the run; false between
     * reports. */
    bool listed_ = false;
    RunStatus fact_;
  };

  WireMessage EncodeFullReport(FleetReport aReport);
  /** Adds a new run, or the changed fields of a known run, to aChange. */
  void EncodeRun(RunStatus aFact, FleetReportChange& aChange);
  void EncodeRemovedRuns(FleetReportChange& aChange);
  /** Whether unused numbers remain for every run that may be new. */
  bool HasRunNumbersFor(const FleetReport& aReport) const;

  bool hasBaseline_ = false;
  std::uint32_t sequence_ = 0;
  std::uint32_t nextNumber_ = 0;
  WorkerDescription worker_;
  std::map<RunKey, KnownRun> known_;
};

}
