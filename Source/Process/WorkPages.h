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
 * Operators' pages on work: POST /v1/work takes a verb, GET /v1/jobs lists by
 * selector, GET /v1/jobs/inspect shows one job, GET /v1/cells what is reserved
 * where, GET /v1/tasks/explain what became of a task. Owned by EntryProcess,
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
