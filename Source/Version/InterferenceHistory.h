#pragma once

#include "Version/Instant.h"
#include "Version/InterferenceModel.h"

#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactusrail {

/**
 * Records which tasks ran on each worker over time. A measurement arrives a
 * second or more after it was taken; attributing it to the neighbours at its
 * arrival would include tasks that started in between. Keeps only the period
 * that the latest reports can refer to.
 */
class InterferenceHistory
{
public:
  /** Records the tasks that a worker runs from aNow on. */
  void Record(std::string_view aWorker,
              std::span<const Neighbour> aNeighbours,
              Instant aNow);

  /** Returns the time-weighted mean of the worker's neighbours between two
   * times. */
  std::vector<Neighbour> Mean(std::string_view aWorker,
                              Instant aFrom,
                              Instant aTo) const;

private:
  struct Entry
  {
    Instant since_;
    std::vector<Neighbour> neighbours_;
  };

  std::unordered_map<std::string, std::deque<Entry>> workers_;
};

}
