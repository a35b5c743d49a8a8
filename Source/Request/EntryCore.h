#pragma once

#include "Connection/WireMessages.h"
#include "Process/Instant.h"
#include "Process/MembershipView.h"
#include "Request/ClaimRecord.h"
#include "Request/Failure.h"
#include "Request/OutcomeWriter.h"
#include "Request/RequestStep.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cactusrail {

/** A caller's request, checked against the configuration by the I/O layer. */
struct RequestFacts
{
  std::string requestId_;
  std::string tenant_;
  std::string service_;
  /** If false, it runs at most once: a claim is written before dispatch. */
  bool idempotent_ = false;
  /** The caller's Idempotency-Key; the request's id if it sent none. */
  std::string key_;
  std::string method_;
  std::string target_;
  HeaderList headers_;
  std::string body_;
  Instant deadline_;
};

/** Tell the I/O layer: send one attempt to a side. */
struct SendDispatch
{
  std::string sideId_;
  DispatchMessage dispatch_;
};

/** Tell the I/O layer: tell a side that nobody waits for an attempt. */
struct SendCancel
{
  std::string sideId_;
  CancelMessage cancel_;
};

/** Tell the I/O layer: answer the caller, now and for good. */
struct AnswerCaller
{
  std::string requestId_;
  Verdict verdict_ = Verdict::MayHaveRun;
  /** The upstream's status, or one of ours if there is no answer of its own. */
  int status_ = 0;
  HeaderList headers_;
  std::string body_;
  /** Ours, if the upstream gave no answer: a whole sentence. */
  std::string reason_;
  Millis retryAfter_{ 0 };
};

/** Tell the I/O layer: remember a step for explain. */
struct RecordEntryStep
{
  RequestStep step_;
};

using EntryAction = std::
  variant<SendDispatch, SendCancel, AnswerCaller, WriteClaim, RecordEntryStep>;

/**
 * What an entry decides about callers' requests: where an attempt goes, when
 * another follows, and what the caller is told. Pure: events and a time in,
 * actions out. Each lane of an entry owns one; tests drive it on a virtual
 * clock.
 */
class EntryCore
{
public:
  struct Limits
  {
    /** Attempts that one request may take, the first included. */
    std::size_t maxAttempts_ = 3;
    std::size_t maxRequests_ = 4096;
    /** What a refused caller is told to wait. */
    Millis retryAfter_{ 500 };
    /** One write of a claim may take so long. */
    Millis claimTimeout_{ 500 };
    /** Writes of a claim that one request may try. */
    std::size_t maxClaimWrites_ = 4;
    /** How long the answer to a given-up attempt is still of use. */
    Millis lateAnswers_{ 60000 };
    /** For drawing sides; another in each lane, so that they don't herd. */
    std::uint64_t seed_ = 0;
    /** Sides in this data centre are preferred. */
    std::string dataCentre_;
  };

  explicit EntryCore(const Limits& aLimits);
  ~EntryCore();

  /** A side was heard. */
  MembershipChange OnHeartbeat(const HeartbeatMessage& aHeartbeat,
                               Instant aNow);

  std::vector<EntryAction> OnRequest(const RequestFacts& aRequest,
                                     Instant aNow);

  /** A write of a claim or an outcome ended. */
  std::vector<EntryAction> OnClaimWritten(const std::string& aRequestId,
                                          std::uint64_t aWriteId,
                                          const ClaimWriteResult& aResult,
                                          Instant aNow);

  /** A side ended an attempt. The side must be the one it was sent to. */
  std::vector<EntryAction> OnAnswer(const std::string& aSideId,
                                    const AnswerMessage& aAnswer,
                                    Instant aNow);

  /**
   * The connection to a side ended. Attempts on it may have run, unless the
   * connection never stood.
   */
  std::vector<EntryAction> OnSideLost(const std::string& aSideId,
                                      bool aNeverConnected,
                                      Instant aNow);

  std::vector<EntryAction> OnCallerGone(const std::string& aRequestId,
                                        Instant aNow);

  /** Time passed: requests beyond their deadline get their final answer. */
  std::vector<EntryAction> OnTick(Instant aNow);

  /** A planned stop reached its bound: all get their final answer now. */
  std::vector<EntryAction> OnStopBound(Instant aNow);

  /** Requests that have no final answer yet. */
  std::size_t InProgress() const;

  /** Outcomes that the table service does not have yet. */
  std::size_t UnwrittenOutcomes() const;

  /** The sides that this core has heard of. */
  const MembershipView& Membership() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
