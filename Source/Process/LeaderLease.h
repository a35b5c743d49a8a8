#pragma once

#include "Load/FeatureSwitch.h"
#include "Load/LeaderEvidence.h"
#include "Process/FleetTimings.h"
#include "Version/Instant.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cactusrail {

/** Content of the table row that names the leader. */
struct LeaderRecord
{
  /** Leadership term; increases with each change of leader. */
  std::uint64_t epoch_ = 0;
  /** Name of the leading process; empty if the last leader stepped down. */
  std::string node_;
  /** Incarnation of that process. */
  std::string incarnation_;
  /** Address at which the process accepts links, "IP:PORT". */
  std::string address_;
  /** Protocol of the fleet's workers, which enables features that are set to
   * "auto". A new leader keeps the value of the former one until workers have
   * reported. */
  WorkerProtocol workerProtocol_ = WorkerProtocol::IdOnly;
  /** Remaining time, when the row was written, until the leaders before this
   * epoch must have stopped; see LeaderLease::FormerLeaseEnd(). A leader that
   * replaces this one at once, because it stepped down, yielded or restarted,
   * inherits the wait. */
  std::uint32_t formerLeaseMs_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(epoch_, node_, incarnation_, address_, workerProtocol_, formerLeaseMs_);
  }
};

/** The leader row as read, and the version that conditional writes expect. */
struct LeaderRow
{
  LeaderRecord record_;
  /** Row version; 0 if the row does not exist. */
  std::uint64_t version_ = 0;
};

/** Next table operation that the lease requires of this process. */
enum class LeaseStep : std::uint8_t
{
  Nothing,
  /** Read the row and pass the result to OnRead() or OnReadFailed(). */
  Read,
  /** Write Wanted() on the condition that the row has RowVersion(), and report
   * the outcome with one of the other On...() methods. */
  Write,
};

/** Why an entry may become the leader. */
enum class LeaseTakeover : std::uint8_t
{
  /** There was no leader, or the last one stepped down. */
  Free,
  Expired,
  Yielded,
  /** The row named an earlier incarnation of this process. */
  OwnAddress,
  /** There was evidence that the leader is lost before its lease expired. */
  Early,
};

std::string_view
LeaseTakeoverText(LeaseTakeover aKind);

/**
 * State machine of the leader lease: a table row that the leader rewrites
 * periodically.
 *
 * Performs no I/O and reads no clock: the caller passes in events and times and
 * executes the returned steps. Owned by the entry's process.
 *
 * Two concurrent leaders would start one task twice. A leader therefore stops
 * leading kLeaderLease after it *sent* its last successful renewal. A follower
 * takes over only after it has observed an unchanged version for longer than
 * that, and its write is conditional on that version. The clock includes
 * suspended time, so a leader that was frozen finds its lease expired on
 * resume.
 *
 * With early takeover, a follower that has evidence of the loss of the leader
 * takes over before that. The former leader may then send orders until
 * FormerLeaseEnd(); FleetScheduler and the sides guard against these.
 */
class LeaderLease
{
public:
  /**
   * Returns the delay before a process on a host with aProcessors processors
   * and a link of aLinkMbps Mbit/s (0 if it is not known) may acquire a free
   * lease. The larger of the two delays applies.
   *
   * Makes larger hosts win when all entries find a free lease at the same time,
   * for example when all of them start: hosts with half a processor or more and
   * no slow link do not wait. After the loss of a leader the larger host may
   * still lose, because the entries observe the last renewal up to
   * kLeaderCheckPeriod apart; see ShouldYieldTo().
   */
  static Millis AcquisitionDelay(double aProcessors, double aLinkMbps);

  struct Identity
  {
    std::string node_;
    std::string incarnation_;
    std::string address_;
    /** Number of processors of the host, or the share of one processor. */
    double processors_ = 1;
    /** Bandwidth of the host, in Mbit/s; 0 if it is not known. */
    double linkMbps_ = 0;
    FeatureSwitch earlyTakeover_ = FeatureSwitch::Off;
  };

  explicit LeaderLease(Identity aSelf);

  /** Returns the operation that is due now; Nothing while one is in flight. */
  LeaseStep Next(Instant aNow);

  /** Returns the content to write. */
  const LeaderRecord& Wanted() const { return wanted_; }
  /** Returns the row version on which the write is conditional. */
  std::uint64_t RowVersion() const { return row_.version_; }

  /** Handles the result of a read sent at aSentAt; version 0 means no row. */
  void OnRead(const LeaderRow& aRow, Instant aSentAt, Instant aNow);
  void OnReadFailed(Instant aNow);

  /** Handles a successful write, which gave the row aVersion. */
  void OnWritten(std::uint64_t aVersion, Instant aNow);
  /** Handles a write whose condition failed, because another process wrote the
   * row or an earlier write of this process was applied late. */
  void OnConflict(Instant aNow);
  /** Handles a write with an unknown outcome. */
  void OnUnknownOutcome(Instant aNow);
  /** Handles a write that had no effect. */
  void OnNotWritten(Instant aNow);

  /**
   * Ends the leadership of this process in favour of another entry.
   *
   * Used when the table answers the other entry but not this process, or when
   * the other entry runs on a larger host. This process leads again only if its
   * next renewal is applied before the takeover of the other entry; the version
   * of the row decides.
   */
  void Yield(Instant aNow);
  /**
   * Handles the message that the leader has yielded version aVersion of the
   * row. The next step takes over if the row still has that version.
   *
   * The yield applies to one version and not to the incarnation of the leader,
   * because a renewal may be in flight: if that renewal succeeds, the leader
   * continues, and a takeover by this process would let both start the same
   * task.
   */
  void OnYield(std::uint64_t aVersion, Instant aNow);

  /**
   * Returns whether this process, as the leader, should yield to an entry that
   * reaches the table and runs on a host with aProcessors processors and a link
   * of aLinkMbps Mbit/s (0 if it is not known).
   *
   * A leader on a host with too small a share of a processor or too slow a link
   * falls seconds behind. The other host must not be worse in the other
   * respect.
   */
  bool ShouldYieldTo(double aProcessors, double aLinkMbps) const;

  /** Handles a message of the leader on the link to it. */
  void OnLeaderAnswer(Instant aNow) { evidence_.OnLinkAnswer(aNow); }
  /** Handles a failed attempt to open the link to the leader. */
  void OnLeaderLinkNotOpened() { evidence_.OnLinkNotOpened(); }
  /** Returns whether the setting and the protocol in the row enable the
   * replacement of a lost leader before its lease expires. */
  bool EarlyTakeoverEnabled() const;
  const LeaderEvidence& Evidence() const { return evidence_; }

  /** Returns why the last write to become the leader was made. */
  LeaseTakeover Takeover() const { return takeover_; }
  /**
   * Returns the time by which all leaders before this epoch must have stopped:
   * the time of the takeover, unless the lease that it replaced, or one before
   * that, may still be valid.
   */
  Instant FormerLeaseEnd() const { return formerLeaseEnd_; }
  /**
   * Returns the time until which no other entry can have replaced this leader.
   *
   * A follower replaces a leader early only after the row has not changed for
   * LeaderEvidence::kRowUnchanged, which counts from its observation of a
   * renewal that was sent before.
   */
  Instant OnlyLeaderUntil() const;
  /** Returns the last sign of life of the leader that was replaced. */
  Instant FormerLeaderSeenAt() const { return formerLeaderSeenAt_; }

  /** Sets the value of LeaderRecord::workerProtocol_ that the next renewal
   * writes. */
  void SetWorkerProtocol(WorkerProtocol aProtocol)
  {
    workerProtocol_ = aProtocol;
  }

  /** Starts a planned stop: the next write releases the lease. */
  void StepDown();

  /** Returns whether this process may send orders and acknowledge now. */
  bool IsLeader(Instant aNow) const;
  /** Returns whether the row names this process, even if its lease expired. */
  bool Holds() const { return holds_; }
  /** Returns whether this process has released the lease in the table, or had
   * no lease to release. */
  bool SteppedDown() const { return steppedDown_; }
  std::uint64_t Epoch() const { return row_.record_.epoch_; }

  /** Returns the content of the row as last read or written. */
  const LeaderRecord& Leader() const { return row_.record_; }

private:
  LeaseStep NextWhileHolding(Instant aNow);
  LeaseStep NextWhileFollowing(Instant aNow);
  LeaseStep Write(Instant aNow);
  bool IsOwn(const LeaderRecord& aRecord) const;
  bool IsFree(Instant aNow) const;
  /** Returns why this process may take over now; none if it may not. */
  std::optional<LeaseTakeover> TakeoverReason(Instant aNow) const;
  LeaseStep TakeOver(LeaseTakeover aKind, Instant aNow);
  Instant NextCheck(Instant aNow) const;
  /** Returns when this process may treat the observed lease as expired, unless
   * the lease is renewed. */
  Instant ExpiresAt() const;
  void RequireRead(Instant aNow);

  Identity self_;
  Millis acquisitionDelay_;
  LeaderRow row_;
  bool rowKnown_ = false;
  /** Time of the first observation of the current row version. */
  Instant unchangedSince_;
  LeaderRecord wanted_;
  /** Value for the next renewal; none until the workers have reported. */
  std::optional<WorkerProtocol> workerProtocol_;
  bool busy_ = false;
  bool holds_ = false;
  bool outcomeUnknown_ = false;
  bool stepDown_ = false;
  bool steppedDown_ = false;
  LeaderEvidence evidence_;
  LeaseTakeover takeover_ = LeaseTakeover::Free;
  Instant formerLeaseEnd_;
  Instant formerLeaderSeenAt_;
  /** Row version that the leader yielded; 0 if none. */
  std::uint64_t yieldedVersion_ = 0;
  Instant sentAt_;
  Instant nextAt_;
  /** Send time of the last successful write of this leader. */
  Instant renewedAt_;
  /** End of the leadership of this process unless it renews the lease. */
  Instant deadline_;
};

}
