#include "Version/FleetConfiguration.h"

namespace cactusrail {

const QueueRule*
FleetConfiguration::Match(std::string_view aHost, std::string_view aPath) const
{
  const QueueRule* best = nullptr;
  for (const QueueRule& queue : queues_) {
    if (queue.host_ != aHost || !aPath.starts_with(queue.prefix_)) {
      continue;
    }
    if (best == nullptr || queue.prefix_.size() > best->prefix_.size()) {
      best = &queue;
    }
  }
  return best;
}

const QueueRule*
FleetConfiguration::FindQueue(std::string_view aKey) const
{
  for (const QueueRule& queue : queues_) {
    if (queue.Key() == aKey) {
      return &queue;
    }
  }
  return nullptr;
}

const ServiceRule*
FleetConfiguration::FindService(std::string_view aName) const
{
  for (const ServiceRule& service : services_) {
    if (service.name_ == aName) {
      return &service;
    }
  }
  return nullptr;
}

}
