#include "Process/Journal.h"

#include "Version/Instant.h"

#include <algorithm>
#include <functional>
#include <iterator>

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
  Shard& shard = ShardOf(aStep.requestId_);
  const std::lock_guard lock(shard.mutex_);
  // Read the clock under the lock: after TakeNew(time), no step from before
  // that time can be added.
  aStep.wallMicros_ = ReadWallClock();
  if (collectNew_ && shard.new_.size() < kMaxNew) {
    shard.new_.push_back(aStep);
  }
  auto [place, isNew] = shard.steps_.try_emplace(aStep.requestId_);
  if (isNew) {
    shard.order_.push_back(aStep.requestId_);
    if (shard.order_.size() > maxRequestsPerShard_) {
      shard.steps_.erase(shard.order_.front());
      shard.order_.pop_front();
    }
  }
  // Limit the memory of one request: retries are bounded, but duplicates from
  // the network are not.
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

void
Journal::CollectNew()
{
  collectNew_ = true;
}

std::vector<RequestStep>
Journal::TakeNew(std::int64_t aBeforeWallMicros)
{
  std::vector<RequestStep> taken;
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex_);
    const auto end =
      std::partition_point(shard.new_.begin(),
                           shard.new_.end(),
                           [aBeforeWallMicros](const RequestStep& aStep) {
                             return aStep.wallMicros_ < aBeforeWallMicros;
                           });
    std::move(shard.new_.begin(), end, std::back_inserter(taken));
    shard.new_.erase(shard.new_.begin(), end);
  }
  return taken;
}

std::size_t
Journal::NewSteps() const
{
  std::size_t steps = 0;
  for (const Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex_);
    steps += shard.new_.size();
  }
  return steps;
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
