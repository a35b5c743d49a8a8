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

// A worker freezes past its lease and its task is started elsewhere under the
// next epoch. After the thaw the worker reports that the old start completed.
// Applying that report would complete the job while its task still runs.
Test(JobLedger, IgnoresEndOfAnOldEpoch)
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

// Two owners process the same eviction and both write its end. Applying the
// second end would raise the epoch again and start the task twice.
Test(JobLedger, IgnoresARepeatedEnd)
{
  JobLedger job = HeldJob(false);
  cr_assert(job.End(0, 1, TaskEnd::Stopped, Verdict::Ran, "job.0/1/3"));
  cr_assert(!job.End(0, 1, TaskEnd::Stopped, Verdict::Ran, "job.0/1/3"));
  cr_assert(job.NextPending()->epoch_ == 2);
  cr_assert(job.NextPending()->checkpoint_ == "job.0/1/3");
}

// A payout batch is stopped and its checkpoint fails, so that its progress is
// unknown. Starting it again without an operator could pay twice.
Test(JobLedger, ParksATaskStoppedWithoutACheckpoint)
{
  JobLedger job = HeldJob(false);
  cr_assert(job.End(0, 1, TaskEnd::Stopped, Verdict::Ran, ""));
  cr_assert(!job.NextPending().has_value());
  job.Unpark();
  cr_assert(job.NextPending()->epoch_ == 2);
}
