#include "Process/RequestMeter.h"

#include "Connection/WireMessages.h"
#include "Version/Configuration.h"

#include <algorithm>

namespace cactusrail {

namespace {

constexpr const char* kClassLabel = "class";
constexpr const char* kDefaultClass = "urgent";

}

std::string
ClassOf(const ServiceConfig& aService)
{
  return ClassOf(aService.labels_);
}

std::string
ClassOf(const Labels& aLabels)
{
  const auto found =
    std::find_if(aLabels.begin(), aLabels.end(), [](const auto& aLabel) {
      return aLabel.first == kClassLabel;
    });
  return found == aLabels.end() ? kDefaultClass : found->second;
}

RequestMeter::RequestMeter(Metrics& aMetrics)
  : metrics_(aMetrics)
{
}

void
RequestMeter::Begin(const std::string& aRequestId,
                    const std::string& aTenant,
                    const std::string& aClass,
                    Instant aNow)
{
  openRequests_[aRequestId] = OpenRequest{ aTenant, aClass, aNow, 0 };
}

void
RequestMeter::Attempt(const std::string& aId, const AnswerMessage& aAnswer)
{
  const auto found = openRequests_.find(aId);
  if (found == openRequests_.end()) {
    return;
  }
  OpenRequest& open = found->second;
  if (++open.attempts_ > 1) {
    metrics_.Count(Counter::Retries);
  }
  metrics_.AttemptEnded(
    open.tenant_,
    open.class_,
    Micros(static_cast<Micros::rep>(aAnswer.queuedMicros_)),
    Micros(static_cast<Micros::rep>(aAnswer.servedMicros_)));
}

void
RequestMeter::End(const std::string& aRequestId, Verdict aVerdict, Instant aNow)
{
  const auto found = openRequests_.find(aRequestId);
  if (found == openRequests_.end()) {
    return;
  }
  const OpenRequest& open = found->second;
  if (aVerdict == Verdict::DidNotRun) {
    metrics_.Count(Counter::Refusals);
  }
  metrics_.RequestEnded(
    open.tenant_, open.class_, aVerdict, aNow - open.begun_);
  openRequests_.erase(found);
}

void
RequestMeter::Publish(const HttpGuardCounts& aCounts)
{
  metrics_.Count(Counter::HeadsTooLarge,
                 aCounts.headTooLarge_ - published_.headTooLarge_);
  metrics_.Count(Counter::BodiesTooLarge,
                 aCounts.bodyTooLarge_ - published_.bodyTooLarge_);
  metrics_.Count(Counter::RequestsMalformed,
                 aCounts.malformed_ - published_.malformed_);
  metrics_.Count(Counter::RequestsTooSlow,
                 aCounts.timedOutRequests_ - published_.timedOutRequests_);
  metrics_.Count(Counter::CallersGone,
                 aCounts.callersDisconnected_ -
                   published_.callersDisconnected_);
  published_ = aCounts;
}

}
