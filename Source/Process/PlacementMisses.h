#pragma once

#include "Connection/FleetMessages.h"
#include "Version/JobDescription.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * Steps that found no worker in one placement pass. Free capacity only shrinks
 * during a pass, so a step that requests at least as much finds no worker
 * either. A backlog is thus refused without a scan of all workers for each of
 * its steps. Owned by FleetScheduler. Pure.
 */
class PlacementMisses
{
public:
  /** Starts a new pass. */
  void Clear() { misses_.clear(); }

  /** Records that a task of the step found no worker. */
  void Add(const JobDescription& aJob, const StepSpec& aStep);

  /** Whether a recorded miss implies that a task of the step finds no
   * worker. */
  bool Covers(const JobDescription& aJob, const StepSpec& aStep) const;

private:
  struct Miss
  {
    std::string service_;
    std::string label_;
    /** Image of backfill, on which the choice of a worker depends; else
     * empty. */
    std::string image_;
    bool backfill_ = false;
    std::int64_t priority_ = 0;
    FleetResources room_;
  };

  static Miss MissOf(const JobDescription& aJob, const StepSpec& aStep);
  /** Whether the choice of a worker depends neither on other tasks of the step
   * nor on earlier runs of the task. */
  static bool IsComparable(const StepSpec& aStep);

  std::vector<Miss> misses_;
};

}
