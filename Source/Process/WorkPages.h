#pragma once

#include "Process/OperatorRoutes.h"
#include "Version/ConfigurationHolder.h"

#include <memory>

namespace cactusrail {

class Scheduler;
class TableClient;

/**
 * Operators' pages on work: POST /v1/work takes a verb, GET /v1/jobs lists by
 * selector, GET /v1/jobs/inspect shows one job, GET /v1/cells what is reserved
 * where. Owned by EntryProcess, used in its thread.
 */
class WorkPages
{
public:
  WorkPages(TableClient& aTable,
            ConfigurationHolder& aConfiguration,
            Scheduler& aScheduler);
  ~WorkPages();

  void AddRoutes(OperatorRoutes& aRoutes);

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
