#pragma once

#include "Request/Verdict.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusrail {

/** Steps that ExplainVerdict looks for. */
constexpr std::string_view kStepDispatched = "dispatched";
constexpr std::string_view kStepGivenUp = "given up";

/**
 * One step in the life of a request or a task, as a process saw it. Explain
 * puts the steps of all processes in order.
 */
struct RequestStep
{
  std::string requestId_;
  /** Wall clock, microseconds since 1970; set by the I/O layer. */
  std::int64_t wallMicros_ = 0;
  /** The process that saw it: "entry/NAME" or "side/NAME". */
  std::string host_;
  /** A word or two: received, claimed, dispatched, started, answered. */
  std::string step_;
  /** What this step alone says of the request; MayHaveRun if nothing. */
  Verdict verdict_ = Verdict::MayHaveRun;
  /** The step decides the verdict, whatever came before it. */
  bool conclusive_ = false;
  std::string detail_;
  /** The attempt that the step is about; empty if about the whole request. */
  std::string attemptId_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    auto verdict = static_cast<std::uint8_t>(verdict_);
    ar(cereal::make_nvp("requestId", requestId_),
       cereal::make_nvp("wallMicros", wallMicros_),
       cereal::make_nvp("host", host_),
       cereal::make_nvp("step", step_),
       cereal::make_nvp("verdict", verdict),
       cereal::make_nvp("conclusive", conclusive_),
       cereal::make_nvp("detail", detail_),
       cereal::make_nvp("attemptId", attemptId_));
    verdict_ = static_cast<Verdict>(verdict);
  }
};

/** A step as a core sees it; host and wall clock are the I/O layer's. */
RequestStep
MakeStep(std::string aRequestId,
         std::string aStep,
         Verdict aVerdict,
         bool aConclusive,
         std::string aDetail,
         std::string aAttemptId);

}
