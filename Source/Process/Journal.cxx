#include "Process/Journal.h"

#include "Process/Instant.h"

#include <functional>

namespace cactusrail {

Journal::Journal(std::string aHost, std::size_t aMaxRequests)
  : host_(std::move(aHost))
  , maxRequestsPerShard_(aMaxRequests / kShards + 1)
{
}

Journal::Shard&
Journal::ShardOf(std::string_view aRequestId)
{
  return shards_.at(std::hash<std::string_view>{}(aRequestId) % kShards);
}

const Journal::Shard&
Journal::ShardOf(std::string_view aRequestId) const
{
  return shards_.at(std::hash<std::string_view>{}(aRequestId) % kShards);
}

void
Journal::Add(RequestStep aStep)
{
  aStep.host_ = host_;
  aStep.wallMicros_ = ReadWallClock();
  Shard& shard = ShardOf(aStep.requestId_);
  const std::lock_guard lock(shard.mutex_);
  auto [place, isNew] = shard.steps_.try_emplace(aStep.requestId_);
  if (isNew) {
    shard.order_.push_back(aStep.requestId_);
    if (shard.order_.size() > maxRequestsPerShard_) {
      shard.steps_.erase(shard.order_.front());
      shard.order_.pop_front();
    }
  }
  // A single request can't fill the memory: retries are bounded, but a
  // duplicating network is not.
  if (place->second.size() < kMaxSteps) {
    place->second.push_back(std::move(aStep));
  }
}

std::size_t
Journal::Size() const
{
  std::size_t size = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex_);
    size += shard.steps_.size();
  }
  return size;
}

std::vector<RequestStep>
Journal::Recall(std::string_view aRequestId) const
{
  const Shard& shard = ShardOf(aRequestId);
  const std::lock_guard lock(shard.mutex_);
  const auto found = shard.steps_.find(std::string(aRequestId));
  return found == shard.steps_.end() ? std::vector<RequestStep>()
                                     : found->second;
}

}
