#include "Version/JobLedger.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

JobLedger
HeldJob(bool aIdempotent)
{
  JobRow row;
  row.spec_.id_ = "job";
  row.spec_.idempotent_ = aIdempotent;
  JobLedger job(row);
  job.Hold(0, "dc1/r1");
  return job;
}

}

// A worker was frozen past its lease; its task went elsewhere under the next
// epoch. Thawed, it reports that the old start completed. Were that believed,
// the job would count as done while its task still runs.
Test(JobLedger, TakesNoEndOfAnOldEpoch)
{
  JobLedger job = HeldJob(true);
  cr_assert(job.End(0, 1, TaskEnd::Lost, Verdict::MayHaveRun, ""));
  job.Hold(0, "dc1/r2");
  cr_assert(!job.End(0, 1, TaskEnd::Completed, Verdict::Ran, ""));
  cr_assert(job.Row().completed_ == 0);
  cr_assert(job.Find(0)->state_ == TaskState::Held);
  cr_assert(job.End(0, 2, TaskEnd::Completed, Verdict::Ran, ""));
  cr_assert(job.IsOver());
}

// Two owners each see the same eviction and write its end. The second end must
// change nothing: it would raise the epoch again and start the task twice.
Test(JobLedger, TakesAnEndOnce)
{
  JobLedger job = HeldJob(false);
  cr_assert(job.End(0, 1, TaskEnd::Stopped, Verdict::Ran, "job.0/1/3"));
  cr_assert(!job.End(0, 1, TaskEnd::Stopped, Verdict::Ran, "job.0/1/3"));
  cr_assert(job.NextPending()->epoch_ == 2);
  cr_assert(job.NextPending()->checkpoint_ == "job.0/1/3");
}

// A payout batch is stopped, but its checkpoint failed: how far it came is not
// known, so it waits for an operator.
Test(JobLedger, ParksWhatStoppedWithoutACheckpoint)
{
  JobLedger job = HeldJob(false);
  cr_assert(job.End(0, 1, TaskEnd::Stopped, Verdict::Ran, ""));
  cr_assert(!job.NextPending().has_value());
  job.Unpark();
  cr_assert(job.NextPending()->epoch_ == 2);
}
