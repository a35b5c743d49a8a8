#include "Process/PlacementMisses.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

bool
PlacementMisses::IsComparable(const StepSpec& aStep)
{
  return !aStep.gang_ && !aStep.longRunning_ && aStep.maxPerWorker_ == 0;
}

PlacementMisses::Miss
PlacementMisses::MissOf(const JobDescription& aJob, const StepSpec& aStep)
{
  Miss miss;
  miss.service_ = aJob.service_;
  miss.label_ = aStep.requiredLabel_;
  miss.image_ = aStep.backfill_ ? aStep.image_ : std::string();
  miss.backfill_ = aStep.backfill_;
  miss.priority_ = aJob.priority_;
  miss.room_ = { aStep.cpuMilli_, aStep.memoryMb_, aStep.accelerators_ };
  return miss;
}

void
PlacementMisses::Add(const JobDescription& aJob, const StepSpec& aStep)
{
  if (IsComparable(aStep)) {
    misses_.push_back(MissOf(aJob, aStep));
  }
}

bool
PlacementMisses::Covers(const JobDescription& aJob, const StepSpec& aStep) const
{
  if (!IsComparable(aStep)) {
    return false;
  }
  const Miss wanted = MissOf(aJob, aStep);
  return std::any_of(
    misses_.begin(), misses_.end(), [&wanted](const Miss& aMiss) {
      // A more urgent step may preempt more tasks, so a miss of a less urgent
      // step does not cover it.
      return aMiss.backfill_ == wanted.backfill_ &&
             aMiss.priority_ <= wanted.priority_ &&
             aMiss.room_.cpuMilli_ <= wanted.room_.cpuMilli_ &&
             aMiss.room_.memoryMb_ <= wanted.room_.memoryMb_ &&
             aMiss.room_.accelerators_ <= wanted.room_.accelerators_ &&
             aMiss.image_ == wanted.image_ && aMiss.label_ == wanted.label_ &&
             aMiss.service_ == wanted.service_;
    });
}

}
