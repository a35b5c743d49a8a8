#pragma once

#include "Process/OperatorRoutes.h"

#include <memory>

namespace cactusrail {

class Journal;
class MembershipListener;

/**
 * Answers what became of one request (GET /v1/explain?id=ID): this entry's own
 * steps and those of the sides that they name. Owned by EntryProcess.
 */
class Explainer
{
public:
  Explainer(const Journal& aJournal, const MembershipListener& aMembership);
  ~Explainer();

  void AddRoutes(OperatorRoutes& aRoutes);

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
