// FleetScheduler: paces that sides set while they have no leader.

#include "Process/FleetScheduler.h"

namespace cactusrail {

namespace {

constexpr std::uint32_t kFullPace = 100;

}

void
FleetScheduler::UpdateLocalPacing()
{
  localPacing_ = IsEnabled(bounds_.features_.localPacing_,
                           Protocol().value_or(WorkerProtocol::IdOnly));
}

Millis
FleetScheduler::OrderPeriod(const FleetWorker& aWorker) const
{
  const bool shares = aWorker.serving_ > 0 && aWorker.backfillCpuMilli_ > 0;
  return localPacing_ && shares ? kPacedOrderPeriod : kReportPeriod;
}

void
FleetScheduler::AddProfile(FleetWorker& aWorker,
                           const std::string& aTask,
                           std::uint32_t aRun,
                           const StepSpec& aStep)
{
  RunProfile profile{ aTask, aRun, 0, aStep.backfill_ };
  if (aStep.latencyObjectiveMs_ > 0) {
    profile.latencyObjectiveMs_ =
      static_cast<std::uint32_t>(aStep.latencyObjectiveMs_);
  }
  if (profile.backfill_ || profile.latencyObjectiveMs_ > 0) {
    OrdersFor(aWorker).profiles_.push_back(std::move(profile));
  }
}

void
FleetScheduler::AddAllProfiles(FleetWorker& aWorker)
{
  if (!localPacing_ || aWorker.profilesSent_) {
    return;
  }
  aWorker.profilesSent_ = true;
  for (const auto& [key, room] : aWorker.held_) {
    const auto name = TaskKey::Parse(key.first);
    const auto place = name.has_value() ? Find(*name) : std::nullopt;
    if (place.has_value()) {
      AddProfile(aWorker, key.first, key.second, *place->step_->spec_);
    }
  }
}

void
FleetScheduler::ApplyReportedPace(const FleetWorker& aWorker,
                                  TaskRun& aRun,
                                  const RunStatus& aFact,
                                  bool aAdopted,
                                  Instant aNow)
{
  const bool known = aFact.pace_ <= kFullPace;
  const std::uint32_t before = aRun.PaceInForce();
  if (aAdopted && known) {
    aRun.pace_ = aFact.pace_;
  }
  aRun.reportedPace_ =
    known ? std::optional<std::uint32_t>(aFact.pace_) : std::nullopt;
  // The side keeps the order of a former leader for an adopted run. It may also
  // have capped the pace, or have restarted since the last order. A report that
  // precedes the last order shows nothing of this.
  if (aWorker.ordersSeen_ >= aRun.paceSequence_) {
    aRun.paceOrderDue_ =
      aRun.paceOrderDue_ || aAdopted || aRun.reportedPace_ != aRun.pace_;
  }
  aRun.everThrottled_ = aRun.everThrottled_ || aRun.PaceInForce() < kFullPace;
  if (aRun.PaceInForce() != before) {
    aRun.progressAt_ = aNow;
    aRun.firstReportAt_ = aNow;
    aRun.firstPercent_ = aRun.percent_;
  }
}

}
