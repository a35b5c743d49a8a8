#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/** One step of a job: a number of identical tasks. */
struct StepSpec
{
  std::uint32_t count_ = 1;
  /** CPU demand of one task, in thousandths of a core. */
  std::int64_t cpuMilli_ = 0;
  std::int64_t memoryMb_ = 0;
  std::int64_t accelerators_ = 0;
  /** Rough estimate of one task's duration; often inaccurate. */
  std::int64_t estimateMs_ = 0;
  /** Steps whose tasks must all have completed before this step starts. */
  std::vector<std::uint32_t> after_;
  /** Whether the tasks write checkpoints and resume from them. */
  bool checkpoints_ = false;
  /** Gang scheduling: all tasks run together or not at all. */
  bool gang_ = false;
  /** Whether the tasks are slower when spread over several racks. */
  bool sameRack_ = false;
  /** Label that the worker must have; empty for any worker. */
  std::string requiredLabel_;
  /** Rack that stores the input data; tasks are slower on other racks. */
  std::string dataRack_;
  /** Maximum number of the step's tasks on one worker; 0 for no limit. */
  std::uint32_t maxPerWorker_ = 0;
  /** Whether copies of a task may run in parallel; the first to end counts. */
  bool allowsCopies_ = false;
  /** Whether the tasks run until the job is cancelled. */
  bool longRunning_ = false;
  /** Image that the tasks run; tasks of one image behave alike. */
  std::string image_;
  /** Tail latency that the tasks must meet for their users; 0 for none. */
  std::int64_t latencyObjectiveMs_ = 0;
  /** Whether the tasks use only idle CPU; not counted against capacity. */
  bool backfill_ = false;
  /** Maximum number of tasks that the scheduler may interrupt at once. */
  std::uint32_t disruptionBudget_ = 0;
  /** Whether the job sets a disruption budget; without it there is no limit. */
  bool hasDisruptionBudget_ = false;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(count_,
       cpuMilli_,
       memoryMb_,
       accelerators_,
       estimateMs_,
       after_,
       checkpoints_,
       gang_,
       sameRack_,
       requiredLabel_,
       dataRack_,
       maxPerWorker_,
       allowsCopies_,
       longRunning_,
       image_,
       latencyObjectiveMs_,
       backfill_,
       disruptionBudget_,
       hasDisruptionBudget_);
  }
};

/** A job as submitted by a caller. */
struct JobDescription
{
  /** Chosen by the caller; a repeated submission refers to the same job. */
  std::string id_;
  /** The queue's host and path prefix, as QueueRule::Key() writes them. */
  std::string queue_;
  /** The service whose workers ran the queue when the job was accepted. */
  std::string service_;
  /** Taken from the queue's rule on acceptance; 0 is the highest priority and
   * may preempt the others. */
  std::int64_t priority_ = 0;
  /** Number of failed runs of one task after which the job fails. */
  std::int64_t maxAttempts_ = 1;
  /** Whether the advice service must allow the job's workers. */
  bool needsAdvice_ = false;
  /** The job meets its deadline if it takes at most this multiple of its
   * critical path plus latencyObjectiveMs_. */
  double stretch_ = 1;
  /** Added to the stretched critical path, in ms. */
  std::int64_t latencyObjectiveMs_ = 0;
  /** Wall-clock time of the accepting entry, in ms since 1970; orders the
   * queue. */
  std::int64_t acceptedAtMs_ = 0;
  /** Opaque data that is passed to each task. */
  std::string payload_;
  std::vector<StepSpec> steps_;
  /** Number of times that the steps run; 0 and 1 both mean once. */
  std::uint32_t occurrences_ = 0;
  /** When occurrence 0 is due, in ms since 1970; 0 for at once. */
  std::int64_t startAtMs_ = 0;
  std::int64_t intervalMs_ = 0;
  /** Data center of the entry that accepted the job, to which the platform
   * sends the callers of that data centre. */
  std::string dataCentre_;

  bool IsTimed() const { return occurrences_ > 0; }

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(id_,
       queue_,
       service_,
       priority_,
       maxAttempts_,
       needsAdvice_,
       stretch_,
       latencyObjectiveMs_,
       acceptedAtMs_,
       payload_,
       steps_,
       occurrences_,
       startAtMs_,
       intervalMs_,
       dataCentre_);
  }
};

}
