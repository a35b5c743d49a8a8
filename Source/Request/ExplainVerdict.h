#pragma once

#include "Request/RequestStep.h"

#include <span>
#include <string>

namespace cactusrail {

/** What the steps say of a request, and from which of them it follows. */
struct Explanation
{
  Verdict verdict_ = Verdict::MayHaveRun;
  /** A whole sentence. */
  std::string reason_;
};

/**
 * The verdict of one request from the steps that its processes still know, in
 * any order, some perhaps missing. Never a guess: what the steps don't settle
 * may have run.
 */
Explanation
ExplainVerdict(std::span<const RequestStep> aSteps);

}
