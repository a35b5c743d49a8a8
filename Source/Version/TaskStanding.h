#pragma once

#include "Request/RequestStep.h"
#include "Version/WorkRows.h"

#include <optional>
#include <string>

namespace cactusrail {

/** A task's name taken apart. */
struct TaskName
{
  std::string jobId_;
  std::uint32_t index_ = 0;
};

/** None if the text is not "JOB.INDEX". */
std::optional<TaskName>
ParseTaskName(const std::string& aText);

/**
 * What the job's row alone says of a task, as a step for explain. It holds when
 * every entry that saw the task is gone. Not conclusive while a cell holds the
 * task, for the row does not tell whether it has begun. None if there is no
 * such task.
 */
std::optional<RequestStep>
StandingOf(const JobRow& aJob, bool aOver, std::uint32_t aIndex);

}
