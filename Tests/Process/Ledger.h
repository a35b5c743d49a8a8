#pragma once

#include "Process/Instant.h"
#include "Request/Verdict.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** What the caller of one request was told, if it was told anything. */
struct CallRecord
{
  /** Sent along as X-Mark, so that runs are known even if no answer came. */
  std::string mark_;
  bool atMostOnce_ = false;
  bool ended_ = false;
  /** 0 when the connection ended without an answer. */
  int status_ = 0;
  std::string requestId_;
  std::string verdictText_;
  std::string body_;
  /** Why there was no answer, as the HTTP library says it. */
  std::string failure_;
  cactusrail::Instant sentAt_;
  cactusrail::Instant endedAt_;
};

/** Counts over a whole run. */
struct Tally
{
  std::size_t sent_ = 0;
  std::size_t run_ = 0;
  std::size_t answered_ = 0;
  std::size_t notRun_ = 0;
  std::size_t mayHaveRun_ = 0;
  std::size_t unanswered_ = 0;
  std::size_t doubled_ = 0;
  std::size_t falseNotRun_ = 0;
  /** A 200 whose body was served for another request, or not whole. */
  std::size_t wrongBody_ = 0;
};

/**
 * Compares what callers were told with what upstreams truly ran. aRuns counts
 * runs by mark, aRunsById by request id.
 */
Tally
Compare(const std::vector<CallRecord>& aCalls,
        const std::map<std::string, std::size_t>& aRuns,
        const std::map<std::string, std::size_t>& aRunsById);

/**
 * A line for each call that was turned away, cut off or left in doubt: when it
 * was sent, in ms since aSince, how long it took, what its caller was told, and
 * whether it ran. They tell causes apart that the counts don't.
 */
std::string
TroubledText(const std::vector<CallRecord>& aCalls,
             const std::map<std::string, std::size_t>& aRuns,
             cactusrail::Instant aSince);

/** One line for the log of the test run. */
std::string
TallyText(const std::string& aName, const Tally& aTally);
