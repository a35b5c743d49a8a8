#include "Version/JobProgress.h"

namespace cactusrail {

std::string_view
JobStateText(JobState aState)
{
  switch (aState) {
    case JobState::Pending:
      return "pending";
    case JobState::Running:
      return "running";
    case JobState::Completed:
      return "completed";
    case JobState::Failed:
      return "failed";
    case JobState::Cancelled:
      return "cancelled";
  }
  return "unknown";
}

}
