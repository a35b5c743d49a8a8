#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace cactusrail {

/**
 * Identity of one process of a worker.
 *
 * A worker may restart under its id, so the id alone does not identify the
 * process. Start times are compared for equality only, because the clock of a
 * host may be set back between two starts.
 */
struct WorkerIncarnation
{
  std::string id_;
  /** Start time in ms since 1970; 0 for a worker of the earlier protocol, which
   * gets a new id with each start. */
  std::int64_t startedAtMs_ = 0;

  bool HasStartTime() const { return startedAtMs_ != 0; }

  /** Returns the identity for the log. */
  std::string Text() const
  {
    return HasStartTime() ? id_ + " of " + std::to_string(startedAtMs_) : id_;
  }

  bool operator==(const WorkerIncarnation&) const = default;
  bool operator<(const WorkerIncarnation& aOther) const
  {
    return std::tie(id_, startedAtMs_) <
           std::tie(aOther.id_, aOther.startedAtMs_);
  }
};

}
