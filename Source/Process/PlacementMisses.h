#pragma once

#include "Connection/FleetMessages.h"
#include "Version/JobDescription.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * The steps that found no worker in one pass of placing. A step that asks for
 * as much and more finds none either, as room only shrinks during a pass; a
 * backlog is refused without a look at each worker for each of its steps. Owned
 * by FleetScheduler. Pure.
 */
class PlacementMisses
{
public:
  /** A new pass begins. */
  void Clear() { misses_.clear(); }

  /** A task of the step found no worker. */
  void Add(const JobDescription& aJob, const StepSpec& aStep);

  /** Whether a task of the step surely finds none. */
  bool Covers(const JobDescription& aJob, const StepSpec& aStep) const;

private:
  struct Miss
  {
    std::string service_;
    std::string label_;
    /** Of backfill, whose worker depends on it; else empty. */
    std::string image_;
    bool backfill_ = false;
    std::int64_t priority_ = 0;
    FleetRoom room_;
  };

  static Miss MissOf(const JobDescription& aJob, const StepSpec& aStep);
  /** Neither others of its step nor its own past decide on its worker. */
  static bool IsPlain(const StepSpec& aStep);

  std::vector<Miss> misses_;
};

}
