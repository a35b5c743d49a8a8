#pragma once

#include "Version/Instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cactusrail {

/**
 * Jobs whose rows the leader has removed from the table. A read that was
 * answered before the removal and arrives after it still contains such a row.
 * Owned by FleetLeader.
 */
class RemovedJobs
{
public:
  /** aVersion is the version of the transaction that removed the rows. */
  void Add(const std::string& aJob, std::uint64_t aVersion, Instant aNow)
  {
    removals_[aJob] = { aVersion, aNow + kLatestAnswer };
  }

  /** Whether a row of the job with this version has been removed. */
  bool Contains(std::string_view aJob, std::uint64_t aRowVersion) const
  {
    const auto found = removals_.find(aJob);
    return found != removals_.end() && aRowVersion < found->second.version_;
  }

  /** Drops the jobs whose rows can't arrive any more. */
  void DropOld(Instant aNow)
  {
    std::erase_if(removals_, [aNow](const auto& aEntry) {
      return aNow > aEntry.second.until_;
    });
  }

private:
  /** Exceeds the timeout of each read and watch of the table. */
  static constexpr Millis kLatestAnswer{ 30000 };

  struct Removal
  {
    std::uint64_t version_ = 0;
    Instant until_;
  };

  std::map<std::string, Removal, std::less<>> removals_;
};

}
