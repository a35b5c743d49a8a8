#pragma once

#include "Connection/WireMessages.h"
#include "Process/EntryDirectory.h"
#include "Process/OperatorRoutes.h"
#include "Version/ConfigurationHolder.h"
#include "Version/ConfigurationVersion.h"

#include <memory>
#include <string>

namespace cactusrail {

class TableClient;

/**
 * Keeps an entry's configuration up to date and serves operators' requests to
 * read and change it (GET and PUT /v1/config). Performs the I/O for
 * ConfigurationVersion, which makes the decisions. Owned by EntryProcess.
 */
class ConfigurationKeeper
{
public:
  /** aNonceStart is a prefix that is unique for each start of a process. */
  ConfigurationKeeper(TableClient& aTable,
                      ConfigurationHolder& aHolder,
                      const EntryDirectory& aDirectory,
                      std::string aNonceStart);
  ~ConfigurationKeeper();

  void AddRoutes(OperatorRoutes& aRoutes);

  /** Reads the table immediately and then every second. */
  void Start();

  /** Handles the configuration version that a side reports in a heartbeat. */
  void OnHeartbeat(const HeartbeatMessage& aHeartbeat);

  const ConfigurationCounts& Counts() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
