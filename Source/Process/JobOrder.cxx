#include "Process/JobOrder.h"

#include <algorithm>
#include <vector>

namespace cactusrail {

double
ChainMillis(std::span<const StepSpec> aSteps, std::span<const double> aMillis)
{
  double longest = 0;
  std::vector<double> ends(aSteps.size(), 0);
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    double begin = 0;
    for (const std::uint32_t before : aSteps[i].after_) {
      if (before < i) {
        begin = std::max(begin, ends[before]);
      }
    }
    ends[i] = begin + aMillis[i];
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

std::int64_t
ObjectiveMillis(const JobDescription& aJob, double aChainMs)
{
  return static_cast<std::int64_t>(
    static_cast<double>(aJob.latencyObjectiveMs_) + aJob.stretch_ * aChainMs);
}

std::int64_t
DueMsOf(const JobDescription& aJob, std::uint32_t aOccurrence)
{
  return aJob.IsTimed()
           ? aJob.startAtMs_ +
               static_cast<std::int64_t>(aOccurrence) * aJob.intervalMs_
           : aJob.acceptedAtMs_;
}

JobRank
RankOf(const JobDescription& aJob, const JobTimes& aTimes, std::int64_t aNowMs)
{
  const std::int64_t objective = ObjectiveMillis(aJob, aTimes.chainMs_);
  const auto remaining = static_cast<std::int64_t>(aTimes.leftMs_);
  if (objective <= 0 || aNowMs + remaining <= aTimes.dueMs_ + objective) {
    return { JobOutlook::Useful, aTimes.dueMs_ + objective - remaining };
  }
  if (aNowMs + remaining <= aTimes.dueMs_ + kUsefulFactor * objective) {
    return { JobOutlook::Useful,
             aTimes.dueMs_ + kUsefulFactor * objective - remaining };
  }
  return { JobOutlook::Overdue, aTimes.dueMs_ };
}

}
