#pragma once

#include "Version/Configuration.h"

#include <memory>
#include <mutex>

namespace cactusrail {

/**
 * The configuration in force in this process: the highest version seen. Safe
 * from any thread. A lower version is refused, whoever offers it: a table
 * service that answers from the past or was restored must not revert one.
 */
class ConfigurationHolder
{
public:
  ConfigurationHolder();

  /** Takes the configuration if its version is higher; says if it did. */
  bool Offer(std::shared_ptr<const Configuration> aConfiguration);

  /** Never null: an empty one with version 0 at first. */
  std::shared_ptr<const Configuration> Current() const;

private:
  mutable std::mutex mutex_;
  std::shared_ptr<const Configuration> current_;
};

}
