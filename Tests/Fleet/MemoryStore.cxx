#include "MemoryStore.h"

#include <QCoreApplication>
#include <QTimer>

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

constexpr Millis kPollInterval{ 5 };

Failure
Unavailable()
{
  return NotRun(FailureKind::Refused, "The table is unavailable.");
}

void
WatchUntil(const std::string& aTable,
           std::uint64_t aAfter,
           Instant aUntil,
           const ChangesCallback& aCallback)
{
  const MemoryTables& tables = MemoryTables::OfTest();
  if (tables.unavailable_ ||
      (tables.silent_ && ReadMonotonicClock() >= aUntil)) {
    aCallback(Unavailable());
    return;
  }
  RowChanges changes = tables.Changes(aTable, aAfter);
  if (!tables.silent_ && (changes.historyExpired_ || !changes.rows_.empty() ||
                          ReadMonotonicClock() >= aUntil)) {
    aCallback(std::move(changes));
    return;
  }
  QTimer::singleShot(kPollInterval,
                     QCoreApplication::instance(),
                     [aTable, aAfter, aUntil, aCallback] {
                       WatchUntil(aTable, aAfter, aUntil, aCallback);
                     });
}

}

MemoryTables&
MemoryTables::OfTest()
{
  static MemoryTables tables;
  return tables;
}

void
MemoryTables::ExpireHistory()
{
  history_.clear();
  // Even a watch that has seen all changes has to read its table again.
  expiredVersion_ = ++version_;
}

Commit
MemoryTables::Apply(const RowTransaction& aTransaction)
{
  for (const RowExpectation& condition : aTransaction.conditions_) {
    const auto found = rows_.find(condition.id_);
    const std::uint64_t known =
      found == rows_.end() ? 0 : found->second.version_;
    if (known != condition.version_) {
      return { CommitOutcome::Conflict, 0 };
    }
  }
  ++version_;
  for (const RowPut& put : aTransaction.puts_) {
    rows_[put.id_] = { put.id_, put.value_, version_, false };
    history_.push_back(rows_[put.id_]);
  }
  for (const RowId& id : aTransaction.removals_) {
    rows_.erase(id);
    history_.push_back({ id, {}, version_, true });
  }
  return { CommitOutcome::Done, version_ };
}

bool
MemoryTables::IsLate(const RowTransaction& aTransaction) const
{
  return lateRow_.has_value() && std::any_of(aTransaction.puts_.begin(),
                                             aTransaction.puts_.end(),
                                             [this](const RowPut& aPut) {
                                               return aPut.id_ == *lateRow_;
                                             });
}

void
MemoryTables::ApplyLateWrites()
{
  for (const RowTransaction& transaction : std::exchange(lateWrites_, {})) {
    Apply(transaction);
  }
}

RowPage
MemoryTables::Page(const RowRange& aRange) const
{
  RowPage page;
  page.version_ = stale_.has_value() ? stale_->version_ : version_;
  for (const auto& [id, row] : stale_.has_value() ? stale_->rows_ : rows_) {
    if (id.table_ == aRange.table_ && id.part_ == aRange.part_ &&
        id.key_ >= aRange.first_ &&
        (aRange.until_.empty() || id.key_ < aRange.until_)) {
      page.rows_.push_back(row);
    }
  }
  return page;
}

RowChanges
MemoryTables::Changes(const std::string& aTable, std::uint64_t aAfter) const
{
  RowChanges changes;
  changes.version_ = version_;
  if (aAfter < expiredVersion_) {
    changes.historyExpired_ = true;
    return changes;
  }
  for (const Row& row : history_) {
    if (row.id_.table_ == aTable && row.version_ > aAfter) {
      changes.rows_.push_back(row);
    }
  }
  return changes;
}

void
MemoryStore::Write(const RowTransaction& aTransaction,
                   Instant aDeadline,
                   CommitCallback aCallback)
{
  MemoryTables& tables = MemoryTables::OfTest();
  Commit commit{ CommitOutcome::NotDone, 0 };
  Millis after(0);
  const bool late = tables.IsLate(aTransaction);
  if (late) {
    tables.lateWrites_.push_back(aTransaction);
  } else if (!tables.unavailable_ && !tables.silent_) {
    commit = tables.Apply(aTransaction);
  }
  if (tables.losesAnswers_ || tables.silent_ || late) {
    commit = { CommitOutcome::UnknownOutcome, 0 };
    after =
      std::chrono::duration_cast<Millis>(aDeadline - ReadMonotonicClock());
  }
  QTimer::singleShot(
    after,
    QCoreApplication::instance(),
    [commit, callback = std::move(aCallback)] { callback(commit); });
}

void
MemoryStore::Read(const RowRange& aRange,
                  Instant aDeadline,
                  PageCallback aCallback)
{
  MemoryTables& tables = MemoryTables::OfTest();
  ++tables.reads_;
  Result<RowPage> page = Unavailable();
  if (!tables.unavailable_ && !tables.silent_) {
    page = tables.Page(aRange);
  }
  const auto after =
    tables.silent_
      ? std::chrono::duration_cast<Millis>(aDeadline - ReadMonotonicClock())
      : Millis(0);
  QTimer::singleShot(after,
                     QCoreApplication::instance(),
                     [page = std::move(page), callback = std::move(aCallback)] {
                       callback(page);
                     });
}

void
MemoryStore::Watch(const std::string& aTable,
                   std::uint64_t aAfter,
                   Millis aWait,
                   ChangesCallback aCallback)
{
  const Instant until = ReadMonotonicClock() + aWait;
  QTimer::singleShot(kPollInterval,
                     QCoreApplication::instance(),
                     [aTable, aAfter, until, callback = std::move(aCallback)] {
                       WatchUntil(aTable, aAfter, until, callback);
                     });
}

}
