#pragma once

#include "Process/OperatorRoutes.h"
#include "Version/ConfigurationHolder.h"

#include <memory>

namespace cactusrail {

class TableClient;

/**
 * Keeps an entry's configuration up to date with the table service and takes
 * operators' changes to it (GET and PUT /v1/config). Owned by EntryProcess.
 */
class ConfigurationKeeper
{
public:
  ConfigurationKeeper(TableClient& aTable, ConfigurationHolder& aHolder);
  ~ConfigurationKeeper();

  void AddRoutes(OperatorRoutes& aRoutes);

  /** Reads the table now and then every second. */
  void Start();

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
