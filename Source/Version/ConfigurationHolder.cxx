#include "Version/ConfigurationHolder.h"

#include <utility>

namespace cactusrail {

ConfigurationHolder::ConfigurationHolder()
  : current_(std::make_shared<Configuration>())
{
}

bool
ConfigurationHolder::Offer(std::shared_ptr<const Configuration> aConfiguration)
{
  const std::lock_guard lock(mutex_);
  if (aConfiguration->version_ <= current_->version_) {
    return false;
  }
  current_ = std::move(aConfiguration);
  return true;
}

std::shared_ptr<const Configuration>
ConfigurationHolder::Current() const
{
  const std::lock_guard lock(mutex_);
  return current_;
}

}
