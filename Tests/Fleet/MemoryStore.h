#pragma once

#include "Connection/RowStore.h"
#include "Process/SocketAddress.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cactusrail {

/** The tables of a test: all stores of one process share them. */
struct MemoryTables
{
  static MemoryTables& OfTest();

  std::map<RowId, Row> rows_;
  std::vector<Row> history_;
  std::uint64_t version_ = 0;
  /** Calls are refused: surely nothing was done. */
  bool away_ = false;
  /** Writes take effect and are not answered. */
  bool losesAnswers_ = false;

  Commit Apply(const RowTransaction& aTransaction);
  RowPage Page(const RowRange& aRange) const;
  RowChanges Changes(const std::string& aTable, std::uint64_t aAfter) const;
};

/** A RowStore in memory; answers come from the event loop. */
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
