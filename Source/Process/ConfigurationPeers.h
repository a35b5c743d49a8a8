#pragma once

#include "Connection/WireMessages.h"
#include "Process/EntryDirectory.h"
#include "Version/ConfigurationHolder.h"

#include <functional>
#include <memory>
#include <string>

namespace cactusrail {

/**
 * Exchanges configurations with other entries and with sides. While the table
 * service is down, configurations thus still propagate, and a starting process
 * still gets one. Owned by ConfigurationKeeper.
 */
class ConfigurationPeers
{
public:
  using OnText = std::function<void(const std::string&)>;

  ConfigurationPeers(const ConfigurationHolder& aHolder, OnText aOnText);
  ~ConfigurationPeers();

  /** Sends the configuration to a side that reports a lower version. */
  void OnHeartbeat(const HeartbeatMessage& aHeartbeat);

  /** Requests the configuration from the entries and from some sides that
   * report a higher version. */
  void RequestConfigurations(const std::vector<EntryRecord>& aEntries);

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
