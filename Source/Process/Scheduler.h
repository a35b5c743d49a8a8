#pragma once

#include "Process/SchedulerCore.h"
#include "Version/ConfigurationHolder.h"

#include <functional>
#include <memory>
#include <string>

namespace cactusrail {

class Journal;
class TableClient;

/**
 * Runs a SchedulerCore in an entry and performs its actions: timers, table
 * transactions and worker calls. Owned by EntryProcess, used in its thread.
 */
class Scheduler
{
public:
  Scheduler(EntryIdentity aSelf,
            TableClient& aTable,
            ConfigurationHolder& aConfiguration,
            Journal& aJournal,
            std::unique_ptr<PlacementChooser> aChooser);
  ~Scheduler();

  void Start();

  /** Starts handing over the owned cells; running tasks continue. */
  void HandOver();
  bool IsHandedOver() const;

  SchedulerCore& Core();

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
