#pragma once

#include "Version/Instant.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cactusrail {

class Journal;
class TableClient;

/** Time slots into which a host's steps are grouped, and the names of their
 * objects. */
struct SegmentPlan
{
  /** Wall-clock time in microseconds at which slot 0 begins. */
  std::uint64_t startMicros_ = 0;
  Millis slotLength_{ 0 };
  std::function<std::string(std::uint64_t)> name_;
  /** Whether to merge the first slot with its stored object, which may hold
   * steps of an earlier start of the process. */
  bool mergesFirst_ = false;
};

/** Counters since the process started. */
struct JournalStoreCounts
{
  std::uint64_t written_ = 0;
  std::uint64_t failed_ = 0;
  /** Number of steps dropped because the store was down for too long. */
  std::uint64_t droppedSteps_ = 0;
};

/**
 * Writes the steps of a journal to the platform's object store, one object per
 * time slot, so that explain works after the host is gone. While the store is
 * down, the latest segments are buffered, up to kMaxWaitingBytes. Owned by a
 * process, used in its thread.
 */
class JournalStore
{
public:
  JournalStore(Journal& aJournal, TableClient& aStore, SegmentPlan aPlan);
  ~JournalStore();

  void Start();

  /** Starts writing all steps, including the current slot, for a planned stop.
   */
  void WriteAll();

  /** Returns whether every collected step of the journal was written. */
  bool Idle() const;

  const JournalStoreCounts& Counts() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
