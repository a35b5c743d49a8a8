#include "Load/JobAdmission.h"

#include "Version/RecordCodec.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace cactusrail;

namespace {

Instant
At(std::int64_t aMs)
{
  return Instant(Millis(1000000 + aMs));
}

/** Returns a job with a chain of 5.4 s, as batch jobs have. */
JobDemand
BatchJob(double aWork = 10000)
{
  return { "service", 2, aWork, 5400, 11800, 35400 };
}

/** Returns a digest with work of priority 2 at a rate of 100 processors. */
LoadDigest
DigestOf(double aWork, double aRate = 100)
{
  LoadDigest digest;
  digest.version_ = 1;
  digest.loads_.push_back({ "service", 0, 1000, 0, 0 });
  digest.loads_.push_back({ "service", 2, aWork, aRate, aRate });
  return digest;
}

/** Returns an entry's admission with a digest received at 10 s, and a leader
 * since 0 s. */
JobAdmission
Admission(const LoadDigest& aDigest)
{
  JobAdmission admission;
  admission.OnLeader(7, At(0));
  admission.OnDigest(aDigest, At(10000), At(10000));
  return admission;
}

/** Outcome of jobs that arrive at a queue of 100 processors. */
struct Burst
{
  std::size_t jobs_ = 0;
  std::size_t inTime_ = 0;
  std::size_t useful_ = 0;
  std::size_t useless_ = 0;
  std::size_t rejections_ = 0;
  std::size_t mostReturnsPerSecond_ = 0;
};

/**
 * Submits jobs at 36 % of the capacity, and aFactor times that from 10 s on for
 * aBurst. Rejected callers return when they are told to, up to four times. The
 * leader's digest is received every 300 ms, with a rate that is wrong by
 * aRateError; admission is off if that is 0.
 */
Burst
RunBurst(double aFactor, Millis aBurst, double aRateError)
{
  constexpr double kRate = 100;
  constexpr std::int64_t kEndMs = 300000;
  JobAdmission admission;
  admission.OnLeader(1, At(0));
  std::multiset<std::pair<std::int64_t, int>> arrivals;
  double next = 0;
  const auto burstEnd = static_cast<double>(10000 + aBurst.count());
  while (next < static_cast<double>(kEndMs) / 2) {
    const bool burst = next >= 10000 && next < burstEnd;
    arrivals.emplace(static_cast<std::int64_t>(next), 0);
    next += BatchJob().work_ / kRate / 0.36 / (burst ? aFactor : 1);
  }
  Burst result;
  result.jobs_ = arrivals.size();
  double queuedWork = 0;
  std::vector<std::size_t> returns(kEndMs / 1000 + 1, 0);
  for (std::int64_t ms = 0; ms < kEndMs; ++ms) {
    queuedWork = std::max(0.0, queuedWork - kRate);
    if (ms % 300 == 0 && aRateError > 0) {
      admission.OnDigest(
        DigestOf(queuedWork, kRate * aRateError), At(ms), At(ms));
    }
    while (!arrivals.empty() && arrivals.begin()->first <= ms) {
      const int attempts = arrivals.begin()->second;
      arrivals.erase(arrivals.begin());
      const auto estimate = admission.Check(BatchJob(), At(ms));
      if (estimate.has_value()) {
        ++result.rejections_;
        const Millis after =
          admission.OnRejected(BatchJob(), *estimate, At(ms));
        if (attempts < 4) {
          arrivals.emplace(ms + after.count(), attempts + 1);
          ++returns.at(static_cast<std::size_t>((ms + after.count()) / 1000));
        }
        continue;
      }
      admission.OnAccepted(BatchJob(), At(ms));
      const double endsAfter = queuedWork / kRate + BatchJob().chainMs_;
      queuedWork += BatchJob().work_;
      result.inTime_ += endsAfter <= BatchJob().objectiveMs_ ? 1 : 0;
      result.useful_ += endsAfter <= BatchJob().usefulMs_ ? 1 : 0;
      result.useless_ += endsAfter > BatchJob().usefulMs_ ? 1 : 0;
    }
  }
  result.mostReturnsPerSecond_ =
    *std::max_element(returns.begin(), returns.end());
  return result;
}

}

// Guards against rejections in bursts that the fleet can complete while the
// results are useful.
Test(JobAdmission, BurstsOfSecondsAreAccepted)
{
  for (const double factor : { 2.0, 2.6, 5.0 }) {
    const Burst burst = RunBurst(factor, Millis(7000), 1);
    cr_assert_eq(burst.rejections_, 0, "burst of %f", factor);
    cr_assert_eq(burst.useful_, burst.jobs_);
  }
}

// Guards against jobs that are accepted and end when nobody needs their result
// any more. The demand is five times the usual one for a minute.
Test(JobAdmission, JobsBeyondUseAreRejectedAndReturn)
{
  const Burst without = RunBurst(5, Millis(60000), 0);
  const Burst with = RunBurst(5, Millis(60000), 1);
  cr_assert_gt(without.useless_, 50, "%zu", without.useless_);
  cr_assert_gt(with.rejections_, 0);
  // Those before the first rejection, which needs a certain estimate.
  cr_assert_leq(with.useless_, without.useless_ / 2, "%zu", with.useless_);
  cr_assert_geq(with.useful_, without.useful_ + 50, "%zu", with.useful_);
  // 10 jobs a second are completed.
  cr_assert_leq(
    with.mostReturnsPerSecond_, 11, "%zu", with.mostReturnsPerSecond_);
}

// Guards against a rate that is wrong by a factor of two: jobs are rejected
// wrongly to that extent, but they return and are completed.
Test(JobAdmission, WrongRateCostsNoJobs)
{
  const Burst half = RunBurst(5, Millis(60000), 0.5);
  const Burst twice = RunBurst(5, Millis(60000), 2);
  const Burst without = RunBurst(5, Millis(60000), 0);
  cr_assert_geq(half.useful_, without.useful_, "%zu", half.useful_);
  cr_assert_geq(twice.useful_, without.useful_, "%zu", twice.useful_);
  cr_assert_eq(RunBurst(2.6, Millis(7000), 0.5).rejections_, 0);
}

// Guards against rejections on figures that may no longer be true.
Test(JobAdmission, OldDigestRejectsNothing)
{
  JobAdmission admission = Admission(DigestOf(10000000));
  cr_assert(admission.Check(BatchJob(), At(12000)).has_value());
  cr_assert_not(admission.Check(BatchJob(), At(12001)).has_value());
  admission.OnUnchanged(At(12500), At(12600));
  cr_assert(admission.Check(BatchJob(), At(13000)).has_value());
}

// Guards against rejections on the figures of a former leader, or on those of a
// new one that has not read all reports yet.
Test(JobAdmission, NewLeaderRejectsNothingForTwoSeconds)
{
  JobAdmission admission = Admission(DigestOf(10000000));
  admission.OnLeader(8, At(10100));
  cr_assert_not(admission.Check(BatchJob(), At(10200)).has_value());
  admission.OnUnchanged(At(10200), At(10200));
  admission.OnDigest(DigestOf(10000000), At(12000), At(12099));
  cr_assert_not(admission.Check(BatchJob(), At(12099)).has_value());
  cr_assert(admission.Check(BatchJob(), At(12100)).has_value());
}

// Guards against rejections by declared sizes, or without any figure.
Test(JobAdmission, UnknownRateRejectsNothing)
{
  JobAdmission admission = Admission(DigestOf(10000000, 0));
  cr_assert_not(admission.Check(BatchJob(), At(10100)).has_value());
  LoadDigest urgentOnly = DigestOf(10000000, 0);
  urgentOnly.loads_.back().rateWithMoreUrgent_ = 100;
  admission = Admission(urgentOnly);
  cr_assert_not(admission.Check(BatchJob(), At(10100)).has_value());
  JobDemand other = BatchJob();
  other.service_ = "other";
  JobAdmission known = Admission(DigestOf(10000000));
  cr_assert_not(known.Check(other, At(10100)).has_value());
  JobDemand withoutObjective = BatchJob();
  withoutObjective.objectiveMs_ = 0;
  cr_assert_not(known.Check(withoutObjective, At(10100)).has_value());
}

// Guards against an entry that accepts a flood between two digests.
Test(JobAdmission, JobsAcceptedSinceTheDigestCount)
{
  JobAdmission admission = Admission(DigestOf(0));
  std::size_t accepted = 0;
  while (!admission.Check(BatchJob(100000), At(10100)).has_value() &&
         accepted < 1000) {
    admission.OnAccepted(BatchJob(100000), At(10100));
    ++accepted;
  }
  cr_assert_eq(accepted, 38, "%zu: 30 s of work is 0.8 of 37.5 s", accepted);
  admission.OnUnchanged(At(10200), At(10250));
  cr_assert(admission.Check(BatchJob(), At(10300)).has_value(),
            "the digest may be older than the jobs");
  admission.OnUnchanged(At(10500), At(10550));
  cr_assert_not(admission.Check(BatchJob(), At(10600)).has_value());
}

// Guards against urgent work that is left out: it is completed first.
Test(JobAdmission, MoreUrgentWorkIsAhead)
{
  LoadDigest digest = DigestOf(1000);
  digest.loads_.front().work_ = 10000000;
  JobAdmission admission = Admission(digest);
  cr_assert(admission.Check(BatchJob(), At(10100)).has_value());
  JobDemand urgent = BatchJob();
  urgent.priority_ = 0;
  cr_assert_not(admission.Check(urgent, At(10100)).has_value());
}

// Guards against rejected callers that all return at once, also through other
// entries.
Test(JobAdmission, RejectedCallersReturnOneAfterTheOther)
{
  LoadDigest digest = DigestOf(5000000);
  digest.entries_ = 3;
  JobAdmission admission = Admission(digest);
  std::vector<std::int64_t> delays;
  for (int i = 0; i < 4; ++i) {
    const auto estimate = admission.Check(BatchJob(), At(10000));
    cr_assert(estimate.has_value());
    delays.push_back(
      admission.OnRejected(BatchJob(), *estimate, At(10000)).count());
  }
  // 50.01 s of work ahead, of which 11.8 s less the chain of 5.4 s may remain.
  const std::vector<std::int64_t> expected{ 43610, 43910, 44210, 44510 };
  cr_assert(delays == expected, "%ld %ld", delays[0], delays[1]);
}

// Guards against a digest that is too large for a host of 10 Mbit/s, and
// against entries that misread it.
Test(LoadDigest, StaysUnderOneKilobyteAndKeepsLoads)
{
  LoadDigest digest = DigestOf(5000);
  for (int i = 0; i < 100; ++i) {
    digest.queues_.push_back(
      { "host.example/queue" + std::to_string(i) + "/", 0.5, 0.9 });
  }
  LimitSize(digest);
  const std::string bytes = EncodeRecord(digest);
  cr_assert_leq(bytes.size(), 1000);
  const auto decoded = DecodeRecord<LoadDigest>(bytes);
  const auto* read = std::get_if<LoadDigest>(&decoded);
  cr_assert_not_null(read);
  cr_assert_eq(read->loads_.size(), 2);
  cr_assert_eq(read->loads_[1].work_, 5000);
  cr_assert_gt(read->queues_.size(), 5);
}

// Guards against a new digest with each task that ends.
Test(LoadDigest, OnlyNoticeableChangesCount)
{
  const LoadDigest digest = DigestOf(1000000);
  cr_assert_not(DiffersNoticeably(digest, DigestOf(950000)));
  cr_assert(DiffersNoticeably(digest, DigestOf(850000)));
  cr_assert(DiffersNoticeably(digest, DigestOf(1000000, 80)));
  cr_assert(DiffersNoticeably(digest, DigestOf(1000000, 0)));
  cr_assert_not(DiffersNoticeably(DigestOf(100), DigestOf(10000)),
                "0.1 s of work");
  cr_assert_not(DiffersNoticeably(DigestOf(100, 0), DigestOf(900000, 0)),
                "without a rate, the work does not matter");
  LoadDigest relation = digest;
  relation.queues_.push_back({ "queue", 0, 1 });
  LoadDigest changed = relation;
  changed.queues_.front().intercept_ = 0.5;
  cr_assert(DiffersNoticeably(relation, changed));
  cr_assert_float_eq(
    ExpectedMillis(relation, "queue", 3000), 3000, 0.01, "a slope of 1");
  cr_assert_float_eq(ExpectedMillis(relation, "other", 3000), 3000, 0.01);
}
