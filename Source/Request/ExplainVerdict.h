#pragma once

#include "Request/RequestStep.h"

#include <span>
#include <string>

namespace cactusrail {

/** Verdict of a request, and the reason derived from its steps. */
struct Explanation
{
  Verdict verdict_ = Verdict::MayHaveRun;
  /** A complete sentence. */
  std::string reason_;
};

/**
 * Derives the verdict of one request from the steps that the processes still
 * store, in any order and possibly incomplete. Returns MayHaveRun if the steps
 * don't determine the verdict.
 */
Explanation
ExplainVerdict(std::span<const RequestStep> aSteps);

}
