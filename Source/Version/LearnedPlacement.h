#pragma once

#include "Version/PlacementFacts.h"
#include "Version/UsageEstimate.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace cactusrail {

/**
 * Places tasks by the observed and the declared usage of their programs. A
 * PlacementPolicy that owns its models and learns from the workers' reports. A
 * task whose expected usage fits on no worker is deferred for a limited time,
 * then placed by its declared size, which is never exceeded. Does no I/O and
 * reads no clock; owned by a scheduler's core.
 */
class LearnedPlacement
{
public:
  explicit LearnedPlacement(std::uint64_t aSeed);
  ~LearnedPlacement();
  LearnedPlacement(LearnedPlacement&& aOther) noexcept;
  LearnedPlacement& operator=(LearnedPlacement&& aOther) noexcept;

  std::optional<std::size_t> Choose(const TaskFacts& aTask,
                                    std::span<const WorkerFacts> aWorkers,
                                    Instant aNow);

  /** Updates the models with a worker's report of the total usage of its tasks.
   */
  void OnUsage(const WorkerUsage& aUsage, Instant aNow);

  ExpectedUsage Expect(std::string_view aProgram,
                       const Resources& aDeclared) const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
