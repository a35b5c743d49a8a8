#include "Connection/ReportEncoder.h"

#include <algorithm>
#include <limits>

namespace cactusrail {

namespace {

constexpr std::uint32_t kMaxRunNumber =
  std::numeric_limits<std::uint16_t>::max();

std::uint8_t
Percent(const RunStatus& aFact)
{
  return static_cast<std::uint8_t>(std::min<std::uint32_t>(
    aFact.percent_, std::numeric_limits<std::uint8_t>::max()));
}

}

void
ReportEncoder::Reset()
{
  hasBaseline_ = false;
}

bool
ReportEncoder::HasRunNumbersFor(const FleetReport& aReport) const
{
  return nextNumber_ + aReport.runs_.size() <= kMaxRunNumber;
}

WireMessage
ReportEncoder::EncodeFullReport(FleetReport aReport)
{
  hasBaseline_ = true;
  sequence_ = 0;
  nextNumber_ = 0;
  worker_ = aReport.worker_;
  known_.clear();
  for (const RunStatus& fact : aReport.runs_) {
    known_[{ fact.task_, fact.run_ }] = {
      static_cast<std::uint16_t>(nextNumber_), false, fact
    };
    ++nextNumber_;
  }
  return aReport;
}

void
ReportEncoder::EncodeRun(RunStatus aFact, FleetReportChange& aChange)
{
  const auto [entry, isNew] =
    known_.try_emplace(RunKey(aFact.task_, aFact.run_));
  KnownRun& run = entry->second;
  run.listed_ = true;
  if (isNew) {
    run.number_ = static_cast<std::uint16_t>(nextNumber_++);
    run.fact_ = aFact;
    aChange.added_.push_back({ run.number_, std::move(aFact) });
    return;
  }
  if (run.fact_.starting_ != aFact.starting_ ||
      run.fact_.percent_ != aFact.percent_ ||
      run.fact_.measure_ != aFact.measure_ || run.fact_.pace_ != aFact.pace_) {
    aChange.figures_.push_back({ run.number_,
                                 aFact.starting_,
                                 Percent(aFact),
                                 aFact.measure_,
                                 aFact.pace_ });
  }
  if (run.fact_.checkpoint_ != aFact.checkpoint_) {
    aChange.checkpoints_.push_back({ run.number_, aFact.checkpoint_ });
  }
  run.fact_ = std::move(aFact);
}

void
ReportEncoder::EncodeRemovedRuns(FleetReportChange& aChange)
{
  for (auto entry = known_.begin(); entry != known_.end();) {
    if (entry->second.listed_) {
      entry->second.listed_ = false;
      ++entry;
      continue;
    }
    aChange.removed_.push_back(entry->second.number_);
    entry = known_.erase(entry);
  }
}

WireMessage
ReportEncoder::Encode(FleetReport aReport)
{
  if (!hasBaseline_ || !HasRunNumbersFor(aReport)) {
    return EncodeFullReport(std::move(aReport));
  }
  FleetReportChange change;
  change.sequence_ = ++sequence_;
  change.clockMicros_ = aReport.clockMicros_;
  change.ordersSeen_ = aReport.ordersSeen_;
  change.measuredMicrosAgo_ = aReport.measuredMicrosAgo_;
  if (aReport.worker_ != worker_) {
    worker_ = aReport.worker_;
    change.worker_.push_back(worker_);
  }
  for (RunStatus& fact : aReport.runs_) {
    EncodeRun(std::move(fact), change);
  }
  EncodeRemovedRuns(change);
  change.ends_ = std::move(aReport.ends_);
  change.refused_ = std::move(aReport.refused_);
  return change;
}

}
