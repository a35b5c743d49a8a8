#pragma once

#include "Process/EntryDirectory.h"

#include <memory>

namespace cactusrail {

class TableClient;

/**
 * Writes this entry's row "entry/NAME" every ten seconds and reads the others'.
 * Owned by EntryProcess.
 */
class EntryPresence
{
public:
  EntryPresence(TableClient& aTable, const std::string& aOwnName);
  ~EntryPresence();

  /** aOwn's incarnation is the first to be written; each refresh adds one. */
  void Start(const EntryRecord& aOwn);

  const EntryDirectory& Directory() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
