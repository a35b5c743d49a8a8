#pragma once

#include "Version/FairShare.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** Class of a job by its total work, relative to the recent jobs of its
 * queue. */
enum class JobSize : std::uint8_t
{
  /** Up to the median; also jobs of queues with few jobs so far. */
  Small,
  /** Up to nine in ten. */
  Medium,
  Large,
};

/**
 * Accounts for the work of the callers' groups in an overload: those of a data
 * centre, of a queue within it, and of a job size within that. At each level
 * the groups have equal shares. Owned by FleetScheduler. Does no I/O and reads
 * no clock.
 *
 * The levels are compared one after the other, so a data centre with many
 * queues, or a queue with jobs of many sizes, gets no larger share than others.
 *
 * Only the work that is added for the current selection counts. A group that
 * was idle therefore has no credit.
 */
class CallerShares
{
public:
  CallerShares();
  ~CallerShares();
  CallerShares(CallerShares&&) noexcept;
  CallerShares& operator=(CallerShares&&) noexcept;

  /** Returns the number of the group of a job that has just been accepted, and
   * adds the job to the recent ones of its queue. */
  std::size_t Classify(std::string_view aDataCentre,
                       std::string_view aQueue,
                       double aWorkMs);

  /** Removes all work. */
  void Clear() { uses_ = FairShare(); }
  void Add(std::size_t aGroup, double aWorkMs);
  void Remove(std::size_t aGroup, double aWorkMs);

  /** Whether the first group is further above its share than the second one.
   * A strict total order of the groups. */
  bool IsFurtherAbove(std::size_t aLeft, std::size_t aRight) const;

  /** Work of a group, in processor-ms. */
  double WorkOf(std::size_t aGroup) const;
  std::size_t GroupCount() const { return groups_.size(); }
  /** Name for the log: data centre, queue and size. */
  std::string NameOf(std::size_t aGroup) const;

private:
  class SizeQuantiles;

  struct Group
  {
    std::string dataCentre_;
    std::string queue_;
    JobSize size_ = JobSize::Small;
    /** Names of the group's accounts at the three levels. */
    std::string queueAccount_;
    std::string sizeAccount_;
  };

  JobSize SizeOf(std::string_view aQueue, double aWorkMs);

  std::map<std::string, std::unique_ptr<SizeQuantiles>, std::less<>> sizes_;
  std::vector<Group> groups_;
  /** Number of each group by the account of its size. */
  std::map<std::string, std::size_t, std::less<>> numbers_;
  FairShare uses_;
};

}
