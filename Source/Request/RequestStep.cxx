#include "Request/RequestStep.h"

#include <utility>

namespace cactusrail {

RequestStep
MakeStep(std::string aRequestId,
         std::string aStep,
         Verdict aVerdict,
         bool aConclusive,
         std::string aDetail,
         std::string aAttemptId)
{
  RequestStep step;
  step.requestId_ = std::move(aRequestId);
  step.step_ = std::move(aStep);
  step.verdict_ = aVerdict;
  step.conclusive_ = aConclusive;
  step.detail_ = std::move(aDetail);
  step.attemptId_ = std::move(aAttemptId);
  return step;
}

}
