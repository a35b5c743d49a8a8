#pragma once

#include "Request/RequestStep.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactusrail {

/**
 * Stores the steps that this process recorded of the latest requests, for the
 * explain command. The number of requests is bounded; the oldest request is
 * evicted first. Sharded by request id. Thread-safe.
 */
class Journal
{
public:
  explicit Journal(std::string aHost, std::size_t aMaxRequests);

  /** Adds a step and sets its host name and wall-clock time. */
  void Add(RequestStep aStep);

  /** Returns the number of requests that have steps in the journal. */
  std::size_t Size() const;

  /** Starts to collect new steps for TakeNew(), up to kMaxNew per shard. */
  void CollectNew();

  /** Removes and returns the collected steps from before a wall-clock time in
   * microseconds. */
  std::vector<RequestStep> TakeNew(std::int64_t aBeforeWallMicros);

  /** Returns the number of collected steps that TakeNew() has not returned. */
  std::size_t NewSteps() const;

  std::vector<RequestStep> Recall(std::string_view aRequestId) const;

private:
  struct Shard
  {
    mutable std::mutex mutex_;
    std::unordered_map<std::string, std::vector<RequestStep>> steps_;
    std::deque<std::string> order_;
    std::vector<RequestStep> new_;
  };

  static constexpr std::size_t kShards = 16;
  /** Maximum number of steps per shard that wait for TakeNew(); further steps
   * are not collected. */
  static constexpr std::size_t kMaxNew = 8192;
  /** Maximum number of steps per request; later steps are dropped. */
  static constexpr std::size_t kMaxSteps = 64;

  Shard& ShardOf(std::string_view aRequestId);
  const Shard& ShardOf(std::string_view aRequestId) const;

  std::string host_;
  std::atomic<bool> collectNew_{ false };
  std::size_t maxRequestsPerShard_;
  std::array<Shard, kShards> shards_;
};

}
