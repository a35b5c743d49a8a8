#include "Process/EntryDirectory.h"

#include "Version/JsonText.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

EntryDirectory::EntryDirectory(std::string aOwnName)
  : ownName_(std::move(aOwnName))
{
}

void
EntryDirectory::OnRows(const std::vector<TableRow>& aRows, Instant aNow)
{
  for (const TableRow& row : aRows) {
    const Result<EntryRecord> read = FromJson<EntryRecord>(row.value_);
    const auto* record = std::get_if<EntryRecord>(&read);
    if (record == nullptr || record->name_ == ownName_) {
      continue;
    }
    Known& known = known_[record->name_];
    if (known.revision_ != row.revision_) {
      known.record_ = *record;
      known.revision_ = row.revision_;
      known.changedAt_ = aNow;
    }
  }
}

std::vector<EntryRecord>
EntryDirectory::Others() const
{
  std::vector<EntryRecord> others;
  Instant newest;
  for (const auto& [name, known] : known_) {
    newest = std::max(newest, known.changedAt_);
  }
  // Compare with the latest change of any row instead of the current time:
  // while the table service is down, no row is refreshed, and no entry may be
  // removed because of the outage.
  for (const auto& [name, known] : known_) {
    if (known.changedAt_ + kEntryTimeout > newest) {
      others.push_back(known.record_);
    }
  }
  return others;
}

}
