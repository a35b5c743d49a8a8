#pragma once

#include "Process/Instant.h"
#include "Request/Failure.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

namespace cactusrail {

/** Where a row lies. Rows of one part change together; parts do not. */
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

/** A row as it was read. */
struct Row
{
  RowId id_;
  std::string value_;
  /** Rises with each change; 0 for a row that does not exist. */
  std::uint64_t version_ = 0;
  bool removed_ = false;
};

/** The version that a row must have; 0: it must not exist. */
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

/** Changes that take effect together or not at all; all of one part. */
struct RowTransaction
{
  std::vector<RowExpectation> conditions_;
  std::vector<RowPut> puts_;
  std::vector<RowId> removals_;
};

enum class CommitOutcome : std::uint8_t
{
  Done,
  /** A condition did not hold. */
  Conflict,
  /** Surely nothing was changed. */
  NotDone,
  /** No answer: it may have been done, or may be done seconds later. */
  Doubt,
};

struct Commit
{
  CommitOutcome outcome_ = CommitOutcome::Doubt;
  /** The version that the changed rows have now. */
  std::uint64_t version_ = 0;
};

/** Keys from first_ on, before until_; an empty one is no bound. */
struct RowRange
{
  std::string table_;
  std::string part_;
  std::string first_;
  std::string until_;

  /** Of this one row: keys hold printable characters only, so none lies between
   * a key and the same one with a space after it. */
  static RowRange Only(const RowId& aId)
  {
    return { aId.table_, aId.part_, aId.key_, aId.key_ + " " };
  }
};

/** Rows as of one moment, in order of their keys. */
struct RowPage
{
  std::vector<Row> rows_;
  /** More follow after the last key. */
  bool more_ = false;
  /** The store's newest version at that moment. */
  std::uint64_t version_ = 0;
};

/** Rows of one table that changed after a version, in order. */
struct RowChanges
{
  std::vector<Row> rows_;
  /** Where to go on from. */
  std::uint64_t version_ = 0;
  /** The changes are known no more; the table must be read anew. */
  bool historyGone_ = false;
};

using CommitCallback = std::function<void(const Commit&)>;
using PageCallback = std::function<void(Result<RowPage>)>;
using ChangesCallback = std::function<void(Result<RowChanges>)>;

/**
 * A client of the table service in which everything lies that must last. Calls
 * return at once; callbacks come from the event loop, once each.
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
