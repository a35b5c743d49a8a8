#pragma once

#include "Version/WorkerMessages.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

/**
 * Implements the guarantees of the platform's worker about tasks: each start is
 * applied at most once, a task ends when its lease expires by the worker's
 * clock, and commands of a lower epoch are refused. It does no I/O; the
 * stand-in process and the golden sessions share it. Times are in microseconds
 * of the worker's clock.
 */
class WorkerTasks
{
public:
  /** Called with "started" or "ended" for each actual start or end. */
  using EventHandler = std::function<void(const std::string& aEvent,
                                          const cactusrail::TaskRef& aTask,
                                          const std::string& aDetail)>;

  struct Facts
  {
    std::string id_;
    std::string cell_;
    std::uint64_t incarnation_ = 0;
    cactusrail::Resources capacity_;
    /** Reported capacity, which may differ from the real one. */
    cactusrail::Resources reportedCapacity_;
    std::int64_t checkpointEveryMs_ = 500;
    bool failsAllTasks_ = false;
    /** Whether starts beyond the capacity are refused. Tests of the entries'
     * guards disable it. */
    bool checksCapacity_ = true;
  };

  WorkerTasks(Facts aFacts, EventHandler aOnEvent)
    : facts_(std::move(aFacts))
    , onEvent_(std::move(aOnEvent))
  {
  }

  Facts& Options() { return facts_; }

  /**
   * Ends tasks that have finished or whose lease has expired. Must run before
   * any other operation, so that a worker that was frozen ends such tasks
   * before it processes a command.
   */
  void Advance(std::int64_t aNow)
  {
    for (auto task = running_.begin(); task != running_.end();) {
      const std::int64_t over = std::min(task->second.until_, aNow);
      TakeCheckpoints(task->first, task->second, over);
      if (task->second.endsAt_ <= over) {
        const auto result = facts_.failsAllTasks_
                              ? cactusrail::EndResult::Failed
                              : cactusrail::EndResult::Completed;
        task = End(task, result);
      } else if (task->second.until_ <= aNow) {
        task = End(task, cactusrail::EndResult::LeaseExpired);
      } else {
        ++task;
      }
    }
  }

  cactusrail::WorkerReport Handle(const cactusrail::WorkerCommand& aCommand,
                                  std::int64_t aNow)
  {
    Advance(aNow);
    std::string refused = std::visit(
      [this](const auto& aOne) { return Check(aOne.origin_); }, aCommand);
    if (refused.empty()) {
      refused = std::visit(
        [this, aNow](const auto& aOne) { return Do(aOne, aNow); }, aCommand);
    }
    cactusrail::WorkerReport report = Report(aNow);
    report.refused_ = std::move(refused);
    return report;
  }

  cactusrail::WorkerReport Report(std::int64_t aNow)
  {
    Advance(aNow);
    cactusrail::WorkerReport report;
    report.workerId_ = facts_.id_;
    report.incarnation_ = facts_.incarnation_;
    report.clock_ = aNow;
    report.cellEpoch_ = cellEpoch_;
    report.capacity_ = facts_.reportedCapacity_;
    report.used_ = Used();
    for (const auto& [ref, task] : running_) {
      report.running_.push_back({ ref, task.until_, task.checkpoint_ });
    }
    for (const auto& [ref, ended] : ended_) {
      report.ended_.push_back(ended);
    }
    return report;
  }

  cactusrail::Resources Used() const
  {
    cactusrail::Resources used;
    for (const auto& [ref, task] : running_) {
      used += task.resources_;
    }
    return used;
  }

  /** Returns the running tasks, for comparison with reports in tests. */
  std::vector<cactusrail::TaskRef> Running() const
  {
    std::vector<cactusrail::TaskRef> refs;
    for (const auto& [ref, task] : running_) {
      refs.push_back(ref);
    }
    return refs;
  }

private:
  struct Task
  {
    std::int64_t until_ = 0;
    std::int64_t endsAt_ = 0;
    std::int64_t nextCheckpoint_ = 0;
    cactusrail::Resources resources_;
    std::string checkpoint_;
    std::uint32_t checkpoints_ = 0;
  };
  using RunningTasks = std::map<cactusrail::TaskRef, Task>;

  std::string Check(const cactusrail::CommandOrigin& aOrigin)
  {
    if (aOrigin.cell_ != facts_.cell_) {
      return "This worker belongs to cell " + facts_.cell_ + ".";
    }
    if (aOrigin.workerIncarnation_ != facts_.incarnation_) {
      return "The worker was started again since.";
    }
    // Refuses commands of an owner that has lost its cell without noticing.
    if (aOrigin.cellEpoch_ < cellEpoch_) {
      return "Another entry owns the cell now.";
    }
    cellEpoch_ = aOrigin.cellEpoch_;
    return {};
  }

  std::string Do(const cactusrail::RenewCommand& aCommand, std::int64_t)
  {
    for (const cactusrail::TaskRef& ref : aCommand.tasks_) {
      const auto task = running_.find(ref);
      if (task != running_.end()) {
        task->second.until_ = std::max(task->second.until_, aCommand.until_);
      }
    }
    for (const cactusrail::TaskRef& ref : aCommand.forget_) {
      ended_.erase(ref);
    }
    return {};
  }

  std::string Do(const cactusrail::StartCommand& aCommand, std::int64_t aNow)
  {
    const cactusrail::TaskRef& ref = aCommand.task_;
    if (running_.contains(ref)) {
      return {};
    }
    if (aCommand.until_ <= aNow) {
      return "The start command arrived after its deadline.";
    }
    // A start command that is repeated, or that a slow network delivers after
    // the task's end, must not start the task again.
    std::uint64_t& highest = epochs_[ref.taskId_];
    if (ref.epoch_ <= highest) {
      return "This start, or a later one, was already processed.";
    }
    highest = ref.epoch_;
    if (facts_.checksCapacity_ &&
        !aCommand.resources_.FitsIn(facts_.capacity_, Used())) {
      ended_[ref] = { ref, cactusrail::EndResult::NeverStarted, {} };
      return "The worker has no free capacity for the task.";
    }
    Task task;
    task.until_ = aCommand.until_;
    task.resources_ = aCommand.resources_;
    task.checkpoint_ = aCommand.checkpoint_;
    task.endsAt_ = RunEnd(aCommand, aNow);
    task.nextCheckpoint_ = aNow + facts_.checkpointEveryMs_ * 1000;
    onEvent_("started", ref, aCommand.checkpoint_);
    running_[ref] = std::move(task);
    return {};
  }

  std::string Do(const cactusrail::StopCommand& aCommand, std::int64_t)
  {
    const cactusrail::TaskRef& ref = aCommand.task_;
    const auto task = running_.find(ref);
    if (task == running_.end()) {
      std::uint64_t& highest = epochs_[ref.taskId_];
      if (ref.epoch_ > highest) {
        highest = ref.epoch_;
        ended_[ref] = { ref, cactusrail::EndResult::NeverStarted, {} };
      }
      return {};
    }
    if (aCommand.checkpointFirst_) {
      Checkpoint(ref, task->second);
      End(task, cactusrail::EndResult::Stopped);
    } else {
      task->second.checkpoint_.clear();
      End(task, cactusrail::EndResult::Stopped);
    }
    return {};
  }

  std::int64_t RunEnd(const cactusrail::StartCommand& aCommand,
                      std::int64_t aNow) const
  {
    if (facts_.failsAllTasks_) {
      return aNow;
    }
    constexpr std::int64_t kForever = std::int64_t(1) << 60;
    return aCommand.declaredRunMs_ == 0
             ? kForever
             : aNow + static_cast<std::int64_t>(aCommand.declaredRunMs_) * 1000;
  }

  void TakeCheckpoints(const cactusrail::TaskRef& aRef,
                       Task& aTask,
                       std::int64_t aNow) const
  {
    while (facts_.checkpointEveryMs_ > 0 && aTask.nextCheckpoint_ <= aNow) {
      Checkpoint(aRef, aTask);
      aTask.nextCheckpoint_ += facts_.checkpointEveryMs_ * 1000;
    }
  }

  /**
   * Takes a checkpoint. Its name contains the epoch, so that a late checkpoint
   * of an earlier start can't be mistaken for one of a later start.
   */
  static void Checkpoint(const cactusrail::TaskRef& aRef, Task& aTask)
  {
    aTask.checkpoint_ = aRef.taskId_ + "/" + std::to_string(aRef.epoch_) + "/" +
                        std::to_string(++aTask.checkpoints_);
  }

  RunningTasks::iterator End(RunningTasks::iterator aTask,
                             cactusrail::EndResult aResult)
  {
    static constexpr const char* kResultNames[] = {
      "completed", "failed", "stopped", "lease-expired", "never-started"
    };
    const cactusrail::TaskRef ref = aTask->first;
    ended_[ref] = { ref, aResult, aTask->second.checkpoint_ };
    std::string detail = kResultNames[static_cast<std::size_t>(aResult)];
    if (!aTask->second.checkpoint_.empty()) {
      detail += " " + aTask->second.checkpoint_;
    }
    onEvent_("ended", ref, detail);
    return running_.erase(aTask);
  }

  Facts facts_;
  EventHandler onEvent_;
  std::uint64_t cellEpoch_ = 0;
  RunningTasks running_;
  std::map<cactusrail::TaskRef, cactusrail::EndedTask> ended_;
  /** Highest epoch of each task that was started, refused or stopped. */
  std::map<std::string, std::uint64_t> epochs_;
};
