#pragma once

#include "Process/Instant.h"
#include "Request/OutcomeWriter.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace cactusrail {

/**
 * Groups writes of claims into few transactions, because the table service
 * takes several hundred a second and a busy entry has more claims than that. A
 * write that finds nothing under way goes at once; those that come meanwhile
 * share the next transaction. Pure; each lane of an entry owns one, beside its
 * table client.
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
    /** A transaction without an answer for so long holds up no others. */
    Millis patience_{ 50 };
  };

  /** The rows of one transaction, no key twice. */
  struct Batch
  {
    /** Comes back with the result. */
    std::uint64_t id_ = 0;
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

  /**
   * The next transaction, if one may begin now. Ask after every call until
   * there is none: what has to be alone goes at once, beside the others.
   */
  std::optional<Batch> Begin(Instant aNow);

  /** It took effect; the rows' revisions in the batch's order. */
  std::vector<Ended> OnApplied(std::uint64_t aBatchId,
                               std::span<const std::uint64_t> aRevisions);

  /** It did not, because of these rows. The others wait for the next one. */
  std::vector<Ended> OnRefused(std::uint64_t aBatchId,
                               std::span<const RefusedRow> aRows);

  /** It did not (NotWritten), or nobody knows (Unknown). */
  std::vector<Ended> OnFailed(std::uint64_t aBatchId, ClaimWrite aOutcome);

  /** Writes whose deadline passed while they waited: they were never sent. */
  std::vector<Ended> OnTick(Instant aNow);

  std::size_t Waiting() const;

private:
  std::vector<WriteClaim> Take(std::uint64_t aBatchId);

  Limits limits_;
  std::deque<WriteClaim> waiting_;
  /** Transactions without an answer, by their batches' ids. */
  std::map<std::uint64_t, std::vector<WriteClaim>> underWay_;
  std::uint64_t nextBatchId_ = 1;
  std::uint64_t lastGroup_ = 0;
  Instant lastBegin_;
  Instant nextBegin_;
};

}
