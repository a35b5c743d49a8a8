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
 * The steps that this process saw of the latest requests, for explain. Bounded:
 * the oldest request goes first. Sharded by request; safe from any thread.
 */
class Journal
{
public:
  explicit Journal(std::string aHost, std::size_t aMaxRequests);

  /** Adds a step, stamped with this host's name and wall clock. */
  void Add(RequestStep aStep);

  /** How many requests it holds steps of. */
  std::size_t Size() const;

  /** From now on steps are kept for TakeNew(), within a bound. */
  void KeepNew();

  /** The steps from before a wall-clock time that were not taken yet. */
  std::vector<RequestStep> TakeNew(std::int64_t aBeforeWallMicros);

  /** Steps that were not taken yet. */
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
  /** Steps of a shard that wait for TakeNew(); the rest are not kept. */
  static constexpr std::size_t kMaxNew = 8192;
  /** A request's later steps beyond this are dropped. */
  static constexpr std::size_t kMaxSteps = 64;

  Shard& ShardOf(std::string_view aRequestId);
  const Shard& ShardOf(std::string_view aRequestId) const;

  std::string host_;
  std::atomic<bool> keepNew_{ false };
  std::size_t maxRequestsPerShard_;
  std::array<Shard, kShards> shards_;
};

}
