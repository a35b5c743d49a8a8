#pragma once

#include "Process/Instant.h"
#include "Request/Failure.h"
#include "Version/TableRows.h"

#include <functional>
#include <memory>
#include <optional>
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

  /** Writes an object whole; true if the store has it. */
  void PutObject(const std::string& aName,
                 std::string aBytes,
                 Instant aDeadline,
                 std::function<void(Result<bool>)> aCallback);

  /** Reads an object; nothing if there is none of that name. */
  void GetObject(
    const std::string& aName,
    Instant aDeadline,
    std::function<void(Result<std::optional<std::string>>)> aCallback);

  /** Calls that have not called back yet. */
  std::size_t InFlight() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
