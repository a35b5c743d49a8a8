// FleetScheduler: evacuations of data centres by the operator.

#include "Process/FleetScheduler.h"

#include <utility>

namespace cactusrail {

namespace {

/**
 * Time from the order after which a start in an evacuated data centre counts as
 * not accepted. A worker that answers has accepted it by then, and its side has
 * reported that.
 */
constexpr Millis kAcceptanceTime{ 500 };

}

bool
FleetScheduler::IsEvacuated(const FleetWorker& aWorker) const
{
  return evacuations_.dataCentres_.contains(aWorker.facts_.dataCentre_);
}

void
FleetScheduler::OnEvacuations(const EvacuationView& aView)
{
  const auto before = std::exchange(evacuations_, aView).dataCentres_;
  for (const std::string& dataCentre : evacuations_.dataCentres_) {
    if (!before.contains(dataCentre)) {
      BeginEvacuation(dataCentre);
    }
  }
  for (const std::string& dataCentre : before) {
    if (!evacuations_.dataCentres_.contains(dataCentre)) {
      LogEvent("evacuation-ended", {}, {}, dataCentre);
    }
  }
}

void
FleetScheduler::BeginEvacuation(const std::string& aDataCentre)
{
  std::size_t workers = 0;
  std::size_t runs = 0;
  for (auto& [node, worker] : workers_) {
    if (worker.facts_.dataCentre_ == aDataCentre) {
      ++workers;
      runs += worker.held_.size();
      worker.DropReservations();
    }
  }
  LogEvent("evacuation-in-force",
           {},
           {},
           aDataCentre + ": " + std::to_string(workers) +
             " workers get no new runs; " + std::to_string(runs) +
             " runs continue there");
}

void
FleetScheduler::WithdrawFromEvacuated(const FleetWorker& aWorker,
                                      const std::string& aTask,
                                      TaskRun& aRun,
                                      Instant aNow)
{
  if (aRun.phase_ == RunPhase::Ordered && IsEvacuated(aWorker) &&
      aNow - aRun.startedAt_ > kAcceptanceTime) {
    OrderStop(aWorker.node_, aTask, aRun, "its data centre is evacuated");
  }
}

}
