#pragma once

#include "Process/EntryDirectory.h"
#include "Process/OperatorRoutes.h"

#include <memory>

namespace cactusrail {

class Journal;
class MembershipListener;
class TableClient;

/**
 * Returns the steps of one request (GET /v1/explain?id=ID). Collects the steps
 * from the memory of this entry, of the other entries (GET /v1/recall?id=ID)
 * and of the sides that the steps name; if they name none, of any sides, up to
 * a limit. For a host that is gone, reads the segments that the host wrote to
 * the object store. Owned by EntryProcess.
 */
class Explainer
{
public:
  Explainer(const Journal& aJournal,
            const MembershipListener& aMembership,
            const EntryDirectory& aDirectory,
            TableClient& aStore);
  ~Explainer();

  void AddRoutes(OperatorRoutes& aRoutes);

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
