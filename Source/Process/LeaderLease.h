#pragma once

#include "Process/FleetTimings.h"
#include "Process/Instant.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace cactusrail {

/** Who leads, as the table's row says. */
struct LeaderRecord
{
  /** Rises with each change of leader. */
  std::uint64_t epoch_ = 0;
  /** The process that leads; empty if the last one stepped down. */
  std::string node_;
  /** One life of that process. */
  std::string life_;
  /** Where it takes links, "IP:PORT". */
  std::string address_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(epoch_, node_, life_, address_);
  }
};

/** The row as it was read, with the version that a change is conditioned on. */
struct LeaderRow
{
  LeaderRecord record_;
  /** 0: there is no row. */
  std::uint64_t version_ = 0;
};

/** What this process should do about the lease now. */
enum class LeaseStep : std::uint8_t
{
  Nothing,
  /** Read the row; report it with OnRead(). */
  Read,
  /** Write Wanted() on the condition of RowVersion(); report the outcome. */
  Write,
};

/**
 * The lease by which one entry leads: a row of the table that the leader keeps
 * writing. Pure: facts and times in, steps out. Owned by the entry's process.
 *
 * Two leaders at once would start one task twice. A leader goes on only until
 * kLeaderLease after it *sent* its last renewal that succeeded; a follower
 * takes over only when it saw one unchanged version for longer than that, and
 * its write is conditioned on that version. The clock counts suspended time, so
 * a frozen leader finds its lease over when it wakes.
 */
class LeaderLease
{
public:
  /**
   * How long a process on so many processors leaves a free lease to others.
   *
   * Makes larger hosts lead where all look at a free lease at the same time, as
   * when all start: hosts of half a processor and more wait for none. It does
   * not bind them otherwise: entries see the last renewal of a lost leader up
   * to kLeaderWatch apart; see HandsOverTo().
   */
  static Millis StandAside(double aProcessors);

  struct Identity
  {
    std::string node_;
    std::string life_;
    std::string address_;
    /** Of its host, or its share of one. */
    double processors_ = 1;
  };

  explicit LeaderLease(Identity aSelf);

  LeaseStep Next(Instant aNow);

  /** The content to write, and the version that it replaces. */
  const LeaderRecord& Wanted() const { return wanted_; }
  std::uint64_t RowVersion() const { return row_.version_; }

  /** A read that was sent at aSentAt brought this row, or none. */
  void OnRead(const LeaderRow& aRow, Instant aSentAt, Instant aNow);
  void OnReadFailed(Instant aNow);

  /** The write succeeded; the row has aVersion now. */
  void OnWritten(std::uint64_t aVersion, Instant aNow);
  /** The condition failed: someone else wrote, or a write of ours came late. */
  void OnConflict(Instant aNow);
  /** It may have been written, or not. */
  void OnDoubt(Instant aNow);
  /** It surely was not written. */
  void OnNotWritten(Instant aNow);

  /**
   * The table does not answer this process, and answers another one: that one
   * is told to take over. This process leads no more unless its next renewal
   * comes first; the row's version decides.
   */
  void Yield(Instant aNow);
  /**
   * The leader has yielded the row as it was in this version; the next step
   * takes over, if the row still is. Taken as a yield of the leader's life, it
   * outlived a renewal that was on its way: the renewal succeeded, the leader
   * went on, this process took over, and both started the same task.
   */
  void OnYield(std::uint64_t aVersion, Instant aNow);

  /**
   * Whether this process, which leads, should yield to one on a host with so
   * many processors, which reaches the table.
   *
   * A leader on a host with too little of a processor falls seconds behind.
   */
  bool HandsOverTo(double aProcessors) const;

  /** A planned stop: the next write gives the lease up. */
  void StepDown();

  /** This process may order and acknowledge now. */
  bool Leads(Instant aNow) const;
  /** It holds the row, though its time may be over for the moment. */
  bool Holds() const { return holds_; }
  /** It gave the lease up, and the table has taken that. */
  bool SteppedDown() const { return steppedDown_; }
  std::uint64_t Epoch() const { return row_.record_.epoch_; }

  /** Who leads as far as is known. */
  const LeaderRecord& Leader() const { return row_.record_; }

private:
  LeaseStep NextWhileHolding(Instant aNow);
  LeaseStep NextWhileFollowing(Instant aNow);
  LeaseStep Write(Instant aNow);
  bool IsOwn(const LeaderRecord& aRecord) const;
  bool IsFree(Instant aNow) const;
  /** When the lease is over for this process, unless it is renewed. */
  Instant OverAt() const;
  void BeginDoubt(Instant aNow);

  Identity self_;
  Millis standAside_;
  LeaderRow row_;
  bool known_ = false;
  /** Since when the row has been seen in this version. */
  Instant seenSince_;
  LeaderRecord wanted_;
  bool busy_ = false;
  bool holds_ = false;
  bool inDoubt_ = false;
  bool stepDown_ = false;
  bool steppedDown_ = false;
  /** The version in which the leader yielded the row; 0 if it did not. */
  std::uint64_t yieldedVersion_ = 0;
  Instant sentAt_;
  Instant nextAt_;
  /** Until when this process may lead. */
  Instant deadline_;
};

}
