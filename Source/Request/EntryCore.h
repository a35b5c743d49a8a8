#pragma once

#include "Connection/WireMessages.h"
#include "Process/MembershipView.h"
#include "Request/ClaimRecord.h"
#include "Request/Failure.h"
#include "Request/OutcomeWriter.h"
#include "Request/RequestStep.h"
#include "Version/Instant.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cactusrail {

/** A caller's request, validated against the configuration by the I/O layer. */
struct RequestFacts
{
  std::string requestId_;
  std::string tenant_;
  std::string service_;
  /** If false, the request runs at most once: a claim is written before
   * dispatch. */
  bool idempotent_ = false;
  /** The caller's Idempotency-Key; the request's id if it sent none. */
  std::string key_;
  std::string method_;
  std::string target_;
  HeaderList headers_;
  std::string body_;
  Instant deadline_;
};

/** Action: send one attempt to a side. */
struct SendDispatch
{
  std::string sideId_;
  DispatchMessage dispatch_;
};

/** Action: notify a side that an attempt is abandoned. */
struct SendCancel
{
  std::string sideId_;
  CancelMessage cancel_;
};

/** Action: send the final answer to the caller. */
struct AnswerCaller
{
  std::string requestId_;
  Verdict verdict_ = Verdict::MayHaveRun;
  /** HTTP status of the upstream, or of the entry if the upstream gave no
   * answer. */
  int status_ = 0;
  HeaderList headers_;
  std::string body_;
  /** Complete sentence of the entry if the upstream gave no answer. */
  std::string reason_;
  Millis retryAfter_{ 0 };
};

/** Action: store a step for the explain command. */
struct RecordEntryStep
{
  RequestStep step_;
};

using EntryAction = std::
  variant<SendDispatch, SendCancel, AnswerCaller, WriteClaim, RecordEntryStep>;

/**
 * Decision logic of an entry for callers' requests: the destination of each
 * attempt, retries, and the answer to the caller. Performs no I/O: handles
 * events with a time and returns actions. Each lane of an entry owns one; tests
 * drive it on a virtual clock.
 */
class EntryCore
{
public:
  struct Limits
  {
    /** Maximum number of attempts per request, including the first one. */
    std::size_t maxAttempts_ = 3;
    std::size_t maxRequests_ = 4096;
    /** Retry delay that is sent to a refused caller. */
    Millis retryAfter_{ 500 };
    /** Timeout of one claim write. */
    Millis claimTimeout_{ 500 };
    /** Maximum number of claim writes per request. */
    std::size_t maxClaimWrites_ = 4;
    /** Time for which the late answer to an abandoned attempt is accepted. */
    Millis lateAnswerTimeout_{ 60000 };
    /** Seed of the side selection. It differs between lanes, so that they
     * don't all choose the same side. */
    std::uint64_t seed_ = 0;
    /** Data centre of the preferred sides. */
    std::string dataCentre_;
  };

  explicit EntryCore(const Limits& aLimits);
  ~EntryCore();

  /** Handles a heartbeat of a side. */
  MembershipChange OnHeartbeat(const HeartbeatMessage& aHeartbeat,
                               Instant aNow);

  std::vector<EntryAction> OnRequest(const RequestFacts& aRequest,
                                     Instant aNow);

  /** Handles the result of a write of a claim or an outcome. */
  std::vector<EntryAction> OnClaimWritten(const std::string& aRequestId,
                                          std::uint64_t aWriteId,
                                          const ClaimWriteResult& aResult,
                                          Instant aNow);

  /** Handles the answer to an attempt. Only an answer from the side to which
   * the attempt was sent is accepted. */
  std::vector<EntryAction> OnAnswer(const std::string& aSideId,
                                    const AnswerMessage& aAnswer,
                                    Instant aNow);

  /**
   * Handles the end of the connection to a side. Attempts sent over it may have
   * run, unless the connection was never established.
   */
  std::vector<EntryAction> OnSideLost(const std::string& aSideId,
                                      bool aNeverConnected,
                                      Instant aNow);

  std::vector<EntryAction> OnCallerDisconnected(const std::string& aRequestId,
                                                Instant aNow);

  /** Sends the final answer to requests whose deadline passed. */
  std::vector<EntryAction> OnTick(Instant aNow);

  /** Sends the final answer to all requests when the timeout of a planned stop
   * expires. */
  std::vector<EntryAction> OnStopTimeout(Instant aNow);

  /** Number of requests without a final answer. */
  std::size_t InProgress() const;

  /** Number of outcomes that are not stored in the table service yet. */
  std::size_t UnwrittenOutcomes() const;

  /** Sides from which this core has received heartbeats. */
  const MembershipView& Membership() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
