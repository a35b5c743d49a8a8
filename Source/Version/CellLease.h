#pragma once

#include "Version/Instant.h"
#include "Version/WorkRows.h"
#include "Version/WorkTimings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/** Identifies an entry process: its name and the incarnation number, which
 * differs with each start. */
struct EntryIdentity
{
  std::string name_;
  std::uint64_t incarnation_ = 0;
};

/**
 * One entry's view of a cell's row and of its lease on the cell. Performs no
 * I/O. Correctness depends on two rules: every write is conditional on the
 * row's revision, and an owner measures its lease from the time it sent a write
 * while the others measure from the time they observed it. Clocks therefore
 * need no synchronisation.
 */
class CellLease
{
public:
  CellLease(EntryIdentity aSelf, const WorkTimings& aTimings);

  const CellRow& Row() const { return row_; }
  std::uint64_t Revision() const { return revision_; }

  bool Owned() const { return owned_; }

  /** Latest time at which grants may be made. A grant may extend at most
   * ownerGrace_ beyond it. */
  Instant Deadline() const { return deadline_; }

  /** Whether this entry owns the cell and its lease is valid, so that it may
   * place tasks and send commands. */
  bool MayAct(Instant aNow) const;

  /** Whether this entry may try to take the cell; aRank is its position in the
   * order of preference, and each position adds rankDelay_. */
  bool MayTake(std::size_t aRank, Instant aNow) const;

  /** Whether a write may be sent now: none is in flight and the backoff after
   * a failed write has elapsed. */
  bool MayWrite(Instant aNow) const;
  bool IsWriting() const { return writing_; }

  /** Whether a write has an unknown outcome: no answer was received and the
   * write may still apply. */
  bool HasUnresolvedWrite() const { return !unresolvedWrites_.empty(); }

  /** Whether the row must be written, because the renewal is due or a write has
   * an unknown outcome. */
  bool RenewalDue(Instant aNow) const;

  /** Returns the row with this entry as the owner; aTake raises the epoch. */
  CellRow Stamp(CellRow aRow, bool aTake);

  void WriteSent(const CellRow& aRow, Instant aNow);
  void WriteApplied(const CellRow& aRow,
                    std::uint64_t aRevision,
                    Instant aSentAt,
                    Instant aNow);
  /** The write was refused because of another row of the transaction; the
   * cell's row may be unchanged. */
  void WriteRefused(Instant aNow);
  /** The write had no effect. */
  void WriteFailed(Instant aNow);
  /** The outcome of the write is unknown. */
  void WriteOutcomeUnknown(const CellRow& aRow, Instant aSentAt, Instant aNow);

  /** Processes the row as read, or as returned by a refused write (aCertain).
   * Returns true if the row replaced the known one. */
  bool Observe(const CellRow& aRow,
               std::uint64_t aRevision,
               bool aCertain,
               Instant aNow);

  /** Processes a listing without the row: the cell has had no owner yet. */
  void ObserveAbsent(Instant aNow);

  /** Restarts the wait for the owner's lease to expire. Called after a table
   * outage, during which no entry could renew its lease. */
  void RestartExpiryWait(Instant aNow);

  /** Gives up ownership because a worker reported a higher epoch, which proves
   * that another entry owns the cell, and restarts the wait for the owner's
   * lease to expire. */
  void Fenced(Instant aNow);

private:
  struct UnresolvedWrite
  {
    std::uint64_t beat_ = 0;
    Instant sentAt_;
  };

  bool IsMine(const CellRow& aRow) const;
  void ReplaceRow(const CellRow& aRow, std::uint64_t aRevision, Instant aNow);
  void BackOffWrites(Instant aNow);

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
  std::vector<UnresolvedWrite> unresolvedWrites_;
};

}
