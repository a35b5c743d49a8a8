#pragma once

#include "Connection/RowStore.h"
#include "Process/SocketAddress.h"

#include <cstdint>
#include <map>
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
  /** The table is unavailable: calls are refused and have no effect. */
  bool unavailable_ = false;
  /** Writes take effect, but their answers are lost. */
  bool losesAnswers_ = false;

  Commit Apply(const RowTransaction& aTransaction);
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
