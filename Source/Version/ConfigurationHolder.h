#pragma once

#include "Version/Configuration.h"

#include <memory>
#include <mutex>

namespace cactusrail {

/**
 * Holds the configuration in force in this process: the highest version
 * received. Thread-safe. A lower version is refused whatever its source, so
 * that a table service that returns stale data or was restored from a backup
 * cannot revert the configuration.
 */
class ConfigurationHolder
{
public:
  ConfigurationHolder();

  /** Installs the configuration if its version is higher than the current
   * one. Returns whether it was installed. */
  bool Offer(std::shared_ptr<const Configuration> aConfiguration);

  /** Returns the configuration in force. Never null; initially an empty
   * configuration with version 0. */
  std::shared_ptr<const Configuration> Current() const;

private:
  mutable std::mutex mutex_;
  std::shared_ptr<const Configuration> current_;
};

}
