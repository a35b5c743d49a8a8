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
  /** Only reports that name every task that is counted there. */
  virtual void OnUsage(const WorkerUsage& aUsage, Instant aNow) = 0;
};

/** Wraps whatever satisfies the concept; a policy that learns gets reports. */
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

    void OnUsage(const WorkerUsage& aUsage, Instant aNow) override
    {
      if constexpr (requires { policy_.OnUsage(aUsage, aNow); }) {
        policy_.OnUsage(aUsage, aNow);
      }
    }

  private:
    Policy policy_;
  };
  return std::make_unique<Chooser>(std::move(aPolicy));
}

}
