#pragma once

#include "Version/WorkRecords.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cactusrail {

/**
 * Messages between an entry and a worker, as JSON over HTTP. Clock values and
 * deadlines are microseconds of the worker's own monotonic clock, which also
 * advances while the host is suspended, because only the holder of a lease can
 * enforce it.
 */

/** How a start of a task ended. */
enum class EndResult : std::uint8_t
{
  Completed = 0,
  Failed = 1,
  /** Stopped by command; the checkpoint, if any, covers all of its work. */
  Stopped = 2,
  /** The worker stopped it because its lease ran out. */
  LeaseExpired = 3,
  /** The task never started and never will under this epoch. */
  NeverStarted = 4,
};

/** Sender of a command. The worker refuses an epoch lower than the highest one
 * that it has received. */
struct CommandOrigin
{
  std::string cell_;
  std::uint64_t cellEpoch_ = 0;
  /** Incarnation that the command is addressed to; other ones refuse it. */
  std::uint64_t workerIncarnation_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("cell", cell_),
       cereal::make_nvp("cellEpoch", cellEpoch_),
       cereal::make_nvp("workerIncarnation", workerIncarnation_));
  }
};

/** One start of a task. */
struct TaskRef
{
  std::string taskId_;
  std::uint64_t epoch_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("task", taskId_), cereal::make_nvp("epoch", epoch_));
  }

  bool operator==(const TaskRef&) const = default;
  bool operator<(const TaskRef& aOther) const
  {
    return taskId_ == aOther.taskId_ ? epoch_ < aOther.epoch_
                                     : taskId_ < aOther.taskId_;
  }
};

/** POST /v1/renew: extends the listed tasks' leases to until_; the leases of
 * other tasks are unchanged. */
struct RenewCommand
{
  static constexpr const char* kPath = "/v1/renew";

  CommandOrigin origin_;
  std::int64_t until_ = 0;
  std::vector<TaskRef> tasks_;
  /** Ended starts whose end is recorded; the worker stops reporting them. */
  std::vector<TaskRef> forget_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("origin", origin_),
       cereal::make_nvp("until", until_),
       cereal::make_nvp("tasks", tasks_),
       cereal::make_nvp("forget", forget_));
  }
};

/** POST /v1/start: a worker starts each pair of task and epoch at most once. */
struct StartCommand
{
  static constexpr const char* kPath = "/v1/start";

  CommandOrigin origin_;
  TaskRef task_;
  std::int64_t until_ = 0;
  std::string program_;
  Resources resources_;
  std::uint64_t declaredRunMs_ = 0;
  std::string checkpoint_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("origin", origin_),
       cereal::make_nvp("task", task_),
       cereal::make_nvp("until", until_),
       cereal::make_nvp("program", program_),
       cereal::make_nvp("resources", resources_),
       cereal::make_nvp("declaredRunMs", declaredRunMs_),
       cereal::make_nvp("checkpoint", checkpoint_));
  }
};

/** POST /v1/stop: ends a start, or prevents it if it has not begun. */
struct StopCommand
{
  static constexpr const char* kPath = "/v1/stop";

  CommandOrigin origin_;
  TaskRef task_;
  bool checkpointFirst_ = false;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("origin", origin_),
       cereal::make_nvp("task", task_),
       cereal::make_nvp("checkpointFirst", checkpointFirst_));
  }
};

using WorkerCommand = std::variant<RenewCommand, StartCommand, StopCommand>;

/** A running task in a worker's report. */
struct ReportedTask
{
  TaskRef task_;
  std::int64_t until_ = 0;
  std::string checkpoint_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("ref", task_),
       cereal::make_nvp("until", until_),
       cereal::make_nvp("checkpoint", checkpoint_));
  }
};

/** An ended start; reported until RenewCommand::forget_ lists it. */
struct EndedTask
{
  TaskRef task_;
  EndResult result_ = EndResult::Completed;
  std::string checkpoint_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    auto result = static_cast<std::uint8_t>(result_);
    ar(cereal::make_nvp("ref", task_),
       cereal::make_nvp("result", result),
       cereal::make_nvp("checkpoint", checkpoint_));
    result_ = static_cast<EndResult>(result);
  }
};

/** Response to every command and to GET /v1/status. */
struct WorkerReport
{
  std::string workerId_;
  std::uint64_t incarnation_ = 0;
  std::int64_t clock_ = 0;
  /** Highest epoch of its cell that the worker has received. */
  std::uint64_t cellEpoch_ = 0;
  /** Empty if the command was accepted; otherwise a whole sentence. */
  std::string refused_;
  Resources capacity_;
  /** Measured usage; lags behind the running tasks. */
  Resources used_;
  std::vector<ReportedTask> running_;
  std::vector<EndedTask> ended_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("id", workerId_),
       cereal::make_nvp("incarnation", incarnation_),
       cereal::make_nvp("clock", clock_),
       cereal::make_nvp("cellEpoch", cellEpoch_),
       cereal::make_nvp("refused", refused_),
       cereal::make_nvp("capacity", capacity_),
       cereal::make_nvp("used", used_),
       cereal::make_nvp("running", running_),
       cereal::make_nvp("ended", ended_));
  }
};

}
