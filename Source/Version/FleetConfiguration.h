#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** A queue: the address where callers submit jobs, and the rules for these
 * jobs. */
struct QueueRule
{
  std::string name_;
  /** Value of the callers' Host header. */
  std::string host_;
  /** Path prefix with its trailing slash, as configured by the operator. */
  std::string prefix_;
  /** Service whose workers run the queue's tasks. */
  std::string service_;
  /** 0 is the highest priority and may preempt the others. */
  std::int64_t priority_ = 0;
  /** Number of failed runs of one task after which its job fails. */
  std::int64_t maxAttempts_ = 1;
  /** A job meets its deadline if it takes at most this multiple of its critical
   * path plus latencyObjectiveMs_. */
  double stretch_ = 1;
  /** Added to the stretched critical path, in ms. */
  std::int64_t latencyObjectiveMs_ = 0;
  /** Whether the advice service must allow the workers. */
  bool needsAdvice_ = false;

  /** Returns the key that a job stores to identify its queue. The queue's name
   * is not used because names may be reused. */
  std::string Key() const { return host_ + prefix_; }
};

/** A service: the workers that run the tasks of its queues. */
struct ServiceRule
{
  std::string name_;
  /** Whether its workers refuse tasks that do not fit. Otherwise only the
   * scheduler accounts for capacity. */
  bool enforcesCapacity_ = false;
  /** Whether its machines are powered off until they are moved to another
   * service. */
  bool standby_ = false;
};

/** One version of the operator's configuration of the fleet. */
struct FleetConfiguration
{
  std::int64_t version_ = 0;
  std::vector<QueueRule> queues_;
  std::vector<ServiceRule> services_;
  std::int64_t maxBodyBytes_ = 0;

  /** Returns the queue of a request: same host, longest matching path prefix.
   */
  const QueueRule* Match(std::string_view aHost, std::string_view aPath) const;

  const QueueRule* FindQueue(std::string_view aKey) const;
  const ServiceRule* FindService(std::string_view aName) const;
};

}
