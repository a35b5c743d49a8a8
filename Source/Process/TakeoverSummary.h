#pragma once

#include "Connection/FleetMessages.h"

#include <cstddef>
#include <functional>
#include <set>
#include <span>
#include <string>

namespace cactusrail {

/**
 * Ends of runs that the sides list to a new leader because no earlier leader
 * has acknowledged them. Owned by FleetScheduler until all sides have reported.
 */
class TakeoverSummary
{
public:
  /** Adds the ends in the first report of a side. */
  void Add(std::span<const RunEndReport> aEnds);

  /**
   * Returns the number of ends and the names of their jobs with the text that
   * aStateOf returns for each.
   */
  std::string Text(
    const std::function<std::string(const std::string&)>& aStateOf) const;

private:
  std::size_t done_ = 0;
  std::size_t failed_ = 0;
  std::size_t other_ = 0;
  std::set<std::string> jobs_;
};

}
