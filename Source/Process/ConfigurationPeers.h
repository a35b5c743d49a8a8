#pragma once

#include "Connection/WireMessages.h"
#include "Process/EntryDirectory.h"
#include "Version/ConfigurationHolder.h"

#include <functional>
#include <memory>
#include <string>

namespace cactusrail {

/**
 * Exchanges configurations with other entries and with sides, so that they
 * spread, and a process that starts finds them, while the table service is
 * down. Owned by ConfigurationKeeper.
 */
class ConfigurationPeers
{
public:
  using OnText = std::function<void(const std::string&)>;

  ConfigurationPeers(const ConfigurationHolder& aHolder, OnText aOnText);
  ~ConfigurationPeers();

  /** Sends the configuration to a side that holds a lower version. */
  void OnHeartbeat(const HeartbeatMessage& aHeartbeat);

  /** Asks the entries, and some sides that hold a higher version. */
  void Ask(const std::vector<EntryRecord>& aEntries);

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
