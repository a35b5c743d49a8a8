#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace cactusrail {

class CallerShares;

/** Open work of one job, of one service and priority. */
struct OpenWork
{
  std::string_view job_;
  /** End of the job's objective, in ms since 1970. */
  std::int64_t deadlineMs_ = 0;
  /** Work of all tasks that are not done, in processor-ms. */
  double workMs_ = 0;
  /** Part of workMs_ that belongs to tasks with a run. They continue if the job
   * is deferred. */
  double runningMs_ = 0;
  /** Duration of the longest chain of steps that are not done. */
  double chainMs_ = 0;
  /** Share of the job's total work that is done. */
  double doneShare_ = 0;
  /** Whether a task of the job is done or has a run. */
  bool begun_ = false;
  /** Whether the previous selection did not select the job. */
  bool wasDeferred_ = false;
  /** Group in CallerShares. */
  std::size_t group_ = 0;
};

/** Decision on one job. */
enum class InTimeVerdict : std::uint8_t
{
  Selected,
  /** Not placed before the selected jobs, for lack of processors. */
  Deferred,
  /** Cannot be completed in time even on idle workers. */
  Late,
};

struct InTimeSelection
{
  /** Verdict for each job, in the order of the input. */
  std::vector<InTimeVerdict> verdicts_;
  /** More work waits than can be completed in time. Without a shortage the
   * verdicts have no effect on the order. */
  bool shortage_ = false;
};

/**
 * Selects the jobs that can be completed in time on aProcessors processors.
 *
 * The jobs are added in the order of their deadlines (Moore-Hodgson's algorithm
 * with work in processor-ms in place of durations on one machine). Whenever the
 * work does not fit before a deadline, one of the jobs added so far is
 * deferred: the one with the most work, of all or, with aShares, of the group
 * that is furthest above its share.
 *
 * Selected jobs that have begun, and jobs with most of their work done, are not
 * deferred. A deferred job is selected again only if there is room with a
 * margin, without a deferral of another job. Pure.
 *
 * aShares may be null; it must contain no work.
 */
InTimeSelection
SelectInTime(std::span<const OpenWork> aJobs,
             double aProcessors,
             std::int64_t aNowMs,
             CallerShares* aShares);

}
