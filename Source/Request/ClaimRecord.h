#pragma once

#include "Request/Verdict.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusrail {

/** Maximum size of a response body that is stored for retries of a key. */
constexpr std::size_t kMaxStoredBodyBytes = 16384;

/**
 * Table row of one idempotency key of one tenant: the request that may be
 * dispatched, and its outcome. Only the request in requestId_ may change an
 * unfinished record; any request may replace a record that is finished with
 * DidNotRun.
 */
struct ClaimRecord
{
  std::string requestId_;
  /** Digest of the request's service, method, target and body. */
  std::string fingerprint_;
  bool finished_ = false;
  Verdict verdict_ = Verdict::MayHaveRun;
  /** HTTP status of the upstream; 0 if it gave no answer. */
  std::uint16_t status_ = 0;
  std::string contentType_;
  /** Empty if the answer was longer than kMaxStoredBodyBytes. */
  std::string body_;
  /** Length of the complete body in bytes. */
  std::uint64_t bodyBytes_ = 0;

  /** Whether the complete answer is stored and can be replayed. */
  bool HasWholeAnswer() const
  {
    return finished_ && verdict_ == Verdict::Ran && status_ != 0 &&
           body_.size() == bodyBytes_;
  }

  bool operator==(const ClaimRecord&) const = default;

  template<class Archive>
  void serialize(Archive& ar)
  {
    auto verdict = static_cast<std::uint8_t>(verdict_);
    ar(cereal::make_nvp("requestId", requestId_),
       cereal::make_nvp("fingerprint", fingerprint_),
       cereal::make_nvp("finished", finished_),
       cereal::make_nvp("verdict", verdict),
       cereal::make_nvp("status", status_),
       cereal::make_nvp("contentType", contentType_),
       cereal::make_nvp("body", body_),
       cereal::make_nvp("bodyBytes", bodyBytes_));
    verdict_ = static_cast<Verdict>(verdict);
  }
};

/** Outcome of a conditional write of a claim record. */
enum class ClaimWrite : std::uint8_t
{
  /** The write was applied. */
  Applied,
  /** The row was not at the expected revision; the result holds the row. */
  Refused,
  /** The write had no effect: the table service was not reached. */
  NotWritten,
  /** The write may have been applied or may still be applied. */
  Unknown,
};

/** Response of the table service to a conditional write of a claim record. */
struct ClaimWriteResult
{
  ClaimWrite outcome_ = ClaimWrite::Unknown;
  /** Current revision of the row; 0 if there is no row. */
  std::uint64_t revision_ = 0;
  /** The current row, if the write was refused. */
  ClaimRecord record_;
};

/** State of a claim row as seen by a request that uses its key. */
enum class ClaimState : std::uint8_t
{
  /** This request wrote the row, and the answer to the write was lost. */
  OwnedByRequest,
  /** No request ran or runs with the key: it may be claimed at the row's
   * revision. */
  Free,
  /** Another request with the same key is in flight. */
  InProgress,
  /** The request ran, and its stored answer can be replayed. */
  Replay,
  /** The request ran, but its complete answer is not stored. */
  AnswerNotStored,
  /** Another request with the same key ended with an unknown outcome. */
  UnknownOutcome,
  /** The key was used for a different request. */
  DifferentRequest,
};

/** Classifies a row for the request with this id and fingerprint. */
ClaimState
ClassifyClaim(const ClaimWriteResult& aRow,
              std::string_view aRequestId,
              std::string_view aFingerprint);

/** Digest of the request; requests that differ in any part differ in it. */
std::string
RequestFingerprint(std::string_view aService,
                   std::string_view aMethod,
                   std::string_view aTarget,
                   std::string_view aBody);

}
