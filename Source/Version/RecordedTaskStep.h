#pragma once

#include "Request/RequestStep.h"
#include "Version/WorkRows.h"

#include <optional>
#include <string>

namespace cactusrail {

/** A parsed task name. */
struct TaskName
{
  std::string jobId_;
  std::uint32_t index_ = 0;
};

/** Parses "JOB.INDEX"; none for any other text. */
std::optional<TaskName>
ParseTaskName(const std::string& aText);

/**
 * Returns the state of a task that the job's row alone proves, as a step for
 * explain. It stays available after every entry that handled the task is gone.
 * The step is not conclusive while a cell holds the task, because the row does
 * not record whether the task has started. None if the task does not exist.
 */
std::optional<RequestStep>
RecordedTaskStep(const JobRow& aJob, bool aOver, std::uint32_t aIndex);

}
