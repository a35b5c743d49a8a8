#pragma once

#include "Version/Instant.h"

namespace cactusrail {

/**
 * Durations from which the leases of cells and tasks are computed. Stored state
 * holds the resulting deadlines, not these durations. docs/design/work.md gives
 * the reason for each value.
 */
struct WorkTimings
{
  /** Time for which an owner acts for a cell after it sent its last write. */
  Micros cellLease_ = std::chrono::seconds(10);
  /** Interval at which an idle owner writes its cell's row. */
  Micros heartbeatInterval_ = std::chrono::seconds(3);
  /** Margin for clock drift and delay, added to every duration that another
   * clock measures. */
  Micros margin_ = std::chrono::seconds(1);
  /**
   * Maximum time for which one grant lets a task run.
   *
   * It is longer than a change of the cell's owner takes: renewInterval_ since
   * the last renewal, pollInterval_, cellLease_, margin_ and one rankDelay_ add
   * up to 14 s. A host that freezes for 3 s and a lost response of the table,
   * tableTimeout_, make it 19 s. A task whose grant ends earlier may have run
   * and is parked.
   */
  Micros taskLease_ = std::chrono::seconds(20);
  /** Maximum time by which grants may extend beyond the cell's lease, so that
   * tasks keep running during a long outage of the table. */
  Micros ownerGrace_ = std::chrono::seconds(300);
  Micros renewInterval_ = std::chrono::seconds(1);
  Micros pollInterval_ = std::chrono::seconds(1);
  /** Time without a heartbeat after which a worker receives no new tasks. */
  Micros workerTimeout_ = std::chrono::seconds(5);
  Micros callTimeout_ = std::chrono::seconds(2);
  Micros tableTimeout_ = std::chrono::seconds(2);
  /** Time without a change of its row "entry/NAME" after which an entry counts
   * as absent; EntryPresence refreshes the row every ten seconds. */
  Micros entryTimeout_ = std::chrono::seconds(35);
  /** Maximum age of the row of an entry to which a cell is handed over. */
  Micros entryMaxAge_ = std::chrono::seconds(15);
  /** Time for which an entry must be preferred before a cell is handed over to
   * it. */
  Micros handOverDelay_ = std::chrono::seconds(10);
  /** Delay per rank before a less preferred entry claims a cell. */
  Micros rankDelay_ = std::chrono::seconds(1);
};

}
