#pragma once

#include "Connection/RowStore.h"
#include "Process/FleetRecords.h"
#include "Process/FleetScheduler.h"
#include "Process/Guarded.h"
#include "Process/Log.h"
#include "Version/RecordCodec.h"

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cactusrail {

/**
 * Writes the records of the leader in sequential transactions, each conditional
 * on the head row; see ProgressHead. Owned by FleetLeader.
 */
template<RowStore Store>
class ProgressWriter : public QObject
{
public:
  ProgressWriter(Store& aStore, std::uint64_t aEpoch)
    : store_(aStore)
    , epoch_(aEpoch)
  {
  }

  /** Claims the head row for this epoch. Calls aFenced once no earlier leader
   * can write, or aLeadershipLost if the head row has a higher epoch. */
  void Fence(std::function<void()> aFenced,
             std::function<void()> aLeadershipLost)
  {
    fenced_ = std::move(aFenced);
    leadershipLost_ = std::move(aLeadershipLost);
    ReadHead();
  }

  /** Writes one batch and calls aStored once all of it is stored. Must not be
   * called while Busy(). */
  void Write(const ProgressBatch& aBatch,
             const std::vector<std::string>& aRemovals,
             std::function<void()> aStored)
  {
    puts_.clear();
    for (const auto& [id, progress] : aBatch.jobs_) {
      puts_.push_back({ ProgressRowId(id), EncodeRecord(progress) });
    }
    removals_.clear();
    for (const std::string& id : aRemovals) {
      removals_.push_back(ProgressRowId(id));
    }
    stored_ = std::move(aStored);
    WriteNext();
  }

  bool Busy() const { return busy_; }

private:
  static constexpr Millis kTimeout{ 1500 };
  static constexpr Millis kRetry{ 100 };
  /** The table accepts up to 100 rows and 1 MB per transaction, including the
   * head row. */
  static constexpr std::size_t kMaxRows = 90;
  static constexpr std::size_t kMaxBytes = 600000;

  void RetryLater(void (ProgressWriter::*aStep)())
  {
    QTimer::singleShot(kRetry, this, [this, aStep] { (this->*aStep)(); });
  }

  void ReadHead()
  {
    const RowId id = ProgressHeadId();
    store_.Read({ id.table_, id.part_, id.key_, {} },
                ReadMonotonicClock() + kTimeout,
                Guarded(this, [this](Result<RowPage> aPage) {
                  OnHead(std::move(aPage));
                }));
  }

  void OnHead(Result<RowPage> aPage)
  {
    const auto* page = std::get_if<RowPage>(&aPage);
    if (page == nullptr) {
      RetryLater(&ProgressWriter::ReadHead);
      return;
    }
    ProgressHead head;
    version_ = 0;
    if (!page->rows_.empty() &&
        page->rows_.front().id_.key_ == ProgressHeadId().key_) {
      const Result<ProgressHead> decoded =
        DecodeRecord<ProgressHead>(page->rows_.front().value_);
      if (const auto* known = std::get_if<ProgressHead>(&decoded)) {
        head = *known;
      } else {
        LogProblem("head-unreadable",
                   { { "reason", std::get<Failure>(decoded).message_ } });
      }
      version_ = page->rows_.front().version_;
    }
    if (head.epoch_ > epoch_) {
      leadershipLost_();
      return;
    }
    if (writing_.has_value() && head.epoch_ == writing_->epoch_ &&
        head.sequence_ == writing_->sequence_) {
      OnPartStored();
      return;
    }
    WriteNext();
  }

  void WriteNext()
  {
    busy_ = true;
    RowTransaction transaction;
    transaction.conditions_.push_back({ ProgressHeadId(), version_ });
    writing_ = ProgressHead{ epoch_, ++sequence_ };
    transaction.puts_.push_back({ ProgressHeadId(), EncodeRecord(*writing_) });
    std::size_t bytes = 0;
    putCount_ = 0;
    removalCount_ = 0;
    while (putCount_ < puts_.size() && putCount_ < kMaxRows &&
           bytes < kMaxBytes) {
      bytes += puts_[putCount_].value_.size();
      transaction.puts_.push_back(puts_[putCount_++]);
    }
    while (putCount_ + removalCount_ < kMaxRows &&
           removalCount_ < removals_.size()) {
      transaction.removals_.push_back(removals_[removalCount_++]);
    }
    store_.Write(
      transaction,
      ReadMonotonicClock() + kTimeout,
      Guarded(this, [this](const Commit& aCommit) { OnCommit(aCommit); }));
  }

  void OnCommit(const Commit& aCommit)
  {
    switch (aCommit.outcome_) {
      case CommitOutcome::Done:
        version_ = aCommit.version_;
        OnPartStored();
        return;
      case CommitOutcome::NotDone:
        RetryLater(&ProgressWriter::WriteNext);
        return;
      case CommitOutcome::Conflict:
        // An earlier attempt of this writer was applied late, or a newer leader
        // has written the head row.
        ReadHead();
        return;
      case CommitOutcome::UnknownOutcome:
        RetryLater(&ProgressWriter::ReadHead);
        return;
    }
  }

  void OnPartStored()
  {
    writing_.reset();
    puts_.erase(puts_.begin(),
                puts_.begin() + static_cast<std::ptrdiff_t>(putCount_));
    removals_.erase(removals_.begin(),
                    removals_.begin() +
                      static_cast<std::ptrdiff_t>(removalCount_));
    putCount_ = 0;
    removalCount_ = 0;
    if (fenced_) {
      busy_ = false;
      std::exchange(fenced_, nullptr)();
      return;
    }
    if (!puts_.empty() || !removals_.empty()) {
      WriteNext();
      return;
    }
    busy_ = false;
    std::exchange(stored_, nullptr)();
  }

  Store& store_;
  std::uint64_t epoch_;
  std::uint64_t sequence_ = 0;
  /** Version of the head row on which the next transaction is conditional. */
  std::uint64_t version_ = 0;
  /** Head row of the transaction that may be in flight. */
  std::optional<ProgressHead> writing_;
  std::vector<RowPut> puts_;
  std::vector<RowId> removals_;
  std::size_t putCount_ = 0;
  std::size_t removalCount_ = 0;
  bool busy_ = false;
  std::function<void()> fenced_;
  std::function<void()> leadershipLost_;
  std::function<void()> stored_;
};

}
