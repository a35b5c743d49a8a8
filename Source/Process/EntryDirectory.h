#pragma once

#include "Process/Instant.h"
#include "Version/TableRows.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cactusrail {

/** The value of a row "entry/NAME". */
struct EntryRecord
{
  std::string name_;
  /** Changes with every start and every refresh, so the revision rises. */
  std::uint64_t incarnation_ = 0;
  /** "IP:port" of operators' pages and of the membership socket. */
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
 * The other entries, from their rows in the table service, which each entry
 * refreshes. An entry whose row has not changed for kEntrySilence while the
 * row of another has is taken for gone; while the table service is down all
 * that were known stay known. Pure; used in one thread.
 */
class EntryDirectory
{
public:
  static constexpr Millis kRefreshEvery{ 10000 };
  static constexpr Millis kEntrySilence{ 35000 };

  explicit EntryDirectory(std::string aOwnName);

  /** All rows with the prefix "entry/", as just read. */
  void OnRows(const std::vector<TableRow>& aRows, Instant aNow);

  /** The other entries, by name. */
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
