#include "Version/PlacementFacts.h"

namespace cactusrail {

std::optional<std::size_t>
FirstFitPlacement::Choose(const TaskFacts& aTask,
                          std::span<const WorkerFacts> aWorkers,
                          Instant)
{
  for (std::size_t index = 0; index < aWorkers.size(); ++index) {
    const WorkerFacts& worker = aWorkers[index];
    if (!worker.cordoned_ &&
        aTask.declared_.FitsIn(worker.capacity_, worker.reserved_)) {
      return index;
    }
  }
  return std::nullopt;
}

}
