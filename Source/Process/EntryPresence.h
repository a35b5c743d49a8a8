#pragma once

#include "Process/EntryDirectory.h"

#include <memory>

namespace cactusrail {

class TableClient;

/**
 * Writes this entry's row "entry/NAME" every ten seconds and reads the rows of
 * the other entries. Owned by EntryProcess.
 */
class EntryPresence
{
public:
  EntryPresence(TableClient& aTable, const std::string& aOwnName);
  ~EntryPresence();

  /** Starts the refreshes; each one increments aOwn's incarnation by one before
   * it writes the row. */
  void Start(const EntryRecord& aOwn);

  const EntryDirectory& Directory() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
