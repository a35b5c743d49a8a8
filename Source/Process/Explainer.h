#pragma once

#include "Process/EntryDirectory.h"
#include "Process/OperatorRoutes.h"

#include <memory>

namespace cactusrail {

class Journal;
class MembershipListener;
class TableClient;

/**
 * Answers what became of one request (GET /v1/explain?id=ID): from this entry's
 * memory, the other entries' (GET /v1/recall?id=ID), that of the sides that are
 * named, and, where a host is gone, from the segments that it left in the
 * object store. Owned by EntryProcess.
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
