#pragma once

#include "Connection/RowStore.h"
#include "Process/FleetRecords.h"
#include "Process/Guarded.h"
#include "Process/LeaderLease.h"
#include "Process/Log.h"
#include "Version/RecordCodec.h"

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace cactusrail {

/** Executes the steps of a LeaderLease against the table. Owned by the entry's
 * process. */
template<RowStore Store>
class LeaseRunner : public QObject
{
public:
  /** Called after each table operation that may have changed the lease. */
  using Callback = std::function<void()>;

  LeaseRunner(Store& aStore, LeaderLease::Identity aSelf, Callback aChanged)
    : store_(aStore)
    , lease_(std::move(aSelf))
    , changed_(std::move(aChanged))
  {
    connect(&timer_, &QTimer::timeout, this, [this] { Step(); });
  }

  void Start()
  {
    timer_.start(kTick);
    Step();
  }

  void StepDown()
  {
    lease_.StepDown();
    Step();
  }

  /** See LeaderLease::Yield(). */
  void Yield() { lease_.Yield(ReadMonotonicClock()); }

  void OnYield(std::uint64_t aVersion)
  {
    lease_.OnYield(aVersion, ReadMonotonicClock());
    Step();
  }

  /** See LeaderLease::SetWorkerProtocol(). */
  void SetWorkerProtocol(WorkerProtocol aProtocol)
  {
    lease_.SetWorkerProtocol(aProtocol);
  }

  /** See LeaderLease::OnLeaderAnswer(). */
  void OnLeaderAnswer() { lease_.OnLeaderAnswer(ReadMonotonicClock()); }
  /** See LeaderLease::OnLeaderLinkNotOpened(). */
  void OnLeaderLinkNotOpened() { lease_.OnLeaderLinkNotOpened(); }

  const LeaderLease& Lease() const { return lease_; }

  /** Returns when the table last answered. While the table answers, it is
   * called at least every second, except after a yield. */
  Instant AnsweredAt() const { return answeredAt_; }

private:
  /** Interval at which the lease is checked for a step that is due. */
  static constexpr Millis kTick{ 100 };
  /** The same while the lease is read every kEarlyLeaderCheckPeriod. */
  static constexpr Millis kEarlyTick{ 50 };
  /** Shorter than the remaining time of a lease after two failed renewals. */
  static constexpr Millis kCallTimeout{ 1000 };

  /** Executes the step of the lease that is due, if any. */
  void Step()
  {
    const Instant now = ReadMonotonicClock();
    const Millis tick = lease_.EarlyTakeoverEnabled() ? kEarlyTick : kTick;
    if (timer_.isActive() && timer_.intervalAsDuration() != tick) {
      timer_.start(tick);
    }
    switch (lease_.Next(now)) {
      case LeaseStep::Nothing:
        return;
      case LeaseStep::Read:
        Read(now);
        return;
      case LeaseStep::Write:
        Write(now);
        return;
    }
  }

  void Read(Instant aSentAt)
  {
    const RowId id = LeaderRowId();
    store_.Read({ id.table_, id.part_, id.key_, {} },
                aSentAt + kCallTimeout,
                Guarded(this, [this, aSentAt](Result<RowPage> aPage) {
                  OnPage(std::move(aPage), aSentAt);
                }));
  }

  void OnPage(Result<RowPage> aPage, Instant aSentAt)
  {
    const Instant now = ReadMonotonicClock();
    const auto* page = std::get_if<RowPage>(&aPage);
    if (page == nullptr) {
      lease_.OnReadFailed(now);
      changed_();
      return;
    }
    answeredAt_ = now;
    LeaderRow row;
    if (!page->rows_.empty() &&
        page->rows_.front().id_.key_ == LeaderRowId().key_) {
      Result<LeaderRecord> record =
        DecodeRecord<LeaderRecord>(page->rows_.front().value_);
      if (auto* decoded = std::get_if<LeaderRecord>(&record)) {
        row.record_ = std::move(*decoded);
      } else {
        LogProblem("lease-unreadable",
                   { { "reason", std::get<Failure>(record).message_ } });
      }
      row.version_ = page->rows_.front().version_;
    }
    lease_.OnRead(row, aSentAt, now);
    changed_();
    Step();
  }

  void LogSuspicion(Instant aNow) const
  {
    const LeaderEvidence& evidence = lease_.Evidence();
    LogChange(
      "leader-suspected",
      { { "leader", lease_.Leader().node_ },
        { "epoch", std::to_string(lease_.Epoch()) },
        { "rowUnchangedMs",
          std::to_string(evidence.RowAge().value_or(Millis(0)).count()) },
        { "answerMsAgo", std::to_string(evidence.LinkAge(aNow).count()) } });
  }

  void Write(Instant aSentAt)
  {
    if (!lease_.Holds() && lease_.Takeover() == LeaseTakeover::Early) {
      LogSuspicion(aSentAt);
    }
    RowTransaction transaction;
    transaction.conditions_.push_back({ LeaderRowId(), lease_.RowVersion() });
    transaction.puts_.push_back(
      { LeaderRowId(), EncodeRecord(lease_.Wanted()) });
    store_.Write(
      transaction,
      aSentAt + kCallTimeout,
      Guarded(this, [this](const Commit& aCommit) { OnCommit(aCommit); }));
  }

  void OnCommit(const Commit& aCommit)
  {
    const Instant now = ReadMonotonicClock();
    if (aCommit.outcome_ == CommitOutcome::Done ||
        aCommit.outcome_ == CommitOutcome::Conflict) {
      answeredAt_ = now;
    }
    switch (aCommit.outcome_) {
      case CommitOutcome::Done:
        lease_.OnWritten(aCommit.version_, now);
        break;
      case CommitOutcome::Conflict:
        lease_.OnConflict(now);
        break;
      case CommitOutcome::NotDone:
        lease_.OnNotWritten(now);
        break;
      case CommitOutcome::UnknownOutcome:
        lease_.OnUnknownOutcome(now);
        break;
    }
    changed_();
    Step();
  }

  Store& store_;
  LeaderLease lease_;
  Callback changed_;
  QTimer timer_;
  Instant answeredAt_;
};

}
