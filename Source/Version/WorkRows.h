#pragma once

#include "Request/Verdict.h"
#include "Version/WorkRecords.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * The rows of the table service that hold work: "job/ID" (open jobs),
 * "done/ID" (ended jobs), "cell/NAME" (who may place work on the workers of a
 * rack, and what is reserved there) and "operation/ID" (what an operator's
 * verb came to). docs/design/work.md tells who writes which.
 */

constexpr const char* kJobPrefix = "job/";
constexpr const char* kDonePrefix = "done/";
constexpr const char* kCellPrefix = "cell/";
constexpr const char* kWorkerPrefix = "worker/";
constexpr const char* kEntryPrefix = "entry/";
constexpr const char* kOperationPrefix = "operation/";

/** What operators want of a job. */
enum class Wanted : std::uint8_t
{
  Run = 0,
  /** Nothing starts; what runs is checkpointed and stopped. */
  Paused = 1,
  /** Nothing starts; what runs goes on to its end. */
  Drained = 2,
  /** For good: what runs is checkpointed and stopped. */
  Stopped = 3,
  /** For good: what runs is stopped at once. */
  Cancelled = 4,
};

/** Where a task stands that is neither untouched nor ended. */
enum class TaskState : std::uint8_t
{
  /** Waits to be placed. */
  Pending = 0,
  /** A cell has reserved room for it; it may be running. */
  Held = 1,
  /** It may have run and can't be run twice; an operator decides. */
  Parked = 2,
};

/** A task of a job that has been touched and has not ended. */
struct TaskRecord
{
  std::uint32_t index_ = 0;
  TaskState state_ = TaskState::Pending;
  /** Of the next start, or of the present one while Held. */
  std::uint64_t epoch_ = 1;
  /** The cell that holds it. */
  std::string cell_;
  /** What the next start resumes from; empty for the beginning. */
  std::string checkpoint_;
  std::uint32_t failures_ = 0;
  /** What the earlier epochs say together. */
  Verdict verdict_ = Verdict::DidNotRun;

  template<class Archive>
  void serialize(Archive& ar)
  {
    auto state = static_cast<std::uint8_t>(state_);
    auto verdict = static_cast<std::uint8_t>(verdict_);
    ar(cereal::make_nvp("index", index_),
       cereal::make_nvp("state", state),
       cereal::make_nvp("epoch", epoch_),
       cereal::make_nvp("cell", cell_),
       cereal::make_nvp("checkpoint", checkpoint_),
       cereal::make_nvp("failures", failures_),
       cereal::make_nvp("verdict", verdict));
    state_ = static_cast<TaskState>(state);
    verdict_ = static_cast<Verdict>(verdict);
  }
};

/** A job: what was asked for, and what became of its tasks so far. */
struct JobRow
{
  JobSpec spec_;
  Wanted wanted_ = Wanted::Run;
  /** Tasks from this index on have never been touched. */
  std::uint32_t fresh_ = 0;
  std::vector<TaskRecord> open_;
  std::uint32_t completed_ = 0;
  std::uint32_t failed_ = 0;
  /** Ended by stop or cancel. */
  std::uint32_t ended_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    auto wanted = static_cast<std::uint8_t>(wanted_);
    ar(cereal::make_nvp("spec", spec_),
       cereal::make_nvp("wanted", wanted),
       cereal::make_nvp("fresh", fresh_),
       cereal::make_nvp("open", open_),
       cereal::make_nvp("completed", completed_),
       cereal::make_nvp("failed", failed_),
       cereal::make_nvp("ended", ended_));
    wanted_ = static_cast<Wanted>(wanted);
  }
};

/** Room on a worker that is counted as taken by a task. */
struct Reservation
{
  std::string jobId_;
  std::uint32_t index_ = 0;
  std::string tenant_;
  std::string program_;
  WorkKind kind_ = WorkKind::Batch;
  std::uint64_t epoch_ = 0;
  std::string workerId_;
  std::uint64_t workerIncarnation_ = 0;
  Resources resources_;
  /** The latest checkpoint of this epoch that a write has recorded. */
  std::string checkpoint_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    auto kind = static_cast<std::uint8_t>(kind_);
    ar(cereal::make_nvp("job", jobId_),
       cereal::make_nvp("index", index_),
       cereal::make_nvp("tenant", tenant_),
       cereal::make_nvp("program", program_),
       cereal::make_nvp("kind", kind),
       cereal::make_nvp("epoch", epoch_),
       cereal::make_nvp("worker", workerId_),
       cereal::make_nvp("workerIncarnation", workerIncarnation_),
       cereal::make_nvp("resources", resources_),
       cereal::make_nvp("checkpoint", checkpoint_));
    kind_ = static_cast<WorkKind>(kind);
  }
};

/** The workers of one rack: which entry may place there, and what is taken. */
struct CellRow
{
  /** Empty if none. */
  std::string owner_;
  std::uint64_t ownerIncarnation_ = 0;
  /** Rises with every change of owner; workers refuse lower ones. */
  std::uint64_t epoch_ = 0;
  /** Differs with every write of the owner. */
  std::uint64_t beat_ = 0;
  std::vector<Reservation> reservations_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("owner", owner_),
       cereal::make_nvp("ownerIncarnation", ownerIncarnation_),
       cereal::make_nvp("epoch", epoch_),
       cereal::make_nvp("beat", beat_),
       cereal::make_nvp("reservations", reservations_));
  }
};

/** "JOB.INDEX": how operators and workers name a task. */
inline std::string
TaskId(const std::string& aJobId, std::uint32_t aIndex)
{
  return aJobId + "." + std::to_string(aIndex);
}

/** The cell of a worker: its rack. */
inline std::string
CellName(const WorkerRow& aWorker)
{
  return aWorker.dataCentre_ + "/" + aWorker.rack_;
}

}
