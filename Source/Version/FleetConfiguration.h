#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** A queue: where callers hand jobs in, and how its jobs are treated. */
struct QueueRule
{
  std::string name_;
  /** Callers' Host header. */
  std::string host_;
  /** With its closing slash, as the operator wrote it. */
  std::string prefix_;
  /** The service whose workers run its tasks. */
  std::string service_;
  /** 0 goes first and may preempt the others. */
  std::int64_t priority_ = 0;
  /** Failed runs of one task after which its job has failed. */
  std::int64_t maxAttempts_ = 1;
  /** A job is in time if it took so many times its longest chain of work... */
  double stretch_ = 1;
  /** ...and so many ms more. */
  std::int64_t latencyObjectiveMs_ = 0;
  /** Workers must be allowed by the advice service. */
  bool needsAdvice_ = false;

  /** What a job remembers of its queue; names may be given anew. */
  std::string Key() const { return host_ + prefix_; }
};

/** A service: the workers that run tasks of its queues. */
struct ServiceRule
{
  std::string name_;
  /** Its workers refuse what does not fit; otherwise only we count. */
  bool enforcesCapacity_ = false;
  /** Its machines are off until they are moved elsewhere. */
  bool standby_ = false;
};

/** One version of what the operator configured. */
struct FleetConfiguration
{
  std::int64_t version_ = 0;
  std::vector<QueueRule> queues_;
  std::vector<ServiceRule> services_;
  std::int64_t maxBodyBytes_ = 0;

  /** The queue of a request: its host, and the longest prefix of its path. */
  const QueueRule* Match(std::string_view aHost, std::string_view aPath) const;

  const QueueRule* FindQueue(std::string_view aKey) const;
  const ServiceRule* FindService(std::string_view aName) const;
};

}
