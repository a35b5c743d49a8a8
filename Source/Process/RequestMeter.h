#pragma once

#include "Connection/GuardedSocket.h"
#include "Connection/WireMessages.h"
#include "Process/Metrics.h"
#include "Version/Instant.h"

#include <string>
#include <unordered_map>

namespace cactusrail {

struct ServiceConfig;

/** Returns the class of a service's requests in the metrics: the service's
 * label "class", or "urgent" by default. */
std::string
ClassOf(const ServiceConfig& aService);

/** Returns the value of the label "class", or "urgent" by default. */
std::string
ClassOf(const Labels& aLabels);

/**
 * Measures the requests of one lane, or the attempts of a side, and adds the
 * results to the process's metrics. Owned by the lane and used in its thread.
 */
class RequestMeter
{
public:
  explicit RequestMeter(Metrics& aMetrics);

  void Begin(const std::string& aRequestId,
             const std::string& aTenant,
             const std::string& aClass,
             Instant aNow);

  /** Records an attempt that a side ended for the request with this id. */
  void Attempt(const std::string& aId, const AnswerMessage& aAnswer);

  /** Records a request that has its final answer or whose caller is gone. */
  void End(const std::string& aRequestId, Verdict aVerdict, Instant aNow);

  /** Adds the increase of a guard's counts since the previous call. */
  void Publish(const HttpGuardCounts& aCounts);

private:
  struct OpenRequest
  {
    std::string tenant_;
    std::string class_;
    Instant begun_;
    std::size_t attempts_ = 0;
  };

  Metrics& metrics_;
  std::unordered_map<std::string, OpenRequest> openRequests_;
  HttpGuardCounts published_;
};

}
