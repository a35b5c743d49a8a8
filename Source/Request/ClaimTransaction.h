#pragma once

#include "Request/ClaimBatcher.h"
#include "Request/Failure.h"
#include "Version/TableRows.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * One batch of claims as a transaction of the table service, and what the
 * answer to it says of each claim. Pure; lives as long as the call.
 */
class ClaimTransaction
{
public:
  explicit ClaimTransaction(const ClaimBatcher::Batch& aBatch);

  /** To be sent; may be taken once. */
  TableTransaction Transaction();

  /**
   * Tells the batcher how it ended. The rows are told apart by their keys: a
   * claim must not be given another's revision, or another's answer.
   */
  std::vector<ClaimBatcher::Ended> Read(const Result<TableOutcome>& aResult,
                                        ClaimBatcher& aBatcher) const;

private:
  std::uint64_t batchId_;
  std::vector<std::string> keys_;
  TableTransaction transaction_;
};

}
