#include "Process/TakeoverSummary.h"

#include "Version/TaskKey.h"

#include <optional>

namespace cactusrail {

namespace {

/** Maximum number of jobs in the text. */
constexpr std::size_t kMaxNamedJobs = 8;

}

void
TakeoverSummary::Add(std::span<const RunEndReport> aEnds)
{
  for (const RunEndReport& end : aEnds) {
    if (end.kind_ == EndKind::Done) {
      ++done_;
    } else if (end.kind_ == EndKind::Failed) {
      ++failed_;
    } else {
      ++other_;
    }
    const std::optional<TaskKey> name = TaskKey::Parse(end.task_);
    jobs_.insert(name.has_value() ? name->job_ : end.task_);
  }
}

std::string
TakeoverSummary::Text(
  const std::function<std::string(const std::string&)>& aStateOf) const
{
  std::string text = std::to_string(done_) + " done, " +
                     std::to_string(failed_) + " failed and " +
                     std::to_string(other_) + " other ends of " +
                     std::to_string(jobs_.size()) + " jobs";
  std::size_t named = 0;
  for (const std::string& job : jobs_) {
    if (++named > kMaxNamedJobs) {
      break;
    }
    text += (named == 1 ? ": " : ", ") + job + " " + aStateOf(job);
  }
  return text;
}

}
