#pragma once

#include "Process/Instant.h"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cactusrail {

/**
 * Tells a worker that fails everything from a job that fails everywhere, by
 * evidence over both: a failure counts against the worker unless the job is
 * known to be impossible, and against the job unless the worker is known to be
 * bad. Learning the one takes the blame off the other. Pure.
 */
class WorkerHealth
{
public:
  struct Rules
  {
    /** Different jobs that failed on a worker with no success in between. */
    std::size_t jobsToSetAside_ = 3;
    /** Different workers that a job failed on without any success. */
    std::size_t workersToPark_ = 3;
    Millis firstPause_{ 5000 };
    Millis longestPause_{ 300000 };
  };

  explicit WorkerHealth(const Rules& aRules);

  void OnSuccess(std::string_view aWorker, std::string_view aJob);
  void OnFailure(std::string_view aWorker, std::string_view aJob, Instant aNow);
  /** A task is started there; on a worker set aside, that is its probe. */
  void OnStart(std::string_view aWorker, Instant aNow);

  bool IsSetAside(std::string_view aWorker, Instant aNow) const;
  bool IsParked(std::string_view aJob) const;
  /** A whole sentence for operators; empty if the job is not parked. */
  std::string WhyParked(std::string_view aJob) const;
  /** An operator changed the job: it is tried again. */
  void Unpark(std::string_view aJob);

private:
  struct Worker
  {
    std::set<std::string, std::less<>> failedJobs_;
    bool setAside_ = false;
    Millis pause_{ 0 };
    Instant probeAt_;
  };
  struct Job
  {
    std::set<std::string, std::less<>> failedOn_;
    bool succeeded_ = false;
    bool parked_ = false;
  };

  void SetAside(const std::string& aName, Worker& aWorker, Instant aNow);
  void Park(const std::string& aName, Job& aJob);

  Rules rules_;
  std::unordered_map<std::string, Worker> workers_;
  std::unordered_map<std::string, Job> jobs_;
};

}
