#pragma once

#include "Process/Instant.h"
#include "Request/OutcomeWriter.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace cactusrail {

/**
 * Groups writes of claims into few transactions, because the table service
 * takes several hundred a second and a busy entry has more claims than that. A
 * write that finds nothing under way goes at once; those that come meanwhile
 * share the next transaction. Pure; one per entry or lane, beside its table
 * client.
 *
 * A transaction applies whole or not at all, so a claim that is refused takes
 * its group down: the refused are reported, the others go again without them.
 */
class ClaimBatcher
{
public:
  struct Limits
  {
    /** Rows in one transaction. */
    std::size_t maxRows_ = 64;
    /** From one transaction's begin to the next one's, at the least. */
    Millis interval_{ 20 };
  };

  /** The rows of one transaction, no key twice. */
  struct Batch
  {
    std::vector<WriteClaim> writes_;
    /** The latest of its writes' deadlines. */
    Instant deadline_;
  };

  /** How one write ended. */
  struct Ended
  {
    WriteClaim write_;
    ClaimWriteResult result_;
  };

  /** A row whose condition failed, by its place in the batch. */
  using RefusedRow = std::pair<std::size_t, ClaimWriteResult>;

  explicit ClaimBatcher(const Limits& aLimits);

  void Add(WriteClaim aWrite);

  /** The next transaction, if one may begin now. Ask after every call. */
  std::optional<Batch> Begin(Instant aNow);

  /** It took effect; the rows' revisions in the batch's order. */
  std::vector<Ended> OnApplied(std::span<const std::uint64_t> aRevisions);

  /** It did not, because of these rows. The others wait for the next one. */
  std::vector<Ended> OnRefused(std::span<const RefusedRow> aRows);

  /** It did not (NotWritten), or nobody knows (Unknown). */
  std::vector<Ended> OnFailed(ClaimWrite aOutcome);

  /** Writes whose deadline passed while they waited: they were never sent. */
  std::vector<Ended> OnTick(Instant aNow);

  std::size_t Waiting() const;

private:
  Limits limits_;
  std::deque<WriteClaim> waiting_;
  /** The transaction under way; empty if none is. */
  std::vector<WriteClaim> underWay_;
  Instant nextBegin_;
};

}
