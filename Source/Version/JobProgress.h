#pragma once

#include "Request/Failure.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** What became of a job. */
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

/** What must be remembered of one task that has not ended well yet. */
struct TaskNote
{
  std::uint32_t index_ = 0;
  /** Runs that ended as failed; by number, so that an end that is reported
   * twice counts once. */
  std::vector<std::uint32_t> failedRuns_;
  /** Where a new run resumes; empty for the start. */
  std::string checkpoint_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(index_, failedRuns_, checkpoint_);
  }
};

/** What must be remembered of one step of one occurrence. */
struct StepNote
{
  std::uint32_t occurrence_ = 0;
  std::uint32_t step_ = 0;
  bool allDone_ = false;
  /** Tasks that ended well, if not all did. */
  std::vector<std::uint32_t> done_;
  std::vector<TaskNote> tasks_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(occurrence_, step_, allDone_, done_, tasks_);
  }
};

/**
 * What a scheduler must not forget of a job: which tasks ended well, how often
 * the others failed, where they resume. Written before an end is acknowledged
 * to the worker, for the worker then forgets it.
 */
struct JobProgress
{
  JobState state_ = JobState::Pending;
  /** When the final state was reached, in ms since 1970; 0 before. */
  std::int64_t endedAtMs_ = 0;
  /** Occurrences before this one are done and have no notes. */
  std::uint32_t occurrencesDone_ = 0;
  std::vector<StepNote> steps_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(state_, endedAtMs_, occurrencesDone_, steps_);
  }
};

/** "pending", "running" and so on, for people and logs. */
std::string_view
JobStateText(JobState aState);

}
