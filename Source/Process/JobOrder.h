#pragma once

#include "Version/JobDescription.h"

#include <cstdint>
#include <span>
#include <tuple>

namespace cactusrail {

/** What its caller may still expect of a job. */
enum class JobOutlook : std::uint8_t
{
  /** An answer can still be of use, in time or late. */
  OfUse,
  /** As Standing, and a task of it waits that ran before. */
  Returning,
  /** It runs until it is cancelled. Ahead of urgent work, tasks that last would
   * take each gap of a full fleet and keep it. */
  Standing,
  /** It is over the time for which a late answer is of use. */
  Overdue,
};

/** Where a step of a job stands among work of one priority; lower goes first.
 */
struct JobRank
{
  JobOutlook outlook_ = JobOutlook::OfUse;
  /** In ms since 1970; within one outlook the earlier one goes first. */
  std::int64_t orderMs_ = 0;

  bool operator<(const JobRank& aOther) const
  {
    return std::tie(outlook_, orderMs_) <
           std::tie(aOther.outlook_, aOther.orderMs_);
  }
};

/** Work on the longest chain of steps, in ms, if each takes what aMillis says.
 */
double
ChainMillis(std::span<const StepSpec> aSteps, std::span<const double> aMillis);

/** Times of one occurrence of a job. */
struct JobTimes
{
  /** When it was accepted or due, in ms since 1970. */
  std::int64_t dueMs_ = 0;
  /** Its longest chain of work, and what is left of it, in ms. */
  double chainMs_ = 0;
  double leftMs_ = 0;
};

/**
 * The rank of a job's waiting steps: by the latest start with which it ends in
 * time or, once that has passed, with which it is still of use late. Pure.
 *
 * In order of arrival, a backlog would make every job late that comes after it,
 * though there is room for most of them.
 */
JobRank
RankOf(const JobDescription& aJob, const JobTimes& aTimes, std::int64_t aNowMs);

}
