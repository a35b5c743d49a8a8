#pragma once

#include "Connection/FleetMessages.h"
#include "Connection/WireMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace cactusrail {

/**
 * Makes a side's reports on one link small: the first is sent whole, later ones
 * as what changed. The link is ordered and loses nothing while it lasts. Owned
 * by the side's process. Pure.
 */
class ReportEncoder
{
public:
  /** On a new link the next report is whole. */
  void Reset();

  /** What to send for this report, which is whole. */
  WireMessage Encode(FleetReport aReport);

private:
  using RunKey = std::pair<std::string, std::uint32_t>;

  struct KnownRun
  {
    std::uint16_t number_ = 0;
    /** The last report listed it. */
    bool listed_ = false;
    RunFact fact_;
  };

  WireMessage EncodeWhole(FleetReport aReport);
  void NoteRun(RunFact aFact, FleetReportChange& aChange);
  void NoteRemoved(FleetReportChange& aChange);
  /** Numbers are left for all runs of the report that may be new. */
  bool HasNumbersFor(const FleetReport& aReport) const;

  bool begun_ = false;
  std::uint32_t sequence_ = 0;
  std::uint32_t nextNumber_ = 0;
  WorkerDescription worker_;
  std::map<RunKey, KnownRun> known_;
};

}
