#include "Request/ExplainVerdict.h"

#include <set>

namespace cactusrail {

namespace {

/** Steps of one request that determine its verdict. */
struct Evidence
{
  const RequestStep* ran_ = nullptr;
  const RequestStep* concluded_ = nullptr;
  bool ended_ = false;
  std::set<std::string> dispatched_;
  std::set<std::string> refused_;

  void Add(const RequestStep& aStep)
  {
    if (aStep.verdict_ == Verdict::Ran) {
      ran_ = &aStep;
    }
    if (aStep.conclusive_ && aStep.verdict_ == Verdict::DidNotRun) {
      concluded_ = &aStep;
    }
    if (aStep.step_ == kStepGivenUp) {
      ended_ = true;
    }
    if (aStep.attemptId_.empty()) {
      return;
    }
    if (aStep.step_ == kStepDispatched) {
      dispatched_.insert(aStep.attemptId_);
    } else if (aStep.verdict_ == Verdict::DidNotRun) {
      refused_.insert(aStep.attemptId_);
    }
  }
};

}

Explanation
ExplainVerdict(std::span<const RequestStep> aSteps)
{
  Evidence evidence;
  for (const RequestStep& step : aSteps) {
    evidence.Add(step);
  }
  if (evidence.ran_ != nullptr) {
    return { Verdict::Ran, evidence.ran_->host_ + " saw it run." };
  }
  if (evidence.concluded_ != nullptr) {
    return { Verdict::DidNotRun,
             evidence.concluded_->host_ + " ended it without running it." };
  }
  // An entry that has not finished the request may dispatch again, and one that
  // was killed may have dispatched an attempt without a stored step.
  if (!evidence.ended_) {
    return { Verdict::MayHaveRun,
             "The entry that took it has not ended it, or is gone." };
  }
  for (const std::string& attempt : evidence.dispatched_) {
    if (!evidence.refused_.contains(attempt)) {
      return { Verdict::MayHaveRun,
               "Attempt " + attempt + " was sent and its end is not known." };
    }
  }
  return { Verdict::DidNotRun, "Every attempt that was sent was refused." };
}

}
