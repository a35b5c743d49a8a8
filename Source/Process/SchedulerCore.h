#pragma once

#include "Process/SchedulerActions.h"
#include "Request/Failure.h"
#include "Version/CellLease.h"
#include "Version/Instant.h"
#include "Version/PlacementChooser.h"
#include "Version/WorkTimings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactusrail {

/** Counters since the process started, for metrics and the cost per task. */
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
 * Owns cells, places tasks on their workers and tracks the tasks until they
 * end. Performs no I/O: the inputs are rows, reports and the time, the outputs
 * are actions. Entries and the golden sessions run the same code. Owned by
 * Scheduler.
 */
class SchedulerCore
{
public:
  SchedulerCore(EntryIdentity aSelf,
                const WorkTimings& aTimings,
                std::unique_ptr<PlacementChooser> aChooser);
  ~SchedulerCore();

  /** Runs the periodic work; to be called several times a second. */
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

  /** Returns and clears the pending actions, in the order to perform them. */
  std::vector<SchedulerAction> TakeActions();

  /** Sets the CPU quota of each tenant, in thousandths of a processor. A tenant
   * that is absent has no limit. */
  void SetQuotas(std::map<std::string, std::int64_t> aQuotas);

  /** Checkpoints and stops a task in one of this entry's cells. The task
   * resumes on a worker with enough capacity. Returns false if no cell of this
   * entry holds the task. */
  bool Evict(const std::string& aTaskId);

  /** Requests a table read at the next tick, after an operator's change. */
  void RequestPoll();

  /** Hands over the owned cells for a planned stop; running tasks continue. */
  void HandOver();

  /** Returns whether this entry owns no cell and has no write in flight. */
  bool IsHandedOver() const;

  /** Returns the names of the cells that this entry owns, including those whose
   * lease has expired. */
  std::vector<std::string> OwnedCells() const;
  const SchedulerCounts& Counts() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
