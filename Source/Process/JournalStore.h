#pragma once

#include "Process/Instant.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cactusrail {

class Journal;
class TableClient;

/** Which slots a host's steps are grouped in, and how their objects are named.
 */
struct SegmentPlan
{
  /** Wall-clock microseconds at which slot 0 begins. */
  std::uint64_t startMicros_ = 0;
  Millis slotLength_{ 0 };
  std::function<std::string(std::uint64_t)> name_;
  /** The first slot may hold the steps of an earlier start: keep them. */
  bool mergesFirst_ = false;
};

/** Counts since the process began. */
struct JournalStoreCounts
{
  std::uint64_t written_ = 0;
  std::uint64_t failed_ = 0;
  /** Steps that were never stored, because the store was down for too long. */
  std::uint64_t droppedSteps_ = 0;
};

/**
 * Writes the steps of a journal to the platform's object store, one object a
 * slot of time, so that explain outlives the host. While the store is down the
 * latest segments wait, within a bound. Owned by a process, in its thread.
 */
class JournalStore
{
public:
  JournalStore(Journal& aJournal, TableClient& aStore, SegmentPlan aPlan);
  ~JournalStore();

  void Start();

  /** A planned stop: writes the slot in progress too. */
  void WriteAll();

  /** Everything that the journal was given is in the store. */
  bool Idle() const;

  const JournalStoreCounts& Counts() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
