#pragma once

#include "Process/Instant.h"
#include "Request/Verdict.h"
#include "Version/JobDescription.h"
#include "Version/JobProgress.h"

#include <cstdint>
#include <string>
#include <variant>

namespace cactusrail {

/** A caller hands a job in. */
struct SubmitJob
{
  JobDescription spec_;
};

/** A caller asks what became of a job. */
struct AskJobState
{
  std::string job_;
};

struct CancelJob
{
  std::string job_;
};

/** A caller asks how many jobs of a queue wait for their first start. */
struct AskWaiting
{
  std::string queue_;
};

/** What can be answered at once. */
enum class CallerRefusal : std::uint8_t
{
  /** No queue of the configuration takes it. */
  NoSuchQueue,
  BadRequest,
  /** This entry has no configuration yet. */
  NotReady,
};

struct RefuseCall
{
  CallerRefusal refusal_ = CallerRefusal::BadRequest;
  /** A whole sentence for the caller. */
  std::string why_;
};

/** One request of a caller, decoded. */
struct CallerCall
{
  /** The caller waits no longer than this. */
  Instant deadline_;
  std::variant<RefuseCall, SubmitJob, AskJobState, CancelJob, AskWaiting> what_;
};

/** How a caller's request ended. */
enum class CallerOutcome : std::uint8_t
{
  /** The job, or its cancellation, is stored. */
  Stored,
  State,
  Waiting,
  NoSuchJob,
  NoSuchQueue,
  BadRequest,
  /** Surely not done; the caller may come back later. */
  TryLater,
  /** It may have been done. */
  InDoubt,
};

struct CallerReply
{
  CallerOutcome outcome_ = CallerOutcome::TryLater;
  JobState state_ = JobState::Pending;
  std::uint64_t waiting_ = 0;
  std::string why_;
  /** For TryLater: when to come back. */
  Millis retryAfter_{ 1000 };
};

/** A reply that is its outcome, with a whole sentence for the caller. */
CallerReply
ReplyOf(CallerOutcome aOutcome, std::string aWhy = {});

/** Surely not done; come back when the reply says. */
CallerReply
ReplyTryLater(std::string aWhy);

CallerReply
ReplyState(JobState aState);

/** Whether what a caller asked for may have been done. */
Verdict
VerdictOf(CallerOutcome aOutcome);

}
