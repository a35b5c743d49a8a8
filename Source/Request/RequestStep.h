#pragma once

#include "Request/Verdict.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusrail {

/** Names of the steps that ExplainVerdict evaluates. */
constexpr std::string_view kStepDispatched = "dispatched";
constexpr std::string_view kStepGivenUp = "given up";

/**
 * One step in the processing of a request or a task, as recorded by a process.
 * The explain command merges the steps of all processes in order.
 */
struct RequestStep
{
  std::string requestId_;
  /** Wall-clock time in microseconds since 1970; set by the I/O layer. */
  std::int64_t wallMicros_ = 0;
  /** The process that recorded the step: "entry/NAME" or "side/NAME". */
  std::string host_;
  /** Name of the step: received, claimed, dispatched, started, answered. */
  std::string step_;
  /** Verdict that follows from this step alone; MayHaveRun if none does. */
  Verdict verdict_ = Verdict::MayHaveRun;
  /** Whether the step determines the verdict regardless of earlier steps. */
  bool conclusive_ = false;
  std::string detail_;
  /** Attempt of the step; empty if the step concerns the whole request. */
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

/** Creates a step; the I/O layer sets the host and the wall-clock time. */
RequestStep
MakeStep(std::string aRequestId,
         std::string aStep,
         Verdict aVerdict,
         bool aConclusive,
         std::string aDetail,
         std::string aAttemptId);

}
