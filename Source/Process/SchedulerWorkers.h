#pragma once

#include "Process/Instant.h"
#include "Version/WorkRows.h"
#include "Version/WorkTimings.h"
#include "Version/WorkerMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactusrail {

/** A deadline for tasks on a worker, as both clocks count it. */
struct TaskGrant
{
  /** By the worker's clock. */
  std::int64_t until_ = 0;
  /** By this entry's clock the worker has certainly passed it. */
  Instant overBy_;
};

/** What an entry knows of one worker. */
struct WorkerView
{
  WorkerRow row_;
  std::optional<WorkerReport> report_;
  /** When the latest report arrived. */
  Instant heardAt_;
  /** The token of the call under way; one at a time. 0 if none. */
  std::uint64_t call_ = 0;
  Instant callAfter_;
  Instant renewDueAt_;
  std::uint32_t failures_ = 0;
  /** The cell epoch of ours that it has answered to. */
  std::uint64_t fencedEpoch_ = 0;

  /** Whether it was heard lately enough to get new tasks. */
  bool IsUsable(const WorkTimings& aTimings, Instant aNow) const;

  /** The lesser of what its row and its report state. */
  Resources Capacity() const;

  /** The incarnation that commands are meant for. */
  std::uint64_t Incarnation() const;

  /**
   * The longest grant now, never beyond aLimit on this entry's clock; none if
   * the worker has not been heard. The report left the worker before heardAt_,
   * so what its clock reaches by then it reaches no later than we count here.
   */
  std::optional<TaskGrant> Grant(const WorkTimings& aTimings,
                                 Instant aLimit) const;

  void CallFailed(Instant aNow);
  void Heard(const WorkerReport& aReport, Instant aNow);

  const ReportedTask* FindRunning(const TaskRef& aTask) const;
  const EndedTask* FindEnded(const TaskRef& aTask) const;
};

}
