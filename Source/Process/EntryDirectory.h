#pragma once

#include "Version/Instant.h"
#include "Version/TableRows.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cactusrail {

/** Value of a row "entry/NAME". */
struct EntryRecord
{
  std::string name_;
  /** Changes with every start and every refresh, so that the row's revision
   * increases. */
  std::uint64_t incarnation_ = 0;
  /** "IP:port" of the operator HTTP server and of the membership socket. */
  std::string operators_;
  std::string membership_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("name", name_),
       cereal::make_nvp("incarnation", incarnation_),
       cereal::make_nvp("operators", operators_),
       cereal::make_nvp("membership", membership_));
  }
};

/**
 * List of the other entries, built from the rows that each entry refreshes in
 * the table service. An entry counts as gone if its row is at least
 * kEntryTimeout older than the latest change of another entry's row. While the
 * table service is down, no entry is removed. Performs no I/O; used in one
 * thread.
 */
class EntryDirectory
{
public:
  static constexpr Millis kRefreshInterval{ 10000 };
  static constexpr Millis kEntryTimeout{ 35000 };

  explicit EntryDirectory(std::string aOwnName);

  /** Updates the list from all rows with the prefix "entry/". */
  void OnRows(const std::vector<TableRow>& aRows, Instant aNow);

  /** Returns the other live entries, ordered by name. */
  std::vector<EntryRecord> Others() const;

private:
  struct Known
  {
    EntryRecord record_;
    std::uint64_t revision_ = 0;
    Instant changedAt_;
  };

  std::string ownName_;
  std::map<std::string, Known> known_;
};

}
