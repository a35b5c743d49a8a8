#pragma once

#include "Process/OperatorRoutes.h"
#include "Version/ConfigurationHolder.h"

#include <memory>

namespace cactusrail {

class EntryDirectory;
class Journal;
class Scheduler;
class TableClient;

/**
 * HTTP routes for operators to manage jobs: POST /v1/work applies a verb, GET
 * /v1/jobs lists jobs by selector, GET /v1/jobs/inspect returns one job, GET
 * /v1/cells the reservations of each cell, POST /v1/evict evicts a task, and
 * GET /v1/tasks/explain returns the history of a task. Owned by EntryProcess,
 * used in its thread.
 */
class WorkPages
{
public:
  WorkPages(TableClient& aTable,
            ConfigurationHolder& aConfiguration,
            Scheduler& aScheduler,
            const Journal& aJournal,
            const EntryDirectory& aDirectory);
  ~WorkPages();

  void AddRoutes(OperatorRoutes& aRoutes);

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
