#pragma once

#include "Process/FleetWorker.h"
#include "Version/JobDescription.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cactusrail {

/** What a choice of a worker for one task rests on. */
struct ChoiceFacts
{
  const StepSpec* step_ = nullptr;
  std::string_view service_;
  /** Workers where it failed or stood still. */
  std::span<const std::string> avoid_;
  /** How much longer a task takes away from its data or its rack. */
  double farFactor_ = 1;
  /** Racks that tasks of the step use already, for steps of one rack. */
  std::string_view rackInUse_;
  Instant now_;
  /** Backfill that found no good place for so long that any will do. */
  bool starving_ = false;
};

/** A worker that could take the task, with how many of its step run there. */
struct WorkerOption
{
  const FleetWorker* worker_ = nullptr;
  std::uint32_t sameStep_ = 0;
  /** Set aside for failing what it starts. */
  bool setAside_ = false;
  /** Its room is kept for another job; see RoomReservations. */
  bool kept_ = false;
  /** For a backfill task: how it would do beside those that serve there. */
  BackfillFit fit_;
};

/** The room that a task of the step takes of its worker. */
FleetRoom
FixedRoomOf(const StepSpec& aStep);

/** The same, with what its worker's other tasks must know of it. */
TaskRoom
RoomOf(const StepSpec& aStep, const JobDescription& aJob);

/** Whether the worker may run the task at all, with room left or not. */
bool
MayRunOn(const WorkerOption& aOption, const ChoiceFacts& aFacts);

/** Whether the room left is enough. */
bool
HasRoomFor(const FleetWorker& aWorker, const FleetRoom& aRoom);

/**
 * The best worker for a task now; none if it should rather wait. Pure.
 *
 * - Work with an objective for its own users is packed onto few workers, so
 *   that backfill has workers where it disturbs nobody.
 * - Backfill goes where it gets its processors in full; next to work that
 *   serves only where it is known not to disturb it, or one at a time to learn
 *   whether it does.
 * - All other work is spread by the room that is left.
 */
std::optional<std::size_t>
ChooseWorker(std::span<const WorkerOption> aOptions, const ChoiceFacts& aFacts);

}
