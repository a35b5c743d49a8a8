#pragma once

#include "Process/Instant.h"
#include "Version/WorkRows.h"
#include "Version/WorkTimings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/** A running entry: its name, and a number that differs with each start. */
struct EntryIdentity
{
  std::string name_;
  std::uint64_t incarnation_ = 0;
};

/**
 * One entry's view of a cell's row and of its own right to act for the cell.
 * Pure. Correctness rests on two things only: every write is conditional on the
 * row's revision, and an owner counts its lease from when it sent a write while
 * others count from when they saw it, so no synchronised clocks are needed.
 */
class CellLease
{
public:
  CellLease(EntryIdentity aSelf, const WorkTimings& aTimings);

  const CellRow& Row() const { return row_; }
  std::uint64_t Revision() const { return revision_; }

  bool Owned() const { return owned_; }

  /** Until when grants may be made; they may reach ownerGrace_ beyond it. */
  Instant Deadline() const { return deadline_; }

  /** Whether the owner's word still counts: it may place and command. */
  bool MayAct(Instant aNow) const;

  /** Whether this entry may try to take the cell, as aRank-th by preference. */
  bool MayTake(std::size_t aRank, Instant aNow) const;

  /** Whether a write may be sent now: none is under way, no pause is on. */
  bool MayWrite(Instant aNow) const;
  bool IsWriting() const { return writing_; }

  /** No answer came for a write, which may yet apply. */
  bool InDoubt() const { return !doubtful_.empty(); }

  /** Whether the row must be written to keep the lease. */
  bool BeatDue(Instant aNow) const;

  /** The row with this entry as the owner; aTake raises the epoch. */
  CellRow Stamp(CellRow aRow, bool aTake);

  void WriteSent(const CellRow& aRow, Instant aNow);
  void WriteApplied(const CellRow& aRow,
                    std::uint64_t aRevision,
                    Instant aSentAt,
                    Instant aNow);
  /** Refused because of another row; this row may still be as known. */
  void WriteRefused(Instant aNow);
  /** It certainly had no effect. */
  void WriteFailed(Instant aNow);
  void WriteDoubtful(const CellRow& aRow, Instant aSentAt, Instant aNow);

  /** The row as read, or as a refusal showed it (aCertain). True if news. */
  bool Observe(const CellRow& aRow,
               std::uint64_t aRevision,
               bool aCertain,
               Instant aNow);

  /** A listing did not show the row: nobody has owned the cell yet. */
  void ObserveAbsent(Instant aNow);

  /** The table did not answer for a while: nobody could renew a lease. */
  void RestartWatch(Instant aNow);

  /** A worker has seen a higher epoch: another entry owns the cell. */
  void Fenced(Instant aNow);

private:
  struct DoubtfulWrite
  {
    std::uint64_t beat_ = 0;
    Instant sentAt_;
  };

  bool IsMine(const CellRow& aRow) const;
  void Adopt(const CellRow& aRow, std::uint64_t aRevision, Instant aNow);
  void PauseWrites(Instant aNow);

  EntryIdentity self_;
  WorkTimings timings_;
  CellRow row_;
  std::uint64_t revision_ = 0;
  bool seen_ = false;
  bool owned_ = false;
  bool writing_ = false;
  Instant deadline_;
  Instant beatDueAt_;
  Instant unchangedSince_;
  Instant writeAfter_;
  std::uint32_t failures_ = 0;
  std::uint64_t nextBeat_ = 1;
  std::vector<DoubtfulWrite> doubtful_;
};

}
