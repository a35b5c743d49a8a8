#pragma once

#include "Request/ClaimRecord.h"
#include "Version/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cactusrail {

/** Action: write a claim record if its row has the expected revision. */
struct WriteClaim
{
  std::string requestId_;
  /** Identifies the write in the call that reports its result. */
  std::uint64_t writeId_ = 0;
  std::string tenant_;
  std::string key_;
  /** 0 if the row must not exist. */
  std::uint64_t expectedRevision_ = 0;
  ClaimRecord record_;
  Instant deadline_;
  /** An earlier attempt failed, so the write gets its own transaction. */
  bool alone_ = false;
};

/**
 * Stores the outcomes of claimed requests and retries each write until the
 * table service has it, because a lost outcome blocks its key permanently. An
 * unknown outcome can be amended until lifetime_ ends. Performs no I/O; owned
 * by an EntryCore.
 */
class OutcomeWriter
{
public:
  struct Limits
  {
    /** Maximum number of outcomes. Above it the oldest is dropped, and its key
     * stays claimed. */
    std::size_t maxOutcomes_ = 4096;
    /** Delay between two attempts to write an outcome. */
    Millis retryInterval_{ 500 };
    Millis writeTimeout_{ 1000 };
    /** Time for which writes are retried and unknown outcomes can be amended.
     */
    Millis lifetime_{ 120000 };
  };

  /** The claim of a completed request. */
  struct Claim
  {
    std::string tenant_;
    std::string key_;
    /** Revision of the claim's row; the revision before the entry's write if
     * the outcome of that write is unknown. */
    std::uint64_t revision_ = 0;
  };

  OutcomeWriter(const Limits& aLimits, std::uint64_t& aNextWriteId);

  /** Adds the outcome of a claimed request and returns its first write. */
  WriteClaim Add(const Claim& aClaim, const ClaimRecord& aRecord, Instant aNow);

  /** Replaces an unknown outcome once more is known. */
  std::optional<WriteClaim> Amend(const ClaimRecord& aRecord, Instant aNow);

  /** Handles the result of a write; returns the next write if it must follow at
   * once. */
  std::optional<WriteClaim> OnWritten(const std::string& aRequestId,
                                      std::uint64_t aWriteId,
                                      const ClaimWriteResult& aResult,
                                      Instant aNow);

  std::vector<WriteClaim> OnTick(Instant aNow);

  /** Number of outcomes that are not stored in the table service yet. */
  std::size_t Unwritten() const;

private:
  struct Outcome
  {
    Claim claim_;
    ClaimRecord record_;
    /** Record of the write in flight. */
    ClaimRecord inFlight_;
    std::uint64_t writeId_ = 0;
    bool written_ = false;
    Instant nextWriteAt_;
    Instant expiresAt_;
  };

  WriteClaim StartWrite(Outcome& aOutcome, Instant aNow);
  void ScheduleRetry(const std::string& aRequestId,
                     Outcome& aOutcome,
                     Instant aNow);
  void MarkWritten(const std::string& aRequestId, Outcome& aOutcome);
  void Forget(const std::string& aRequestId);

  Limits limits_;
  std::uint64_t& nextWriteId_;
  std::map<std::string, Outcome> outcomes_;
  std::set<std::pair<Instant, std::string>> retries_;
  std::set<std::pair<Instant, std::string>> expiries_;
  std::size_t unwritten_ = 0;
};

}
