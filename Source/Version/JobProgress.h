#pragma once

#include "Request/Failure.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** Lifecycle state of a job. */
enum class JobState : std::uint8_t
{
  Pending = 0,
  Running = 1,
  Completed = 2,
  Failed = 3,
  Cancelled = 4,
};

inline bool
IsFinal(JobState aState)
{
  return aState >= JobState::Completed;
}

/** Recorded progress of a task that has not completed successfully. */
struct TaskProgress
{
  std::uint32_t index_ = 0;
  /** Numbers of the failed runs. Recording numbers rather than a count makes
   * an end that is reported twice count once. */
  std::vector<std::uint32_t> failedRuns_;
  /** Checkpoint that a new run resumes from; empty for the beginning. */
  std::string checkpoint_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(index_, failedRuns_, checkpoint_);
  }
};

/** Recorded progress of one step of one occurrence. */
struct StepProgress
{
  std::uint32_t occurrence_ = 0;
  std::uint32_t step_ = 0;
  bool allDone_ = false;
  /** Tasks that completed successfully; unused if allDone_ is set. */
  std::vector<std::uint32_t> done_;
  std::vector<TaskProgress> tasks_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(occurrence_, step_, allDone_, done_, tasks_);
  }
};

/**
 * The durable progress of a job: which tasks completed, how often the others
 * failed and where they resume. It is written before the end of a run is
 * acknowledged, because the worker then discards its own record of that end.
 */
struct JobProgress
{
  JobState state_ = JobState::Pending;
  /** When the final state was reached, in ms since 1970; 0 before. */
  std::int64_t endedAtMs_ = 0;
  /** Occurrences before this one are done and have no entries in steps_. */
  std::uint32_t occurrencesDone_ = 0;
  std::vector<StepProgress> steps_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(state_, endedAtMs_, occurrencesDone_, steps_);
  }
};

/** Returns the state's name for output and logs, such as "pending". */
std::string_view
JobStateText(JobState aState);

}
