#pragma once

#include "Request/Verdict.h"
#include "Version/Instant.h"
#include "Version/JobDescription.h"
#include "Version/JobProgress.h"

#include <cstdint>
#include <string>
#include <variant>

namespace cactusrail {

/** Request to submit a job. */
struct SubmitJob
{
  JobDescription spec_;
};

/** Request for the state of a job. */
struct GetJobState
{
  std::string job_;
};

struct CancelJob
{
  std::string job_;
};

/** Request for the number of jobs of a queue that wait for their first start.
 */
struct GetWaitingCount
{
  std::string queue_;
};

/** Reasons for refusing a request immediately. */
enum class CallerRefusal : std::uint8_t
{
  /** The configuration has no queue for the job. */
  NoSuchQueue,
  BadRequest,
  /** This entry has no configuration yet. */
  NotReady,
};

struct RefuseCall
{
  CallerRefusal refusal_ = CallerRefusal::BadRequest;
  /** Message for the caller, as a whole sentence. */
  std::string why_;
};

/** Decoded request of a caller. */
struct CallerCall
{
  /** Time after which the caller no longer waits for a reply. */
  Instant deadline_;
  std::variant<RefuseCall, SubmitJob, GetJobState, CancelJob, GetWaitingCount>
    what_;
};

/** Outcome of a caller's request. */
enum class CallerOutcome : std::uint8_t
{
  /** The job, or its cancellation, is stored. */
  Stored,
  State,
  Waiting,
  NoSuchJob,
  NoSuchQueue,
  BadRequest,
  /** The request had no effect; the caller may retry later. */
  TryLater,
  /** The request had no effect, because the job cannot be completed while its
   * result is useful; the caller may retry later. */
  Rejected,
  /** Unknown outcome: the request may have taken effect. */
  OutcomeUnknown,
};

struct CallerReply
{
  CallerOutcome outcome_ = CallerOutcome::TryLater;
  JobState state_ = JobState::Pending;
  std::uint64_t waiting_ = 0;
  std::string why_;
  /** Delay before a retry, for TryLater and Rejected. */
  Millis retryAfter_{ 1000 };
};

/** Makes a reply with an outcome and a message, as a whole sentence. */
CallerReply
ReplyOf(CallerOutcome aOutcome, std::string aWhy = {});

/** Makes a TryLater reply: the request had no effect, and the caller may retry
 * after retryAfter_. */
CallerReply
ReplyTryLater(std::string aWhy);

CallerReply
ReplyState(JobState aState);

/** Returns whether a caller's request may have taken effect. */
Verdict
VerdictOf(CallerOutcome aOutcome);

}
