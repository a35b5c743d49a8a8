#pragma once

#include "Request/Failure.h"
#include "Version/Instant.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

namespace cactusrail {

/** Address of a row. Transactions are limited to the rows of one part. */
struct RowId
{
  std::string table_;
  std::string part_;
  std::string key_;

  bool operator==(const RowId&) const = default;
  bool operator<(const RowId& aOther) const
  {
    return std::tie(table_, part_, key_) <
           std::tie(aOther.table_, aOther.part_, aOther.key_);
  }
};

/** A row as read from the store. */
struct Row
{
  RowId id_;
  std::string value_;
  /** Increases with each change; 0 for a row that does not exist. */
  std::uint64_t version_ = 0;
  bool removed_ = false;
};

/** Required version of a row; 0 requires that the row does not exist. */
struct RowExpectation
{
  RowId id_;
  std::uint64_t version_ = 0;
};

struct RowPut
{
  RowId id_;
  std::string value_;
};

/** Atomic set of changes, all within one part. */
struct RowTransaction
{
  std::vector<RowExpectation> conditions_;
  std::vector<RowPut> puts_;
  std::vector<RowId> removals_;
};

enum class CommitOutcome : std::uint8_t
{
  Done,
  /** A condition was not met. */
  Conflict,
  /** The write had no effect. */
  NotDone,
  /** Unknown outcome: without a response, the write may have been applied or
   * may still be applied seconds later. */
  UnknownOutcome,
};

struct Commit
{
  CommitOutcome outcome_ = CommitOutcome::UnknownOutcome;
  /** New version of the changed rows. */
  std::uint64_t version_ = 0;
};

/** Range of keys from first_ (inclusive) to until_ (exclusive); an empty key is
 * no bound. */
struct RowRange
{
  std::string table_;
  std::string part_;
  std::string first_;
  std::string until_;

  /** Returns the range of a single row: keys contain only printable characters,
   * so no key sorts between a key and the same key followed by a space. */
  static RowRange Only(const RowId& aId)
  {
    return { aId.table_, aId.part_, aId.key_, aId.key_ + " " };
  }
};

/** Consistent snapshot of rows, sorted by key. */
struct RowPage
{
  std::vector<Row> rows_;
  /** Whether more rows follow the last key. */
  bool more_ = false;
  /** Newest version of the store at the time of the snapshot. */
  std::uint64_t version_ = 0;
};

/** Rows of one table that changed after a version, in order of change. */
struct RowChanges
{
  std::vector<Row> rows_;
  /** Version from which to continue. */
  std::uint64_t version_ = 0;
  /** The change history is no longer available; the table must be re-read. */
  bool historyExpired_ = false;
};

using CommitCallback = std::function<void(const Commit&)>;
using PageCallback = std::function<void(Result<RowPage>)>;
using ChangesCallback = std::function<void(Result<RowChanges>)>;

/**
 * A client of the table service that stores all durable state. Calls are
 * asynchronous; the event loop invokes each callback exactly once.
 */
template<typename Store>
concept RowStore = requires(Store& aStore,
                            const RowTransaction& aTransaction,
                            const RowRange& aRange,
                            const std::string& aTable,
                            std::uint64_t aVersion,
                            Millis aWait,
                            Instant aDeadline)
{
  aStore.Write(aTransaction, aDeadline, CommitCallback());
  aStore.Read(aRange, aDeadline, PageCallback());
  // Waits up to aWait for a change.
  aStore.Watch(aTable, aVersion, aWait, ChangesCallback());
};

}
