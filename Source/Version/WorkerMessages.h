#pragma once

#include "Version/WorkRecords.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cactusrail {

/**
 * What an entry and a worker say to each other, as JSON over HTTP. Clocks and
 * deadlines are microseconds of the worker's own monotonic clock, which also
 * counts while the host sleeps: only the holder of a lease can enforce it.
 */

/** How a start of a task ended. */
enum class EndResult : std::uint8_t
{
  Completed = 0,
  Failed = 1,
  /** Stopped as told; the checkpoint, if any, is its last word. */
  Stopped = 2,
  /** The worker stopped it because its lease ran out. */
  LeaseExpired = 3,
  /** It was never begun, and will not be. */
  NeverStarted = 4,
};

/** Who commands: the worker refuses a lower epoch than it has seen. */
struct CommandOrigin
{
  std::string cell_;
  std::uint64_t cellEpoch_ = 0;
  /** The worker's incarnation that is meant; another one refuses. */
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

/** POST /v1/renew: these tasks may run until then; others keep what they have.
 */
struct RenewCommand
{
  static constexpr const char* kPath = "/v1/renew";

  CommandOrigin origin_;
  std::int64_t until_ = 0;
  std::vector<TaskRef> tasks_;
  /** Ended starts whose end is recorded; the worker need not report them. */
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

/** POST /v1/start: a worker begins each task and epoch once at most. */
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

/** POST /v1/stop: ends a start, or keeps it from ever beginning. */
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

/** A task that the worker runs. */
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

/** A start that ended; reported until it is to be forgotten. */
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

/** The answer to every command, and to GET /v1/status. */
struct WorkerReport
{
  std::string workerId_;
  std::uint64_t incarnation_ = 0;
  std::int64_t clock_ = 0;
  /** The highest epoch of its cell that it has seen. */
  std::uint64_t cellEpoch_ = 0;
  /** Empty if the command was taken; else a whole sentence. */
  std::string refused_;
  Resources capacity_;
  /** Lags behind what runs. */
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
