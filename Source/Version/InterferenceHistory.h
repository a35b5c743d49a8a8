#pragma once

#include "Process/Instant.h"
#include "Version/InterferenceModel.h"

#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactusrail {

/**
 * Which tasks ran on a worker when. A measurement arrives a second or more
 * after it was taken; blaming the neighbours of its arrival would blame a task
 * that was started since. Bounded: keeps what the latest reports can ask for.
 */
class InterferenceHistory
{
public:
  /** The worker runs these from now on. */
  void Record(std::string_view aWorker,
              std::span<const Neighbour> aNeighbours,
              Instant aNow);

  /** The mean weights of its neighbours between two times. */
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
