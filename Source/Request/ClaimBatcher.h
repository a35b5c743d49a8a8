#pragma once

#include "Request/OutcomeWriter.h"
#include "Version/Instant.h"

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
 * Batches claim writes into few transactions, because the table service handles
 * several hundred transactions a second and a busy entry has more claims than
 * that. A write is sent at once if no transaction is in flight; writes that
 * arrive meanwhile share the next transaction. Performs no I/O; each lane of an
 * entry owns one, together with its table client.
 *
 * Transactions are atomic, so one refused claim fails its whole batch: the
 * refused claims are reported, and the others are sent again without them.
 */
class ClaimBatcher
{
public:
  struct Limits
  {
    /** Maximum number of rows in one transaction. */
    std::size_t maxRows_ = 64;
    /** Minimum interval between the starts of two transactions. */
    Millis interval_{ 20 };
    /** Time without an answer after which the next transaction may start. */
    Millis answerTimeout_{ 50 };
  };

  /** The rows of one transaction; each key occurs once. */
  struct Batch
  {
    /** Identifies the batch in the call that reports its result. */
    std::uint64_t id_ = 0;
    std::vector<WriteClaim> writes_;
    /** The latest deadline of the writes. */
    Instant deadline_;
  };

  /** A completed write and its result. */
  struct Ended
  {
    WriteClaim write_;
    ClaimWriteResult result_;
  };

  /** Index in the batch of a row whose condition failed, and its result. */
  using RefusedRow = std::pair<std::size_t, ClaimWriteResult>;

  explicit ClaimBatcher(const Limits& aLimits);

  void Add(WriteClaim aWrite);

  /**
   * Returns the next transaction if one may start now. Call it after every
   * other call until it returns none: writes marked alone_ start at once, in
   * parallel with other transactions.
   */
  std::optional<Batch> Begin(Instant aNow);

  /** The transaction was applied; aRevisions holds the rows' revisions in batch
   * order. */
  std::vector<Ended> OnApplied(std::uint64_t aBatchId,
                               std::span<const std::uint64_t> aRevisions);

  /** The conditions of aRows failed, so the transaction was not applied. The
   * other rows wait for the next transaction. */
  std::vector<Ended> OnRefused(std::uint64_t aBatchId,
                               std::span<const RefusedRow> aRows);

  /** The transaction was not applied (NotWritten), or its outcome is unknown
   * (Unknown). */
  std::vector<Ended> OnFailed(std::uint64_t aBatchId, ClaimWrite aOutcome);

  /** Returns the writes whose deadline passed before they were sent. */
  std::vector<Ended> OnTick(Instant aNow);

  std::size_t Waiting() const;

private:
  std::vector<WriteClaim> Take(std::uint64_t aBatchId);

  Limits limits_;
  std::deque<WriteClaim> waiting_;
  /** Writes of the transactions in flight, by batch id. */
  std::map<std::uint64_t, std::vector<WriteClaim>> inFlight_;
  std::uint64_t nextBatchId_ = 1;
  std::uint64_t lastBatchId_ = 0;
  Instant lastBegin_;
  Instant nextBegin_;
};

}
