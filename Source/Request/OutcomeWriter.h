#pragma once

#include "Process/Instant.h"
#include "Request/ClaimRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cactusrail {

/** Tell the I/O layer: write a claim record if its row is as expected. */
struct WriteClaim
{
  std::string requestId_;
  /** Comes back with the result. */
  std::uint64_t writeId_ = 0;
  std::string tenant_;
  std::string key_;
  /** 0: there must be no row. */
  std::uint64_t expectedRevision_ = 0;
  ClaimRecord record_;
  Instant deadline_;
  /** An earlier try failed: not to be written together with others. */
  bool alone_ = false;
};

/**
 * Writes down how claimed requests ended, again and again until the table
 * service has it: an outcome that is lost would block its key for good. An
 * outcome in doubt may be amended for a while. Pure; owned by an EntryCore.
 */
class OutcomeWriter
{
public:
  struct Limits
  {
    /** Outcomes kept; beyond it the oldest is let go, its key stays taken. */
    std::size_t maxOutcomes_ = 4096;
    /** Between tries. */
    Millis pause_{ 500 };
    Millis writeTimeout_{ 1000 };
    /** How long it is tried, and how long a doubt may be amended. */
    Millis life_{ 120000 };
  };

  /** The claim of a request that ended. */
  struct Claim
  {
    std::string tenant_;
    std::string key_;
    /** Of the claim's row; what it was before if our write is in doubt. */
    std::uint64_t revision_ = 0;
  };

  OutcomeWriter(const Limits& aLimits, std::uint64_t& aNextWriteId);

  /** A claimed request ended so; returns the first try. */
  WriteClaim Add(const Claim& aClaim, const ClaimRecord& aRecord, Instant aNow);

  /** More became known of an outcome in doubt. */
  std::optional<WriteClaim> Amend(const ClaimRecord& aRecord, Instant aNow);

  /** A try ended; returns the next one if it must follow at once. */
  std::optional<WriteClaim> OnWritten(const std::string& aRequestId,
                                      std::uint64_t aWriteId,
                                      const ClaimWriteResult& aResult,
                                      Instant aNow);

  std::vector<WriteClaim> OnTick(Instant aNow);

  /** Outcomes that the table service does not have yet. */
  std::size_t Unwritten() const;

private:
  struct Outcome
  {
    Claim claim_;
    ClaimRecord record_;
    /** What the try under way wrote. */
    ClaimRecord inFlight_;
    std::uint64_t writeId_ = 0;
    bool written_ = false;
    Instant nextTry_;
    Instant forgetAt_;
  };

  WriteClaim Try(Outcome& aOutcome, Instant aNow);
  void Pause(const std::string& aRequestId, Outcome& aOutcome, Instant aNow);
  void MarkWritten(const std::string& aRequestId, Outcome& aOutcome);
  void Forget(const std::string& aRequestId);

  Limits limits_;
  std::uint64_t& nextWriteId_;
  std::map<std::string, Outcome> outcomes_;
  std::set<std::pair<Instant, std::string>> tries_;
  std::set<std::pair<Instant, std::string>> ages_;
  std::size_t unwritten_ = 0;
};

}
