#pragma once

#include "Version/PlacementFacts.h"

#include <memory>
#include <utility>

namespace cactusrail {

/** A placement policy behind one type, so that only its choice is templated. */
class PlacementChooser
{
public:
  virtual ~PlacementChooser() = default;
  virtual std::optional<std::size_t> Choose(
    const TaskFacts& aTask,
    std::span<const WorkerFacts> aWorkers,
    Instant aNow) = 0;
};

/** Wraps whatever satisfies the concept. */
template<PlacementPolicy Policy>
std::unique_ptr<PlacementChooser>
MakeChooser(Policy aPolicy)
{
  class Chooser : public PlacementChooser
  {
  public:
    explicit Chooser(Policy aPolicy)
      : policy_(std::move(aPolicy))
    {
    }

    std::optional<std::size_t> Choose(const TaskFacts& aTask,
                                      std::span<const WorkerFacts> aWorkers,
                                      Instant aNow) override
    {
      return policy_.Choose(aTask, aWorkers, aNow);
    }

  private:
    Policy policy_;
  };
  return std::make_unique<Chooser>(std::move(aPolicy));
}

}
