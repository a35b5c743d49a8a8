#pragma once

#include "Connection/GuardedSocket.h"
#include "Connection/WireMessages.h"
#include "Process/Instant.h"
#include "Process/Metrics.h"

#include <string>
#include <unordered_map>

namespace cactusrail {

struct ServiceConfig;

/** The class under which a service's requests are measured: its label "class",
 * or "urgent". */
std::string
ClassOf(const ServiceConfig& aService);

/** The class that labels name; "urgent" if they name none. */
std::string
ClassOf(const Labels& aLabels);

/**
 * Measures the requests of one lane, or the attempts of a side, and hands the
 * results to the process's metrics. Owned by the lane, used in its thread.
 */
class RequestMeter
{
public:
  explicit RequestMeter(Metrics& aMetrics);

  void Begin(const std::string& aRequestId,
             const std::string& aTenant,
             const std::string& aClass,
             Instant aNow);

  /** A side ended an attempt of what was begun under that id. */
  void Attempt(const std::string& aId, const AnswerMessage& aAnswer);

  /** The request has its final answer, or nobody to give it to. */
  void End(const std::string& aRequestId, Verdict aVerdict, Instant aNow);

  /** Adds what a guard has counted since the last time. */
  void Publish(const HttpGuardCounts& aCounts);

private:
  struct Open
  {
    std::string tenant_;
    std::string class_;
    Instant begun_;
    std::size_t attempts_ = 0;
  };

  Metrics& metrics_;
  std::unordered_map<std::string, Open> open_;
  HttpGuardCounts published_;
};

}
