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
 * Places by what programs were seen to take, beside what they declare. A
 * PlacementPolicy that owns its models and learns from the workers' reports; it
 * holds a task back where it expects too little room, but never for long and
 * never places beyond the declared size. Pure; owned by a scheduler's core.
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

  /** A worker has said what its tasks take together. */
  void OnUsage(const WorkerUsage& aUsage, Instant aNow);

  ExpectedUsage Expect(std::string_view aProgram,
                       const Resources& aDeclared) const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
