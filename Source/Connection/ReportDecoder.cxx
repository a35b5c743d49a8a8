#include "Connection/ReportDecoder.h"

#include <utility>

namespace cactusrail {

FleetReport
ReportDecoder::Take(const FleetReport& aReport)
{
  hasBaseline_ = true;
  sequence_ = 0;
  worker_ = aReport.worker_;
  runs_.clear();
  std::uint16_t number = 0;
  for (const RunStatus& fact : aReport.runs_) {
    runs_[number++] = fact;
  }
  return aReport;
}

bool
ReportDecoder::Apply(const FleetReportChange& aChange)
{
  for (const NumberedRun& run : aChange.added_) {
    if (!runs_.emplace(run.number_, run.fact_).second) {
      return false;
    }
  }
  for (const RunProgress& figure : aChange.figures_) {
    const auto found = runs_.find(figure.number_);
    if (found == runs_.end()) {
      return false;
    }
    found->second.starting_ = figure.starting_;
    found->second.percent_ = figure.percent_;
    found->second.measure_ = figure.measure_;
    found->second.pace_ = figure.pace_;
  }
  for (const RunCheckpoint& checkpoint : aChange.checkpoints_) {
    const auto found = runs_.find(checkpoint.number_);
    if (found == runs_.end()) {
      return false;
    }
    found->second.checkpoint_ = checkpoint.checkpoint_;
  }
  for (const std::uint16_t number : aChange.removed_) {
    if (runs_.erase(number) == 0) {
      return false;
    }
  }
  return true;
}

std::optional<FleetReport>
ReportDecoder::Take(const FleetReportChange& aChange)
{
  const bool isInSequence = hasBaseline_ && aChange.sequence_ == sequence_ + 1;
  if (!isInSequence || aChange.worker_.size() > 1 || !Apply(aChange)) {
    hasBaseline_ = false;
    return std::nullopt;
  }
  ++sequence_;
  if (!aChange.worker_.empty()) {
    worker_ = aChange.worker_.front();
  }
  FleetReport report;
  report.clockMicros_ = aChange.clockMicros_;
  report.ordersSeen_ = aChange.ordersSeen_;
  report.worker_ = worker_;
  report.measuredMicrosAgo_ = aChange.measuredMicrosAgo_;
  report.runs_.reserve(runs_.size());
  for (const auto& [number, fact] : runs_) {
    report.runs_.push_back(fact);
  }
  report.ends_ = aChange.ends_;
  report.refused_ = aChange.refused_;
  return report;
}

}
