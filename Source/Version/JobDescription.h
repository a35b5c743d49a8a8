#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/** One step of a job: so many equal tasks. */
struct StepSpec
{
  std::uint32_t count_ = 1;
  /** In thousandths of a core. */
  std::int64_t cpuMilli_ = 0;
  std::int64_t memoryMb_ = 0;
  std::int64_t accelerators_ = 0;
  /** A rough guess of one task's duration; often far off. */
  std::int64_t estimateMs_ = 0;
  /** Steps whose tasks must all have ended well before this one starts. */
  std::vector<std::uint32_t> after_;
  /** Its tasks checkpoint, and resume from a checkpoint. */
  bool checkpoints_ = false;
  /** All tasks run together or not at all. */
  bool gang_ = false;
  /** Its tasks are slower when spread over several racks. */
  bool sameRack_ = false;
  /** A label that the worker must have; empty for any worker. */
  std::string requiredLabel_;
  /** The rack where its data lies; slower on every other rack. */
  std::string dataRack_;
  /** At most so many of its tasks on one worker; 0 for no bound. */
  std::uint32_t maxPerWorker_ = 0;
  /** Copies may run in parallel; the first to end counts. */
  bool allowsCopies_ = false;
  /** Its tasks run until the job is cancelled. */
  bool longRunning_ = false;
  /** What its tasks run; tasks of one image behave alike. */
  std::string image_;
  /** Tail latency that its tasks must keep for their own users; 0 for none. */
  std::int64_t latencyObjectiveMs_ = 0;
  /** It takes the processors that others leave; not counted against room. */
  bool backfill_ = false;
  /** So many of its tasks may be away at once through our doing. */
  std::uint32_t disruptionBudget_ = 0;
  /** The job states a disruption budget; without it any number may be away. */
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

/** A job as a caller handed it in. */
struct JobDescription
{
  /** Chosen by the caller; a repeat of it is the same job. */
  std::string id_;
  /** The queue's host and path prefix, as QueueKey() writes them. */
  std::string queue_;
  /** The service whose workers ran the queue when the job was accepted. */
  std::string service_;
  /** As the queue's rule said then; 0 goes first and may preempt the others. */
  std::int64_t priority_ = 0;
  /** Failed runs of one task after which the job has failed. */
  std::int64_t maxAttempts_ = 1;
  /** Its workers must be allowed by the advice service. */
  bool needsAdvice_ = false;
  /** It is in time if it took so many times its longest chain of work... */
  double stretch_ = 1;
  /** ...and so many ms more. */
  std::int64_t latencyObjectiveMs_ = 0;
  /** Wall clock of the accepting entry, in ms since 1970; orders the queue. */
  std::int64_t acceptedAtMs_ = 0;
  /** Passed to each task unread. */
  std::string payload_;
  std::vector<StepSpec> steps_;
  /** Its steps run this many times; 0 and 1 both mean once. */
  std::uint32_t occurrences_ = 0;
  /** When occurrence 0 is due, in ms since 1970; 0 for at once. */
  std::int64_t startAtMs_ = 0;
  std::int64_t intervalMs_ = 0;

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
       intervalMs_);
  }
};

}
