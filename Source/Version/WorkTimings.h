#pragma once

#include "Process/Instant.h"

namespace cactusrail {

/**
 * The spans that leases of cells and tasks are built from. Deadlines are kept;
 * these only make them. docs/design/work.md tells why each is as it is.
 */
struct WorkTimings
{
  /** An owner acts for a cell this long after it sent its last write. */
  Micros cellLease_ = std::chrono::seconds(10);
  /** An idle owner writes its cell's row this often. */
  Micros beatEvery_ = std::chrono::seconds(3);
  /** For drift and delay, beside every span that another clock counts. */
  Micros margin_ = std::chrono::seconds(1);
  /**
   * The longest that one grant lets a task run.
   *
   * It outlasts a change of the cell's owner: renewEvery_ since the last
   * renewal, pollEvery_, cellLease_, margin_ and one rankDelay_ are 14 s; a
   * host that freezes for 3 s and a lost answer of the table, tableTimeout_,
   * make it 19 s. Tasks whose grants end before that may have run and are
   * parked.
   */
  Micros taskLease_ = std::chrono::seconds(20);
  /** Grants may reach this far beyond the cell's lease: what a long outage of
   * the table leaves running. */
  Micros ownerGrace_ = std::chrono::seconds(300);
  Micros renewEvery_ = std::chrono::seconds(1);
  Micros pollEvery_ = std::chrono::seconds(1);
  /** A worker that was not heard for so long gets nothing new. */
  Micros workerSilence_ = std::chrono::seconds(5);
  Micros callTimeout_ = std::chrono::seconds(2);
  Micros tableTimeout_ = std::chrono::seconds(2);
  /** An entry whose row "entry/NAME" stands still for so long counts as gone;
   * EntryPresence refreshes it every ten seconds. */
  Micros entrySilence_ = std::chrono::seconds(35);
  /** A cell is handed only to an entry whose row is younger than this. */
  Micros entryFresh_ = std::chrono::seconds(15);
  /** A cell goes to an entry that has been preferred for so long. */
  Micros handOverAfter_ = std::chrono::seconds(10);
  /** What a less preferred entry waits, a rank, before it takes a cell. */
  Micros rankDelay_ = std::chrono::seconds(1);
};

}
