#pragma once

#include "Connection/RowStore.h"
#include "Process/SocketAddress.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cactusrail {

/** Tables of a test, shared by all stores of the process. */
struct MemoryTables
{
  static MemoryTables& OfTest();

  std::map<RowId, Row> rows_;
  std::vector<Row> history_;
  std::uint64_t version_ = 0;
  /** Changes up to this version have been dropped from the history. */
  std::uint64_t expiredVersion_ = 0;
  /** State with which reads answer instead of the current one. */
  struct Snapshot
  {
    std::map<RowId, Row> rows_;
    std::uint64_t version_ = 0;
  };
  std::optional<Snapshot> stale_;
  /** Number of reads so far. */
  std::size_t reads_ = 0;
  /** The table is unavailable: calls are refused and have no effect. */
  bool unavailable_ = false;
  /** Writes take effect, but their answers are lost. */
  bool losesAnswers_ = false;

  /** Calls have no effect and are not answered before their deadline. */
  bool silent_ = false;

  /** Writes of this row are not answered, and take effect only once
   * ApplyLateWrites() is called. */
  std::optional<RowId> lateRow_;
  std::vector<RowTransaction> lateWrites_;

  /** Makes reads answer with the present state until stale_ is reset. */
  void FreezeReads() { stale_ = Snapshot{ rows_, version_ }; }
  /** Drops the history, so that all watches must read their table again. */
  void ExpireHistory();
  Commit Apply(const RowTransaction& aTransaction);
  /** Whether the transaction puts lateRow_. */
  bool IsLate(const RowTransaction& aTransaction) const;
  void ApplyLateWrites();
  RowPage Page(const RowRange& aRange) const;
  RowChanges Changes(const std::string& aTable, std::uint64_t aAfter) const;
};

/** In-memory RowStore that answers from the event loop. */
class MemoryStore
{
public:
  explicit MemoryStore(const SocketAddress&) {}

  void Write(const RowTransaction& aTransaction,
             Instant aDeadline,
             CommitCallback aCallback);
  void Read(const RowRange& aRange, Instant aDeadline, PageCallback aCallback);
  void Watch(const std::string& aTable,
             std::uint64_t aAfter,
             Millis aWait,
             ChangesCallback aCallback);
};

}
