#pragma once

#include "Request/Verdict.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusrail {

/** Longer answers aren't kept for repeats of the key. */
constexpr std::size_t kMaxKeptBodyBytes = 16384;

/**
 * The table's row about one idempotency key of one tenant: who may dispatch,
 * and how that ended. Only the request that it names changes an unfinished
 * record; anybody may replace one that is finished as DidNotRun.
 */
struct ClaimRecord
{
  std::string requestId_;
  /** Of the request's service, method, target and body. */
  std::string fingerprint_;
  bool finished_ = false;
  Verdict verdict_ = Verdict::MayHaveRun;
  /** The upstream's status; 0 if it gave no answer. */
  std::uint16_t status_ = 0;
  std::string contentType_;
  /** Empty if the answer was longer than kMaxKeptBodyBytes. */
  std::string body_;
  /** The whole answer's length. */
  std::uint64_t bodyBytes_ = 0;

  /** Whether the answer is here whole and can be given to a repeat. */
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

/** How a conditional write of a claim record ended. */
enum class ClaimWrite : std::uint8_t
{
  /** It took effect. */
  Applied,
  /** The row was not at the expected revision; see the row. */
  Refused,
  /** It certainly took no effect: the table service was not reached. */
  NotWritten,
  /** It may have taken effect, now or later. */
  Unknown,
};

/** What the table service said to a conditional write of a claim record. */
struct ClaimWriteResult
{
  ClaimWrite outcome_ = ClaimWrite::Unknown;
  /** Of the row as it is now; 0 if there is none. */
  std::uint64_t revision_ = 0;
  /** The row as it is, if the write was refused. */
  ClaimRecord record_;
};

/** What a row means to a request that wants its key. */
enum class ClaimMeaning : std::uint8_t
{
  /** This request's own write, whose answer was lost. */
  Ours,
  /** Nobody runs it and nobody did: may be taken at the row's revision. */
  Free,
  /** Another request with the same key is under way. */
  InProgress,
  /** It ran, and the answer is there. */
  Replay,
  /** It ran, and its answer is not there to be repeated. */
  AnswerNotKept,
  /** Another request with the same key ended in doubt. */
  InDoubt,
  /** The key was used for a different request. */
  OtherRequest,
};

/** Reads a row for the request of that id and fingerprint. */
ClaimMeaning
ReadClaim(const ClaimWriteResult& aRow,
          std::string_view aRequestId,
          std::string_view aFingerprint);

/** A digest that differs if any part of the request does. */
std::string
RequestFingerprint(std::string_view aService,
                   std::string_view aMethod,
                   std::string_view aTarget,
                   std::string_view aBody);

}
