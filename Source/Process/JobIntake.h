#pragma once

#include "Connection/RowStore.h"
#include "Load/WriteAttempts.h"
#include "Process/FleetRecords.h"
#include "Process/Guarded.h"
#include "Process/Log.h"
#include "Version/JobDescription.h"
#include "Version/RecordCodec.h"

#include <QObject>
#include <QTimer>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cactusrail {

/** Outcome of a write that a caller requested. */
enum class IntakeOutcome : std::uint8_t
{
  Stored,
  /** The write had no effect and will have none. */
  NotStored,
  /** The outcome is unknown: the write may have taken effect, or may take
   * effect seconds later. */
  OutcomeUnknown,
};

/**
 * Stores jobs and cancellations before callers get their answer. Writes to one
 * part that arrive while a transaction is in flight are combined in the next
 * one. Owned by the entry's process; lives in its thread.
 *
 * Each write puts the same bytes under the same key, so a write of unknown
 * outcome is repeated until its deadline. A write is reported as not stored
 * only if its outcome was never unknown.
 */
template<RowStore Store>
class JobIntake : public QObject
{
public:
  using Callback = std::function<void(IntakeOutcome)>;
  /** Receives whether a write succeeded, and when it was sent. */
  using Listener = std::function<void(bool, Instant)>;

  explicit JobIntake(
    Store& aStore,
    Listener aWritten = [](bool, Instant) {})
    : store_(aStore)
    , written_(std::move(aWritten))
  {
  }

  void StoreJob(const JobDescription& aSpec,
                Instant aDeadline,
                Callback aCallback)
  {
    Add(aSpec.id_,
        { JobRowId(aSpec.id_), EncodeRecord(aSpec) },
        aDeadline,
        std::move(aCallback));
  }

  void StoreCancel(const std::string& aJob,
                   Instant aDeadline,
                   Callback aCallback)
  {
    Add(aJob, { CancelRowId(aJob), "1" }, aDeadline, std::move(aCallback));
  }

  /** Whether the last call to the table failed less than kUnhealthyInterval
   * ago. */
  bool IsUnhealthy() const { return ReadMonotonicClock() < unhealthyUntil_; }

  /** Returns whether a write of the row by this process is in progress or had
   * an unknown outcome, so that the row may be stored. */
  bool MayBeStored(const RowId& aRow) const
  {
    return attempts_.MayBeStored(aRow.key_, ReadMonotonicClock());
  }

  /** Handles a write of unknown outcome by another entry for this one. */
  void OnUnknownElsewhere(const RowId& aRow)
  {
    attempts_.OnUnknown(aRow.key_, ReadMonotonicClock());
  }

  /** Reports the writes that were not sent yet as not stored, unless another
   * attempt may have stored their row. */
  void RefuseUnsent()
  {
    std::deque<Pending> refused;
    for (Part& part : parts_) {
      std::deque<Pending> kept;
      for (Pending& pending : part.waiting_) {
        const std::string& row = pending.put_.id_.key_;
        const bool only = attempts_.InProgress(row) == 1 &&
                          !attempts_.IsUnknown(row, ReadMonotonicClock());
        (pending.unknownOutcome_ || !only ? kept : refused)
          .push_back(std::move(pending));
      }
      part.waiting_ = std::move(kept);
    }
    for (Pending& pending : refused) {
      End(pending, IntakeOutcome::NotStored);
    }
  }

  /** Time of the last successful write to the table. */
  Instant AnsweredAt() const { return answeredAt_; }

private:
  /** Timeout of a write; an unanswered write is then repeated. */
  static constexpr Millis kCallTimeout{ 900 };
  static constexpr Millis kRetryInterval{ 60 };
  /** Interval after a failure in which other entries are asked to store
   * instead. */
  static constexpr Millis kUnhealthyInterval{ 1000 };
  /** Limits of one transaction; the table accepts 100 rows and 1 MB. */
  static constexpr std::size_t kMaxRows = 60;
  static constexpr std::size_t kMaxBytes = 600000;

  struct Pending
  {
    RowPut put_;
    Instant deadline_;
    Callback callback_;
    bool unknownOutcome_ = false;
  };

  struct Part
  {
    std::deque<Pending> waiting_;
    bool busy_ = false;
  };

  void Add(const std::string& aJob,
           RowPut aPut,
           Instant aDeadline,
           Callback aCallback)
  {
    const std::size_t part =
      static_cast<std::size_t>(std::stoul(WorkPartOf(aJob)));
    attempts_.OnBegin(aPut.id_.key_);
    parts_.at(part).waiting_.push_back(
      { std::move(aPut), aDeadline, std::move(aCallback) });
    WriteNext(part);
  }

  void WriteNext(std::size_t aPart)
  {
    Part& part = parts_.at(aPart);
    if (part.busy_ || part.waiting_.empty()) {
      return;
    }
    auto batch = std::make_shared<std::vector<Pending>>();
    RowTransaction transaction;
    std::size_t bytes = 0;
    while (!part.waiting_.empty() && batch->size() < kMaxRows &&
           bytes < kMaxBytes) {
      Pending& next = part.waiting_.front();
      bytes += next.put_.value_.size();
      transaction.puts_.push_back(next.put_);
      batch->push_back(std::move(next));
      part.waiting_.pop_front();
    }
    part.busy_ = true;
    const Instant sentAt = ReadMonotonicClock();
    store_.Write(
      transaction,
      sentAt + kCallTimeout,
      Guarded(this, [this, aPart, batch, sentAt](const Commit& aCommit) {
        written_(aCommit.outcome_ == CommitOutcome::Done, sentAt);
        OnWritten(aPart, *batch, aCommit);
      }));
  }

  void End(const Pending& aPending, IntakeOutcome aOutcome)
  {
    attempts_.OnEnd(aPending.put_.id_.key_,
                    aOutcome == IntakeOutcome::OutcomeUnknown,
                    ReadMonotonicClock());
    aPending.callback_(aOutcome);
  }

  void OnWritten(std::size_t aPart,
                 std::vector<Pending>& aBatch,
                 const Commit& aCommit)
  {
    Part& part = parts_.at(aPart);
    part.busy_ = false;
    const Instant now = ReadMonotonicClock();
    const bool done = aCommit.outcome_ == CommitOutcome::Done;
    answeredAt_ = done ? now : answeredAt_;
    unhealthyUntil_ = done ? Instant() : now + kUnhealthyInterval;
    bool retry = false;
    for (Pending& pending : aBatch) {
      if (done) {
        End(pending, IntakeOutcome::Stored);
        continue;
      }
      pending.unknownOutcome_ =
        pending.unknownOutcome_ ||
        aCommit.outcome_ == CommitOutcome::UnknownOutcome;
      if (!pending.unknownOutcome_) {
        End(pending, IntakeOutcome::NotStored);
      } else if (now + kRetryInterval >= pending.deadline_) {
        End(pending, IntakeOutcome::OutcomeUnknown);
      } else {
        part.waiting_.push_front(std::move(pending));
        retry = true;
      }
    }
    if (retry) {
      QTimer::singleShot(
        kRetryInterval, this, [this, aPart] { WriteNext(aPart); });
      return;
    }
    WriteNext(aPart);
  }

  Store& store_;
  Listener written_;
  WriteAttempts attempts_;
  std::array<Part, kWorkParts> parts_;
  Instant unhealthyUntil_;
  Instant answeredAt_;
};

}
