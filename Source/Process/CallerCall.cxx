#include "Process/CallerCall.h"

#include <utility>

namespace cactusrail {

CallerReply
ReplyOf(CallerOutcome aOutcome, std::string aWhy)
{
  CallerReply reply;
  reply.outcome_ = aOutcome;
  reply.why_ = std::move(aWhy);
  return reply;
}

CallerReply
ReplyTryLater(std::string aWhy)
{
  return ReplyOf(CallerOutcome::TryLater, std::move(aWhy));
}

CallerReply
ReplyState(JobState aState)
{
  CallerReply reply = ReplyOf(CallerOutcome::State);
  reply.state_ = aState;
  return reply;
}

Verdict
VerdictOf(CallerOutcome aOutcome)
{
  switch (aOutcome) {
    case CallerOutcome::Stored:
    case CallerOutcome::State:
    case CallerOutcome::Waiting:
      return Verdict::Ran;
    case CallerOutcome::OutcomeUnknown:
      return Verdict::MayHaveRun;
    case CallerOutcome::NoSuchJob:
    case CallerOutcome::NoSuchQueue:
    case CallerOutcome::BadRequest:
    case CallerOutcome::TryLater:
    case CallerOutcome::Rejected:
      return Verdict::DidNotRun;
  }
  return Verdict::MayHaveRun;
}

}
