#pragma once

#include "Version/Instant.h"
#include "Version/WorkRows.h"
#include "Version/WorkTimings.h"
#include "Version/WorkerMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactusrail {

/** Deadline of the tasks on a worker, in the clocks of worker and entry. */
struct TaskGrant
{
  /** Deadline in microseconds of the worker's clock. */
  std::int64_t until_ = 0;
  /** Time on this entry's clock at which the worker's clock has certainly
   * passed the deadline. */
  Instant expiredBy_;
};

/** An entry's state of one worker. */
struct WorkerView
{
  WorkerRow row_;
  std::optional<WorkerReport> report_;
  /** Arrival time of the latest report. */
  Instant reportArrivedAt_;
  /** Token of the call in flight, at most one at a time; 0 if none. */
  std::uint64_t call_ = 0;
  Instant nextCallAt_;
  Instant renewDueAt_;
  std::uint32_t failures_ = 0;
  /** Epoch of this entry's cell that the worker has acknowledged. */
  std::uint64_t fencedEpoch_ = 0;

  /** Returns whether the latest report is recent enough, and the latest call
   * did not fail, so that the worker can get new tasks. */
  bool IsUsable(const WorkTimings& aTimings, Instant aNow) const;

  /** Returns, for each resource, the minimum of the capacities in the row and
   * in the report; the row's capacity if no report has arrived. */
  Resources Capacity() const;

  /** Returns the incarnation that commands are addressed to. */
  std::uint64_t Incarnation() const;

  /**
   * Returns the longest possible grant, which never exceeds aLimit on this
   * entry's clock; none if no report has arrived, or if aLimit is not after its
   * arrival. The worker sent its report before reportArrivedAt_, so its clock
   * reaches the deadline no later than computed here.
   */
  std::optional<TaskGrant> Grant(const WorkTimings& aTimings,
                                 Instant aLimit) const;

  void CallFailed(Instant aNow);
  void ReportArrived(const WorkerReport& aReport, Instant aNow);

  const ReportedTask* FindRunning(const TaskRef& aTask) const;
  const EndedTask* FindEnded(const TaskRef& aTask) const;
};

}
