#pragma once

#include "Process/Instant.h"
#include "Process/SchedulerActions.h"
#include "Request/Failure.h"
#include "Version/CellLease.h"
#include "Version/PlacementChooser.h"
#include "Version/WorkTimings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactusrail {

/** Changes since the start, for operators and for the cost of a task. */
struct SchedulerCounts
{
  std::uint64_t tableWrites_ = 0;
  std::uint64_t tableReads_ = 0;
  std::uint64_t workerCalls_ = 0;
  std::uint64_t placed_ = 0;
  std::uint64_t released_ = 0;
  std::uint64_t lost_ = 0;
};

/**
 * Owns cells, places tasks on their workers and follows them to their end.
 * Pure: rows, reports and the time go in, actions come out; the golden sessions
 * and the entries drive this same code. Owned by Scheduler.
 */
class SchedulerCore
{
public:
  SchedulerCore(EntryIdentity aSelf,
                const WorkTimings& aTimings,
                std::unique_ptr<PlacementChooser> aChooser);
  ~SchedulerCore();

  /** Time has passed; called several times a second. */
  void Tick(Instant aNow);

  void OnRows(std::uint64_t aToken,
              const Result<std::vector<TableRow>>& aRows,
              Instant aNow);
  void OnTransact(std::uint64_t aToken,
                  const Result<TableOutcome>& aOutcome,
                  Instant aNow);
  void OnWorker(std::uint64_t aToken,
                const Result<WorkerReport>& aReport,
                Instant aNow);

  /** What the caller has to do now, in order. */
  std::vector<SchedulerAction> TakeActions();

  /** Thousandths of processors that each tenant may hold; absent: no bound. */
  void SetQuotas(std::map<std::string, std::int64_t> aQuotas);

  /** Checkpoints and stops a task that this entry's cells hold; it resumes
   * where there is room. False if it is not held here. */
  bool Evict(const std::string& aTaskId);

  /** Reads the table at the next tick: an operator changed something. */
  void Nudge();

  /** A planned stop: hands the cells over; tasks run on. */
  void HandOver();

  /** Whether a handed-over cell's write is still under way. */
  bool IsHandedOver() const;

  std::vector<std::string> OwnedCells() const;
  const SchedulerCounts& Counts() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
