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
 * Keeps an entry's configuration up to date and takes operators' changes to it
 * (GET and PUT /v1/config): the input and output of ConfigurationVersion,
 * which decides. Owned by EntryProcess.
 */
class ConfigurationKeeper
{
public:
  /** aNonceStart is unique to this process's start. */
  ConfigurationKeeper(TableClient& aTable,
                      ConfigurationHolder& aHolder,
                      const EntryDirectory& aDirectory,
                      std::string aNonceStart);
  ~ConfigurationKeeper();

  void AddRoutes(OperatorRoutes& aRoutes);

  /** Reads the table now and then every second. */
  void Start();

  /** Heartbeats name the version that their side holds. */
  void OnHeartbeat(const HeartbeatMessage& aHeartbeat);

  const ConfigurationCounts& Counts() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
