#pragma once

#include "Version/JobDescription.h"

#include <cstdint>
#include <span>
#include <tuple>

namespace cactusrail {

/** Multiple of a job's objective up to which a late result is useful, as
 * defined by the users' platform. */
constexpr std::int64_t kUsefulFactor = 3;

/** Class of a job by the use of its result to the caller, in scheduling
 * order. */
enum class JobOutlook : std::uint8_t
{
  /** The result can still be useful, in time or late. */
  Useful,
  /** The same, but in an overload the job is not among those that can be
   * completed in time. */
  Deferred,
  /** Long-running job with a waiting task that ran before. */
  Restarting,
  /** Long-running job, which runs until it is cancelled. Placed before urgent
   * work, long-running tasks would fill and keep each gap of a full fleet. */
  LongRunning,
  /** The time in which a late result is useful has passed. */
  Overdue,
};

/** Scheduling rank of a job's steps among work of one priority; the lowest rank
 * goes first. */
struct JobRank
{
  JobOutlook outlook_ = JobOutlook::Useful;
  /** Sort key within one outlook, a time since 1970; the earliest goes first.
   * In ms, with fair shares alone in s. */
  std::int64_t orderMs_ = 0;
  /** Decide between equal keys where fair shares alone are in force: the group
   * with the least work first, then the exact time. */
  std::uint32_t groupRank_ = 0;
  std::int64_t exactMs_ = 0;

  bool operator<(const JobRank& aOther) const
  {
    return std::tie(outlook_, orderMs_, groupRank_, exactMs_) <
           std::tie(aOther.outlook_,
                    aOther.orderMs_,
                    aOther.groupRank_,
                    aOther.exactMs_);
  }
};

/** Returns the duration of the longest chain of dependent steps, in ms. aMillis
 * holds the duration of each step. */
double
ChainMillis(std::span<const StepSpec> aSteps, std::span<const double> aMillis);

/** Returns the time from an occurrence's due time to its deadline, in ms; 0 or
 * less if the job has none. aChainMs is the duration of its longest chain. */
std::int64_t
ObjectiveMillis(const JobDescription& aJob, double aChainMs);

/** Returns the time at which an occurrence was accepted or due, in ms since
 * 1970. */
std::int64_t
DueMsOf(const JobDescription& aJob, std::uint32_t aOccurrence);

/** Times of one occurrence of a job. */
struct JobTimes
{
  /** Time at which the occurrence was accepted or due, in ms since 1970. */
  std::int64_t dueMs_ = 0;
  /** Duration of the longest chain of steps and of its remaining part, in
   * ms. */
  double chainMs_ = 0;
  double leftMs_ = 0;
};

/**
 * Returns the rank of a job's waiting steps. The sort key is the latest start
 * with which the job ends in time or, once that has passed, with which its late
 * result is still useful. Pure.
 *
 * In order of arrival, a backlog would delay all later jobs beyond their
 * objective, although there is capacity for most of them.
 */
JobRank
RankOf(const JobDescription& aJob, const JobTimes& aTimes, std::int64_t aNowMs);

}
