#include "Process/RemovedJobs.h"
#include "FleetWorld.h"

#include <criterion/criterion.h>

using namespace cactusrail;

// Guards against a finished job that runs again, because a read that was
// answered before its removal arrives after it.
Test(RemovedJobs, LateRowOfARemovedJobIsIgnored)
{
  const Instant now = At(1000000);
  RemovedJobs removed;
  removed.Add("job", 20, now);
  cr_assert(removed.Contains("job", 12));
  cr_assert_not(removed.Contains("other", 12));
  removed.DropOld(now + Millis(5000));
  cr_assert(removed.Contains("job", 12));
}

// Guards against a job that is ignored because an earlier one had its id.
Test(RemovedJobs, JobThatIsSubmittedAnewCounts)
{
  RemovedJobs removed;
  removed.Add("job", 20, At(1000000));
  cr_assert_not(removed.Contains("job", 21));
}

// Guards against a list that grows for as long as the process leads.
Test(RemovedJobs, OldRemovalsAreDropped)
{
  const Instant now = At(1000000);
  RemovedJobs removed;
  removed.Add("job", 20, now);
  removed.DropOld(now + Millis(60000));
  cr_assert_not(removed.Contains("job", 12));
}
