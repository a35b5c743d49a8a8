#pragma once

#include "Request/ClaimBatcher.h"
#include "Request/Failure.h"
#include "Version/TableRows.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * Converts a batch of claims to a transaction of the table service, and the
 * answer to a result for each claim. Performs no I/O; lives as long as the
 * call.
 */
class ClaimTransaction
{
public:
  explicit ClaimTransaction(const ClaimBatcher::Batch& aBatch);

  /** Moves out the transaction to send; may be called once. */
  TableTransaction Transaction();

  /**
   * Passes the result to the batcher and returns the completed writes. Rows are
   * matched by key, so that no claim gets the revision or the answer of another
   * claim.
   */
  std::vector<ClaimBatcher::Ended> Read(const Result<TableOutcome>& aResult,
                                        ClaimBatcher& aBatcher) const;

private:
  std::uint64_t batchId_;
  std::vector<std::string> keys_;
  TableTransaction transaction_;
};

}
