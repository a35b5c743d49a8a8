#pragma once

#include "Request/Verdict.h"
#include "Version/WorkRecords.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * Rows of the table service that store work: "job/ID" (open jobs), "done/ID"
 * (ended jobs), "cell/NAME" (the entry that may place work on the workers of a
 * rack, and the reservations there) and "operation/ID" (the outcome of an
 * operator's verb). docs/design/work.md describes which component writes which
 * row.
 */

constexpr const char* kJobPrefix = "job/";
constexpr const char* kDonePrefix = "done/";
constexpr const char* kCellPrefix = "cell/";
constexpr const char* kWorkerPrefix = "worker/";
constexpr const char* kEntryPrefix = "entry/";
constexpr const char* kOperationPrefix = "operation/";

/** Target state of a job, as set by operators. */
enum class Wanted : std::uint8_t
{
  Run = 0,
  /** No task starts; running tasks are checkpointed and stopped. */
  Paused = 1,
  /** No task starts; running tasks continue to their end. */
  Drained = 2,
  /** Final: running tasks are checkpointed and stopped. */
  Stopped = 3,
  /** Final: running tasks are stopped at once. */
  Cancelled = 4,
};

/** State of a task that has been placed at least once and has not ended. */
enum class TaskState : std::uint8_t
{
  /** Waiting for placement. */
  Pending = 0,
  /** A cell holds a reservation for the task, which may be running. */
  Held = 1,
  /** The task may have run and must not run twice; only an operator restarts
   * it. */
  Parked = 2,
};

/** A task of a job that has been placed at least once and has not ended. */
struct TaskRecord
{
  std::uint32_t index_ = 0;
  TaskState state_ = TaskState::Pending;
  /** Epoch of the next start, or of the current start while Held. */
  std::uint64_t epoch_ = 1;
  /** The cell that holds it. */
  std::string cell_;
  /** Checkpoint that the next start resumes from; empty for the beginning. */
  std::string checkpoint_;
  std::uint32_t failures_ = 0;
  /** Combined verdict of the earlier epochs. */
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

/** A job: its specification and the progress of its tasks. */
struct JobRow
{
  JobSpec spec_;
  Wanted wanted_ = Wanted::Run;
  /** Index of the first task that has never been placed; neither have the
   * tasks after it. */
  std::uint32_t firstUnplacedTask_ = 0;
  std::vector<TaskRecord> open_;
  std::uint32_t completed_ = 0;
  std::uint32_t failed_ = 0;
  /** Number of tasks that were ended by stop or cancel. */
  std::uint32_t ended_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    auto wanted = static_cast<std::uint8_t>(wanted_);
    ar(cereal::make_nvp("spec", spec_),
       cereal::make_nvp("wanted", wanted),
       cereal::make_nvp("fresh", firstUnplacedTask_),
       cereal::make_nvp("open", open_),
       cereal::make_nvp("completed", completed_),
       cereal::make_nvp("failed", failed_),
       cereal::make_nvp("ended", ended_));
    wanted_ = static_cast<Wanted>(wanted);
  }
};

/** Resources of a worker that are reserved for a task. */
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
  /** Latest recorded checkpoint of this epoch. */
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

/** The workers of one rack: the entry that may place tasks on them, and the
 * reservations. */
struct CellRow
{
  /** Name of the owning entry; empty if none. */
  std::string owner_;
  std::uint64_t ownerIncarnation_ = 0;
  /** Increases with every change of owner; workers refuse lower epochs. */
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

/** Returns "JOB.INDEX", the name of a task for operators and workers. */
inline std::string
TaskId(const std::string& aJobId, std::uint32_t aIndex)
{
  return aJobId + "." + std::to_string(aIndex);
}

/** Returns the cell of a worker, which is its rack. */
inline std::string
CellName(const WorkerRow& aWorker)
{
  return aWorker.dataCentre_ + "/" + aWorker.rack_;
}

}
