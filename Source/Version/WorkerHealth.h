#pragma once

#include "Version/Instant.h"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cactusrail {

/**
 * Distinguishes a faulty worker, on which all jobs fail, from a faulty job,
 * which fails on all workers. A failure counts against the worker unless the
 * job is parked, and against the job unless the worker is cordoned. Cordoning a
 * worker removes its failures from the jobs, and parking a job removes its
 * failures from the workers. Does no I/O and reads no clock.
 */
class WorkerHealth
{
public:
  struct Rules
  {
    /** Number of different jobs that fail on a worker, with no success in
     * between, before the worker is cordoned. */
    std::size_t jobsToCordon_ = 3;
    /** Number of different workers on which a job fails, without any success,
     * before the job is parked. */
    std::size_t workersToPark_ = 3;
    /** Time from cordoning a worker to the first probe; doubles with each
     * failed probe up to the limit below. */
    Millis minProbeDelay_{ 5000 };
    Millis maxProbeDelay_{ 300000 };
  };

  explicit WorkerHealth(const Rules& aRules);

  void OnSuccess(std::string_view aWorker, std::string_view aJob);
  void OnFailure(std::string_view aWorker, std::string_view aJob, Instant aNow);
  /** Records that a task is started on a worker. On a cordoned worker the task
   * is a probe, and the time of the next probe is moved back. */
  void OnStart(std::string_view aWorker, Instant aNow);

  /** Returns whether the worker is cordoned and not yet due for a probe. */
  bool IsCordoned(std::string_view aWorker, Instant aNow) const;
  /** Returns whether the worker is cordoned or has failed a task since the last
   * one that succeeded there. */
  bool IsSuspect(std::string_view aWorker) const;
  bool IsParked(std::string_view aJob) const;
  /** Returns the reason as sentences for operators; empty if the job is not
   * parked. */
  std::string ParkedReason(std::string_view aJob) const;
  /** Discards the failures of a job that an operator has changed, so that it is
   * placed again. */
  void Unpark(std::string_view aJob);

private:
  struct Worker
  {
    std::set<std::string, std::less<>> failedJobs_;
    bool cordoned_ = false;
    Millis probeDelay_{ 0 };
    Instant probeAt_;
  };
  struct Job
  {
    std::set<std::string, std::less<>> failedWorkers_;
    bool succeeded_ = false;
    bool parked_ = false;
  };

  /** Cordons the worker, sets the time of its next probe and removes its
   * failures from the jobs. */
  void Cordon(const std::string& aName, Worker& aWorker, Instant aNow);
  /** Parks the job and removes its failures from the workers. */
  void Park(const std::string& aName, Job& aJob);

  Rules rules_;
  std::unordered_map<std::string, Worker> workers_;
  std::unordered_map<std::string, Job> jobs_;
};

}
