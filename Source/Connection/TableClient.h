#pragma once

#include "Process/Instant.h"
#include "Request/Failure.h"
#include "Version/TableRows.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * Speaks to the platform's table service and object store over HTTP, in the
 * thread that created it.
 */
class TableClient
{
public:
  /** aBase is "http://IP:PORT". */
  explicit TableClient(std::string aBase);
  ~TableClient();

  /**
   * Applies a transaction whole or not at all. A Failure with MayHaveRun means
   * that it may have taken effect although no answer came.
   */
  void Transact(const TableTransaction& aTransaction,
                Instant aDeadline,
                std::function<void(Result<TableOutcome>)> aCallback);

  /** Reads all rows whose key starts with the prefix. */
  void Read(const std::string& aPrefix,
            Instant aDeadline,
            std::function<void(Result<std::vector<TableRow>>)> aCallback);

  /** Calls that have not called back yet. */
  std::size_t InFlight() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
