#include "Version/WorkerHealth.h"

#include <algorithm>

namespace cactusrail {

WorkerHealth::WorkerHealth(const Rules& aRules)
  : rules_(aRules)
{
}

void
WorkerHealth::OnSuccess(std::string_view aWorker, std::string_view aJob)
{
  Worker& worker = workers_[std::string(aWorker)];
  worker.failedJobs_.clear();
  worker.cordoned_ = false;
  worker.probeDelay_ = Millis(0);
  Job& job = jobs_[std::string(aJob)];
  job.succeeded_ = true;
  job.failedWorkers_.clear();
}

void
WorkerHealth::OnFailure(std::string_view aWorker,
                        std::string_view aJob,
                        Instant aNow)
{
  const std::string workerName(aWorker);
  const std::string jobName(aJob);
  Worker& worker = workers_[workerName];
  Job& job = jobs_[jobName];
  if (worker.cordoned_) {
    // The probe of a cordoned worker failed; this is no evidence against the
    // job.
    Cordon(workerName, worker, aNow);
    return;
  }
  if (job.parked_) {
    return;
  }
  worker.failedJobs_.insert(jobName);
  job.failedWorkers_.insert(workerName);
  if (worker.failedJobs_.size() >= rules_.jobsToCordon_) {
    Cordon(workerName, worker, aNow);
    return;
  }
  if (!job.succeeded_ && job.failedWorkers_.size() >= rules_.workersToPark_) {
    Park(jobName, job);
  }
}

void
WorkerHealth::Cordon(const std::string& aName, Worker& aWorker, Instant aNow)
{
  aWorker.cordoned_ = true;
  aWorker.probeDelay_ = std::clamp(
    aWorker.probeDelay_ * 2, rules_.minProbeDelay_, rules_.maxProbeDelay_);
  aWorker.probeAt_ = aNow + aWorker.probeDelay_;
  for (const std::string& jobName : aWorker.failedJobs_) {
    jobs_[jobName].failedWorkers_.erase(aName);
  }
  aWorker.failedJobs_.clear();
}

void
WorkerHealth::Park(const std::string& aName, Job& aJob)
{
  aJob.parked_ = true;
  for (const std::string& workerName : aJob.failedWorkers_) {
    workers_[workerName].failedJobs_.erase(aName);
  }
}

void
WorkerHealth::OnStart(std::string_view aWorker, Instant aNow)
{
  const auto found = workers_.find(std::string(aWorker));
  if (found != workers_.end() && found->second.cordoned_) {
    found->second.probeAt_ = aNow + found->second.probeDelay_;
  }
}

bool
WorkerHealth::IsCordoned(std::string_view aWorker, Instant aNow) const
{
  const auto found = workers_.find(std::string(aWorker));
  return found != workers_.end() && found->second.cordoned_ &&
         aNow < found->second.probeAt_;
}

bool
WorkerHealth::IsSuspect(std::string_view aWorker) const
{
  const auto found = workers_.find(std::string(aWorker));
  return found != workers_.end() &&
         (found->second.cordoned_ || !found->second.failedJobs_.empty());
}

bool
WorkerHealth::IsParked(std::string_view aJob) const
{
  const auto found = jobs_.find(std::string(aJob));
  return found != jobs_.end() && found->second.parked_;
}

std::string
WorkerHealth::ParkedReason(std::string_view aJob) const
{
  const auto found = jobs_.find(std::string(aJob));
  if (found == jobs_.end() || !found->second.parked_) {
    return {};
  }
  std::string names;
  for (const std::string& name : found->second.failedWorkers_) {
    names += (names.empty() ? "" : ", ") + name;
  }
  return "Every task of job " + std::string(aJob) + " failed, on the workers " +
         names +
         ", which run other jobs without failure. Correct the job and create "
         "it again.";
}

void
WorkerHealth::Unpark(std::string_view aJob)
{
  jobs_.erase(std::string(aJob));
}

}
