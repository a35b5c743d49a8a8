#pragma once

#include "Request/Verdict.h"
#include "Version/Instant.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** Records one request and the answer that its caller received, if any. */
struct CallRecord
{
  /** Sent as X-Mark, which identifies runs even without an answer. */
  std::string mark_;
  bool atMostOnce_ = false;
  bool ended_ = false;
  /** HTTP status, or 0 if the connection ended without an answer. */
  int status_ = 0;
  std::string requestId_;
  std::string verdictText_;
  std::string body_;
  /** Reason for a missing answer, as reported by the HTTP library. */
  std::string failure_;
  cactusrail::Instant sentAt_;
  cactusrail::Instant endedAt_;
};

/** Counts the outcomes of all requests of a test run. */
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
  /** Answers 200 with a body of another request or an incomplete body. */
  std::size_t wrongBody_ = 0;
};

/**
 * Compares the verdicts that callers received with the requests that upstreams
 * ran. aRuns counts runs by mark, aRunsById by request id.
 */
Tally
Compare(const std::vector<CallRecord>& aCalls,
        const std::map<std::string, std::size_t>& aRuns,
        const std::map<std::string, std::size_t>& aRunsById);

/**
 * Returns a line for each call that was refused, disconnected or ended with an
 * unknown outcome: the time when it was sent, in ms since aSince, its duration,
 * the answer that its caller received, and whether it ran. The lines
 * distinguish causes that the counts don't.
 */
std::string
FailedCallsText(const std::vector<CallRecord>& aCalls,
                const std::map<std::string, std::size_t>& aRuns,
                cactusrail::Instant aSince);

/** Returns one line with the counts for the log of the test run. */
std::string
TallyText(const std::string& aName, const Tally& aTally);
