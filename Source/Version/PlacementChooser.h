#pragma once

#include "Version/PlacementFacts.h"

#include <memory>
#include <utility>

namespace cactusrail {

/** Type-erased placement policy, so that only MakeChooser() is a template. */
class PlacementChooser
{
public:
  virtual ~PlacementChooser() = default;
  virtual std::optional<std::size_t> Choose(
    const TaskFacts& aTask,
    std::span<const WorkerFacts> aWorkers,
    Instant aNow) = 0;
  /** Updates a learning policy. aUsage must name every task that the scheduler
   * counts on that worker. */
  virtual void OnUsage(const WorkerUsage& aUsage, Instant aNow) = 0;
};

/** Wraps a policy; OnUsage() is forwarded if the policy has such a method. */
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
