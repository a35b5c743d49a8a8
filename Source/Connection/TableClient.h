#pragma once

#include "Request/Failure.h"
#include "Version/Instant.h"
#include "Version/TableRows.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * HTTP client of the platform's table service and object store. Runs in the
 * thread that created it.
 */
class TableClient
{
public:
  /** aBase is "http://IP:PORT". */
  explicit TableClient(std::string aBase);
  ~TableClient();

  /**
   * Applies a transaction atomically. A Failure with MayHaveRun means that the
   * transaction may have taken effect although no valid response arrived.
   */
  void Transact(const TableTransaction& aTransaction,
                Instant aDeadline,
                std::function<void(Result<TableOutcome>)> aCallback);

  /** Reads all rows whose key starts with the prefix. */
  void Read(const std::string& aPrefix,
            Instant aDeadline,
            std::function<void(Result<std::vector<TableRow>>)> aCallback);

  /** Writes a complete object; the result is true once it is stored. */
  void PutObject(const std::string& aName,
                 std::string aBytes,
                 Instant aDeadline,
                 std::function<void(Result<bool>)> aCallback);

  /** Reads an object; the result is empty if no object has that name. */
  void GetObject(
    const std::string& aName,
    Instant aDeadline,
    std::function<void(Result<std::optional<std::string>>)> aCallback);

  /** Number of calls whose callback is outstanding. */
  std::size_t InFlight() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
