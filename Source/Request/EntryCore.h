#pragma once

#include "Connection/WireMessages.h"
#include "Process/Instant.h"
#include "Process/MembershipView.h"
#include "Request/Failure.h"
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

/** How writing a claim ended. */
enum class ClaimOutcome : std::uint8_t
{
  /** The claim is ours: nobody else dispatches this key, ever. */
  Ours,
  /** Somebody else claimed the key before. */
  Taken,
  /** The table service did not take it, or its answer can't be had. */
  Unknown,
};

/** What the table holds about a key that somebody claimed before. */
struct ClaimRecord
{
  std::string requestId_;
  bool finished_ = false;
  Verdict verdict_ = Verdict::MayHaveRun;
  std::uint16_t status_ = 0;
  std::string contentType_;
  std::string body_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    auto verdict = static_cast<std::uint8_t>(verdict_);
    ar(cereal::make_nvp("requestId", requestId_),
       cereal::make_nvp("finished", finished_),
       cereal::make_nvp("verdict", verdict),
       cereal::make_nvp("status", status_),
       cereal::make_nvp("contentType", contentType_),
       cereal::make_nvp("body", body_));
    verdict_ = static_cast<Verdict>(verdict);
  }
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

/** Tell the I/O layer: write the claim for a key unless there is one. */
struct WriteClaim
{
  std::string requestId_;
  std::string tenant_;
  std::string key_;
  Instant deadline_;
};

/** Tell the I/O layer: write down how a claimed request ended. */
struct WriteOutcome
{
  std::string tenant_;
  std::string key_;
  ClaimRecord record_;
};

/** Tell the I/O layer: remember a step for explain. */
struct RecordEntryStep
{
  RequestStep step_;
};

using EntryAction = std::variant<SendDispatch,
                                 SendCancel,
                                 AnswerCaller,
                                 WriteClaim,
                                 WriteOutcome,
                                 RecordEntryStep>;

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

  /** The claim of a request that waited for it; the record if it was taken. */
  std::vector<EntryAction> OnClaim(const std::string& aRequestId,
                                   ClaimOutcome aOutcome,
                                   const ClaimRecord& aRecord,
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

  /** Requests that have no final answer yet. */
  std::size_t InProgress() const;

  /** A planned stop's bound has come: every request gets its answer now. */
  std::vector<EntryAction> OnStopBound();

  /** The sides that this core has heard of. */
  const MembershipView& Membership() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
