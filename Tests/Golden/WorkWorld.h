#pragma once

#include "../StandIns/WorkerTasks.h"
#include "Process/SchedulerCore.h"
#include "Version/JobLedger.h"
#include "Version/JsonText.h"
#include "Version/TaskStanding.h"
#include "Version/WorkVerbs.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

/**
 * Simulates the entries' scheduler cores, workers and a table service on one
 * virtual clock, for golden sessions and random schedules of work. Every
 * process has its own clock with an offset and a drift. The simulation tracks
 * which tasks really run and checks the promises at every start, end and write.
 */
class WorkWorld
{
public:
  using Micros64 = std::int64_t;

  struct Options
  {
    cactusrail::WorkTimings timings_;
    Micros64 tick_ = 100000;
    /** 0: clocks do not differ, every message takes a millisecond and none is
     * lost. */
    std::uint32_t seed_ = 0;
    double lossRate_ = 0;
    double delayRate_ = 0;
    /** Whether to record a transcript. */
    bool traced_ = true;
    /** Creates the placement of each entry incarnation from a seed; first fit
     * if empty. */
    std::function<std::unique_ptr<cactusrail::PlacementChooser>(std::uint64_t)>
      chooser_;
  };

  struct Entry
  {
    std::string name_;
    std::uint64_t incarnation_ = 0;
    std::unique_ptr<cactusrail::SchedulerCore> core_;
    bool alive_ = true;
    bool frozen_ = false;
    Micros64 offset_ = 0;
    double rate_ = 1;
    std::vector<std::function<void()>> backlog_;
  };

  struct Worker
  {
    cactusrail::WorkerRow row_;
    std::unique_ptr<WorkerTasks> tasks_;
    cactusrail::Resources capacity_;
    bool alive_ = true;
    bool frozen_ = false;
    Micros64 offset_ = 0;
    double rate_ = 1;
    int loseAnswers_ = 0;
    int loseCalls_ = 0;
    bool reportsLess_ = false;
    std::vector<std::function<void()>> backlog_;
  };

  explicit WorkWorld(Options aOptions)
    : options_(std::move(aOptions))
    , random_(options_.seed_)
  {
  }

  Micros64 Now() const { return now_; }
  const std::string& Transcript() const { return transcript_; }
  const std::vector<std::string>& Broken() const { return broken_; }
  std::uint64_t Starts() const { return starts_; }
  std::uint64_t Writes() const { return writes_; }
  std::uint64_t CellWrites() const { return cellWrites_; }
  std::uint64_t Reads() const { return reads_; }
  std::uint64_t ChangingWrites() const { return changingWrites_; }
  std::mt19937& Random() { return random_; }

  double Chance()
  {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  Micros64 Between(Micros64 aMin, Micros64 aMax)
  {
    return std::uniform_int_distribution<Micros64>(aMin, aMax)(random_);
  }

  void Trace(const std::string& aLine)
  {
    if (options_.traced_) {
      std::string time = std::to_string(now_ / 1000);
      time.insert(0, time.size() < 7 ? 7 - time.size() : 0, ' ');
      transcript_ += time + "  " + aLine + "\n";
    }
  }

  /** Records a broken promise; the parts form one sentence. */
  template<typename... Parts>
  void Break(const Parts&... aParts)
  {
    std::ostringstream sentence;
    (sentence << ... << aParts);
    Trace("BROKEN: " + sentence.str());
    broken_.push_back(std::to_string(now_ / 1000) + " ms: " + sentence.str());
  }

  void At(Micros64 aTime, std::function<void()> aEvent)
  {
    events_[{ std::max(aTime, now_), ++sequence_ }] = std::move(aEvent);
  }

  void Run(Micros64 aDuration)
  {
    const Micros64 end = now_ + aDuration;
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }

  // Processes.
  void AddEntry(const std::string& aName)
  {
    Entry& entry = entries_[aName];
    entry.name_ = aName;
    entry.offset_ = options_.seed_ == 0 ? 0 : Between(0, 1000000000);
    entry.rate_ = options_.seed_ == 0 ? 1 : 0.9995 + Chance() / 1000;
    StartEntry(aName);
    const Micros64 phase = options_.seed_ == 0 ? 0 : Between(0, options_.tick_);
    At(now_ + phase, [this, aName] { TickEntry(aName); });
    At(now_ + phase, [this, aName] { TickPresence(aName); });
  }

  void StartEntry(const std::string& aName)
  {
    Entry& entry = entries_.at(aName);
    entry.alive_ = true;
    entry.frozen_ = false;
    entry.backlog_.clear();
    entry.incarnation_ = ++incarnations_;
    entry.core_ = std::make_unique<cactusrail::SchedulerCore>(
      cactusrail::EntryIdentity{ aName, entry.incarnation_ },
      options_.timings_,
      options_.chooser_ != nullptr
        ? options_.chooser_(incarnations_)
        : cactusrail::MakeChooser(cactusrail::FirstFitPlacement()));
    entry.core_->SetQuotas(quotas_);
  }

  void KillEntry(const std::string& aName)
  {
    entries_.at(aName).alive_ = false;
  }

  void FreezeEntry(const std::string& aName)
  {
    entries_.at(aName).frozen_ = true;
  }

  void ThawEntry(const std::string& aName)
  {
    Entry& entry = entries_.at(aName);
    entry.frozen_ = false;
    for (const auto& event : std::exchange(entry.backlog_, {})) {
      event();
    }
  }

  Entry& EntryOf(const std::string& aName) { return entries_.at(aName); }

  void AddWorker(const std::string& aId,
                 const std::string& aRack,
                 cactusrail::Resources aCapacity)
  {
    Worker& worker = workers_[aId];
    worker.row_.id_ = aId;
    worker.row_.dataCentre_ = "dc1";
    worker.row_.rack_ = aRack;
    worker.row_.capacity_ = aCapacity;
    worker.capacity_ = aCapacity;
    worker.offset_ = options_.seed_ == 0 ? 0 : Between(0, 1000000000);
    worker.rate_ = options_.seed_ == 0 ? 1 : 0.9995 + Chance() / 1000;
    StartWorker(aId);
    At(now_, [this, aId] { TickWorker(aId); });
  }

  void StartWorker(const std::string& aId)
  {
    Worker& worker = workers_.at(aId);
    worker.alive_ = true;
    worker.frozen_ = false;
    worker.backlog_.clear();
    worker.row_.incarnation_ = ++incarnations_;
    WorkerTasks::Facts facts;
    facts.id_ = aId;
    facts.cell_ = cactusrail::CellName(worker.row_);
    facts.incarnation_ = worker.row_.incarnation_;
    facts.capacity_ = worker.capacity_;
    facts.statedCapacity_ = worker.row_.capacity_;
    facts.checksRoom_ = false;
    const std::string processId =
      aId + "#" + std::to_string(facts.incarnation_);
    worker.tasks_ = std::make_unique<WorkerTasks>(
      facts,
      [this, processId, aId](const std::string& aEvent,
                             const cactusrail::TaskRef& aTask,
                             const std::string& aDetail) {
        OnTaskEvent(processId, aId, aEvent, aTask, aDetail);
      });
    Put(cactusrail::kWorkerPrefix + aId, cactusrail::ToJson(worker.row_));
  }

  void KillWorker(const std::string& aId)
  {
    Worker& worker = workers_.at(aId);
    worker.alive_ = false;
    std::erase_if(running_,
                  [&](const auto& aRun) { return aRun.second.worker_ == aId; });
    worker.tasks_ = nullptr;
  }

  /** Replaces the registered process while the old one still runs. */
  void ReplaceWorker(const std::string& aId)
  {
    Worker& worker = workers_.at(aId);
    replacedProcesses_.push_back(std::move(worker.tasks_));
    StartWorker(aId);
  }

  void FreezeWorker(const std::string& aId) { workers_.at(aId).frozen_ = true; }

  void ThawWorker(const std::string& aId)
  {
    Worker& worker = workers_.at(aId);
    if (!worker.alive_ || !worker.frozen_) {
      return;
    }
    worker.frozen_ = false;
    worker.tasks_->Advance(WorkerClock(worker));
    CheckRunsOnce("thaw of " + aId);
    for (const auto& event : std::exchange(worker.backlog_, {})) {
      event();
    }
  }

  Worker& WorkerOf(const std::string& aId) { return workers_.at(aId); }

  // The table service.
  std::string tableMode_ = "up";
  int loseTableAnswers_ = 0;

  void SetTable(const std::string& aMode)
  {
    tableMode_ = aMode;
    past_ = rows_;
  }

  const std::map<std::string, cactusrail::TableRow>& Rows() const
  {
    return rows_;
  }

  void SetQuota(const std::string& aTenant, std::int64_t aMilliCpus)
  {
    quotas_[aTenant] = aMilliCpus;
    for (auto& [name, entry] : entries_) {
      entry.core_->SetQuotas(quotas_);
    }
  }

  // Operators.
  void Ask(const std::string& aEntry, const cactusrail::VerbRequest& aRequest)
  {
    auto session = std::make_shared<cactusrail::VerbSession>(
      aRequest, cactusrail::CreationFacts{});
    Advance(aEntry, session, aRequest, session->Begin());
  }

  /** Disables loss and delay of messages from now on. */
  void DisableMessageFaults()
  {
    options_.lossRate_ = 0;
    options_.delayRate_ = 0;
  }

  /** Checks that no task is stuck after all faults have ended. */
  void CheckNoStuckTasks()
  {
    for (const auto& [key, row] : rows_) {
      if (key.starts_with(cactusrail::kJobPrefix)) {
        const auto job = Parse<cactusrail::JobRow>(row);
        for (const auto& task : job.open_) {
          const bool held = task.state_ == cactusrail::TaskState::Held;
          if (held || (job.wanted_ == cactusrail::Wanted::Run &&
                       task.state_ == cactusrail::TaskState::Pending)) {
            Break("task " + cactusrail::TaskId(job.spec_.id_, task.index_) +
                  " is stuck");
          }
        }
      }
    }
  }

  /** Compares the verdict that explain derives from each task's row alone with
   * what really ran. */
  void CheckRecordedVerdicts()
  {
    for (const auto& [key, row] : rows_) {
      const bool over = key.starts_with(cactusrail::kDonePrefix);
      if (!over && !key.starts_with(cactusrail::kJobPrefix)) {
        continue;
      }
      const auto job = Parse<cactusrail::JobRow>(row);
      for (std::uint32_t index = 0; index < job.spec_.tasks_; ++index) {
        const auto step = cactusrail::StandingOf(job, over, index);
        const bool ran = history_[step->requestId_].starts_ > 0;
        ++recordedVerdicts_[step->verdict_];
        if (step->verdict_ ==
            (ran ? cactusrail::Verdict::DidNotRun : cactusrail::Verdict::Ran)) {
          Break("explain gives task " + step->requestId_ +
                " the wrong verdict: " +
                std::string(cactusrail::VerdictText(step->verdict_)));
        }
      }
    }
  }

  /** Returns how often explain gave each verdict. */
  const std::map<cactusrail::Verdict, std::uint64_t>& RecordedVerdicts() const
  {
    return recordedVerdicts_;
  }

  template<typename Record>
  static Record Parse(const cactusrail::TableRow& aRow)
  {
    auto parsed = cactusrail::FromJson<Record>(aRow.value_);
    if (!cactusrail::Succeeded(parsed)) {
      throw std::runtime_error(aRow.key_ + " holds '" + aRow.value_ + "'");
    }
    return std::get<Record>(std::move(parsed));
  }

private:
  struct RunningStart
  {
    std::string worker_;
    cactusrail::TaskRef task_;
  };

  struct History
  {
    std::uint64_t epoch_ = 0;
    std::uint64_t starts_ = 0;
    bool completed_ = false;
    bool resumedByOperator_ = false;
    /** Result of the last end; empty while the task runs or if its worker was
     * killed. */
    std::string end_;
    std::string checkpoint_;
  };

  cactusrail::Instant EntryClock(const Entry& aEntry) const
  {
    return cactusrail::Instant(cactusrail::Micros(
      1000000 + aEntry.offset_ +
      static_cast<Micros64>(static_cast<double>(now_) * aEntry.rate_)));
  }

  Micros64 WorkerClock(const Worker& aWorker) const
  {
    return 5000000 + aWorker.offset_ +
           static_cast<Micros64>(static_cast<double>(now_) * aWorker.rate_);
  }

  Micros64 Delay()
  {
    if (options_.seed_ == 0) {
      return 1000;
    }
    return Chance() < options_.delayRate_ ? Between(1000, 8000000)
                                          : Between(500, 20000);
  }

  bool Lost() { return options_.seed_ != 0 && Chance() < options_.lossRate_; }

  void TickEntry(const std::string& aName)
  {
    Entry& entry = entries_.at(aName);
    if (entry.alive_ && !entry.frozen_) {
      entry.core_->Tick(EntryClock(entry));
      Perform(entry);
    }
    At(now_ + options_.tick_, [this, aName] { TickEntry(aName); });
  }

  /** Simulates EntryPresence: renews the entry's row. */
  void TickPresence(const std::string& aName)
  {
    const Entry& entry = entries_.at(aName);
    if (entry.alive_ && !entry.frozen_ && tableMode_ != "down") {
      Put(cactusrail::kEntryPrefix + aName, "{}");
    }
    const auto interval = options_.timings_.entrySilence_.count() / 3;
    At(now_ + interval, [this, aName] { TickPresence(aName); });
  }

  void TickWorker(const std::string& aId)
  {
    Worker& worker = workers_.at(aId);
    if (worker.alive_ && !worker.frozen_) {
      worker.tasks_->Advance(WorkerClock(worker));
    }
    for (const auto& process : replacedProcesses_) {
      process->Advance(WorkerClock(worker));
    }
    At(now_ + 50000, [this, aId] { TickWorker(aId); });
  }

  /** Runs an event in the entry once it is not frozen. Drops the event if the
   * entry's incarnation has changed. */
  void Deliver(const std::string& aEntry,
               std::uint64_t aIncarnation,
               const std::function<void(Entry&)>& aEvent)
  {
    Entry& entry = entries_.at(aEntry);
    if (!entry.alive_ || entry.incarnation_ != aIncarnation) {
      return;
    }
    if (entry.frozen_) {
      entry.backlog_.push_back([this, aEntry, aIncarnation, aEvent] {
        Deliver(aEntry, aIncarnation, aEvent);
      });
      return;
    }
    aEvent(entry);
    Perform(entry);
  }

  void Perform(Entry& aEntry)
  {
    for (const auto& action : aEntry.core_->TakeActions()) {
      std::visit([&](const auto& aOne) { Do(aEntry, aOne); }, action);
    }
  }

  void Do(Entry& aEntry, const cactusrail::ReadRowsAction& aAction)
  {
    const auto answer = [name = aEntry.name_,
                         incarnation = aEntry.incarnation_,
                         token = aAction.token_,
                         this](const auto& aRows) {
      Deliver(name, incarnation, [this, token, aRows](Entry& aNow) {
        aNow.core_->OnRows(token, aRows, EntryClock(aNow));
      });
    };
    Read(aAction.prefix_, answer);
  }

  void Do(Entry& aEntry, const cactusrail::TransactAction& aAction)
  {
    const auto answer = [name = aEntry.name_,
                         incarnation = aEntry.incarnation_,
                         token = aAction.token_,
                         this](const auto& aOutcome) {
      Deliver(name, incarnation, [this, token, aOutcome](Entry& aNow) {
        aNow.core_->OnTransact(token, aOutcome, EntryClock(aNow));
      });
    };
    Transact(aEntry.name_, aAction.transaction_, answer);
  }

  void Do(Entry& aEntry, const cactusrail::NoteAction& aAction)
  {
    const cactusrail::RequestStep& step = aAction.step_;
    Trace(aEntry.name_ + " notes " + step.requestId_ + " " + step.step_ + " (" +
          step.detail_ +
          "): " + std::string(cactusrail::VerdictText(step.verdict_)));
    if (step.verdict_ == cactusrail::Verdict::DidNotRun &&
        history_[step.requestId_].starts_ > 0) {
      Break("task " + step.requestId_ +
            " ran, but explain reports that it did not run");
    }
  }

  void Do(Entry& aEntry, const cactusrail::CallWorkerAction& aAction)
  {
    const std::string name = aEntry.name_;
    const std::uint64_t incarnation = aEntry.incarnation_;
    const std::uint64_t token = aAction.token_;
    const auto answer = [=, this](const auto& aReport) {
      Deliver(name, incarnation, [this, token, aReport](Entry& aNow) {
        aNow.core_->OnWorker(token, aReport, EntryClock(aNow));
      });
    };
    TraceCommand(name, aAction);
    At(now_ + options_.timings_.callTimeout_.count(),
       [answer] { answer(NoAnswer<cactusrail::WorkerReport>()); });
    Worker& worker = workers_.at(aAction.workerId_);
    if (Lost() || worker.loseCalls_ > 0) {
      worker.loseCalls_ -= worker.loseCalls_ > 0 ? 1 : 0;
      return;
    }
    const auto handle =
      [this, id = aAction.workerId_, command = aAction.command_, answer] {
        HandleCommand(id, command, answer);
      };
    At(now_ + Delay(), handle);
    if (options_.seed_ != 0 && Chance() < options_.delayRate_ / 4) {
      At(now_ + Delay(), handle);
    }
  }

  void TraceCommand(const std::string& aEntry,
                    const cactusrail::CallWorkerAction& aAction)
  {
    if (!options_.traced_) {
      return;
    }
    const auto name = [](const cactusrail::TaskRef& aTask) {
      return " " + aTask.taskId_ + "/" + std::to_string(aTask.epoch_);
    };
    std::string line = aEntry + " to " + aAction.workerId_ + ": ";
    if (const auto* start =
          std::get_if<cactusrail::StartCommand>(&aAction.command_)) {
      line += "start" + name(start->task_);
    } else if (const auto* stop =
                 std::get_if<cactusrail::StopCommand>(&aAction.command_)) {
      line += "stop" + name(stop->task_);
    } else {
      const auto& renew = std::get<cactusrail::RenewCommand>(aAction.command_);
      line += "renew";
      for (const auto& task : renew.tasks_) {
        line += name(task);
      }
      for (const auto& task : renew.forget_) {
        line += ", forget" + name(task);
      }
    }
    Trace(line);
  }

  void HandleCommand(
    const std::string& aId,
    const cactusrail::WorkerCommand& aCommand,
    const std::function<
      void(const cactusrail::Result<cactusrail::WorkerReport>&)>& aAnswer)
  {
    Worker& worker = workers_.at(aId);
    if (!worker.alive_) {
      return;
    }
    if (worker.frozen_) {
      worker.backlog_.push_back([this, aId, aCommand, aAnswer] {
        HandleCommand(aId, aCommand, aAnswer);
      });
      return;
    }
    cactusrail::WorkerReport report =
      worker.tasks_->Handle(aCommand, WorkerClock(worker));
    if (!report.refused_.empty()) {
      Trace(aId + " refuses: " + report.refused_);
    }
    if (worker.reportsLess_) {
      report.running_.clear();
      report.used_ = {};
    }
    if (Lost() || worker.loseAnswers_ > 0) {
      worker.loseAnswers_ -= worker.loseAnswers_ > 0 ? 1 : 0;
      return;
    }
    At(now_ + Delay(), [aAnswer, report] { aAnswer(report); });
  }

  template<typename Value>
  static cactusrail::Result<Value> NoAnswer()
  {
    return cactusrail::Failure{ cactusrail::FailureKind::TimedOut,
                                cactusrail::Verdict::MayHaveRun,
                                "No answer was received.",
                                cactusrail::Millis(0) };
  }

  void Read(
    const std::string& aPrefix,
    const std::function<void(
      const cactusrail::Result<std::vector<cactusrail::TableRow>>&)>& aAnswer)
  {
    using RowList = std::vector<cactusrail::TableRow>;
    ++reads_;
    At(now_ + options_.timings_.tableTimeout_.count(),
       [aAnswer] { aAnswer(NoAnswer<RowList>()); });
    if (Lost()) {
      return;
    }
    At(now_ + Delay(), [this, aPrefix, aAnswer] {
      if (tableMode_ == "down") {
        return;
      }
      const auto& rows = tableMode_ == "past" ? past_ : rows_;
      RowList listing;
      for (auto row = rows.lower_bound(aPrefix);
           row != rows.end() && row->first.starts_with(aPrefix);
           ++row) {
        listing.push_back(row->second);
      }
      At(now_ + Delay(), [aAnswer, listing] { aAnswer(listing); });
    });
  }

  void Transact(
    const std::string& aWriter,
    const cactusrail::TableTransaction& aTransaction,
    const std::function<
      void(const cactusrail::Result<cactusrail::TableOutcome>&)>& aAnswer)
  {
    ++writes_;
    At(now_ + options_.timings_.tableTimeout_.count(),
       [aAnswer] { aAnswer(NoAnswer<cactusrail::TableOutcome>()); });
    if (Lost()) {
      return;
    }
    At(now_ + Delay(), [this, aWriter, aTransaction, aAnswer] {
      if (tableMode_ == "down") {
        return;
      }
      const cactusrail::TableOutcome outcome = Apply(aWriter, aTransaction);
      if (loseTableAnswers_ > 0) {
        --loseTableAnswers_;
        Trace("table loses its answer to " + aWriter);
        return;
      }
      if (!Lost()) {
        At(now_ + Delay(), [aAnswer, outcome] { aAnswer(outcome); });
      }
    });
  }

  cactusrail::TableOutcome Apply(const std::string& aWriter,
                                 const cactusrail::TableTransaction& aWrite)
  {
    cactusrail::TableOutcome outcome;
    outcome.applied_ = true;
    for (const auto& condition : aWrite.conditions_) {
      cactusrail::TableRow row;
      row.key_ = condition.key_;
      const auto found = rows_.find(condition.key_);
      if (found != rows_.end()) {
        row = found->second;
      }
      if (row.revision_ != condition.revision_) {
        outcome.applied_ = false;
        outcome.rows_.push_back(row);
      }
    }
    std::string line = aWriter + (outcome.applied_ ? " writes" : " is refused");
    for (const auto& put : aWrite.puts_) {
      line += " " + put.key_;
      cellWrites_ += put.key_.starts_with(cactusrail::kCellPrefix) ? 1 : 0;
    }
    changingWrites_ += aWrite.puts_.size() > 1 ? 1 : 0;
    Trace(line);
    if (outcome.applied_) {
      for (const auto& put : aWrite.puts_) {
        outcome.rows_.push_back({ put.key_, Put(put.key_, put.value_), "" });
      }
      for (const std::string& key : aWrite.deletes_) {
        rows_.erase(key);
      }
      CheckReservations("a write of " + aWriter);
    }
    return outcome;
  }

  std::uint64_t Put(const std::string& aKey, const std::string& aValue)
  {
    cactusrail::TableRow& row = rows_[aKey];
    row = { aKey, ++revision_, aValue };
    return row.revision_;
  }

  void Advance(const std::string& aEntry,
               const std::shared_ptr<cactusrail::VerbSession>& aSession,
               const cactusrail::VerbRequest& aRequest,
               const cactusrail::VerbStep& aStep)
  {
    if (const auto* read = std::get_if<cactusrail::VerbRead>(&aStep)) {
      auto open = std::make_shared<bool>(true);
      Read(read->prefix_, [=, this](const auto& aRows) {
        if (std::exchange(*open, false)) {
          Advance(aEntry, aSession, aRequest, aSession->OnRows(aRows));
        }
      });
      return;
    }
    if (const auto* write = std::get_if<cactusrail::VerbWrite>(&aStep)) {
      auto open = std::make_shared<bool>(true);
      Transact("operator at " + aEntry,
               write->transaction_,
               [=, this](const auto& aOutcome) {
                 if (std::exchange(*open, false)) {
                   Advance(
                     aEntry, aSession, aRequest, aSession->OnWritten(aOutcome));
                 }
               });
      return;
    }
    Answered(aRequest, std::get<cactusrail::VerbAnswer>(aStep));
  }

  void Answered(const cactusrail::VerbRequest& aRequest,
                const cactusrail::VerbAnswer& aAnswer)
  {
    const std::string id = aRequest.operationId_;
    std::string line = "operation " + id + " " + aRequest.verb_ + " " +
                       aRequest.selector_ + ": " +
                       std::to_string(aAnswer.status_) + " " + aAnswer.message_;
    std::string jobs;
    for (const auto& job : aAnswer.operation_.jobs_) {
      jobs += job.jobId_ + ": " + job.outcome_ + " ";
    }
    Trace(line + jobs);
    if (aAnswer.status_ != 200) {
      return;
    }
    const auto [first, isNew] = answers_.try_emplace(id, jobs);
    if (!isNew && first->second != jobs) {
      Break("operation " + id + " was answered twice, differently");
    }
  }

  // The promises.
  void OnTaskEvent(const std::string& aProcessId,
                   const std::string& aWorker,
                   const std::string& aEvent,
                   const cactusrail::TaskRef& aTask,
                   const std::string& aDetail)
  {
    const std::string run =
      aProcessId + " " + aTask.taskId_ + "/" + std::to_string(aTask.epoch_);
    Trace(aProcessId + " " + aEvent + " " + aTask.taskId_ + "/" +
          std::to_string(aTask.epoch_) + " " + aDetail);
    History& history = history_[aTask.taskId_];
    if (aEvent == "ended") {
      running_.erase(run);
      if (aTask.epoch_ == history.epoch_) {
        const std::size_t space = std::min(aDetail.find(' '), aDetail.size());
        history.end_ = aDetail.substr(0, space);
        history.checkpoint_ =
          space < aDetail.size() ? aDetail.substr(space + 1) : "";
        history.completed_ = history.completed_ || history.end_ == "completed";
      }
      return;
    }
    ++starts_;
    CheckStart(aTask, aDetail, history);
    ++history.starts_;
    history.epoch_ = aTask.epoch_;
    history.end_.clear();
    running_[run] = { aWorker, aTask };
    CheckRunsOnce("start of " + run);
    CheckReservations("start of " + run);
  }

  void CheckStart(const cactusrail::TaskRef& aTask,
                  const std::string& aCheckpoint,
                  const History& aHistory)
  {
    const std::string id = aTask.taskId_;
    if (aTask.epoch_ <= aHistory.epoch_) {
      Break("task " + id + " started again under an old epoch");
    }
    if (aHistory.starts_ == 0) {
      return;
    }
    if (aCheckpoint != RecordedCheckpoint(aTask)) {
      Break("task " + id + " resumed from '" + aCheckpoint +
            "', which is not what the table records");
    }
    const cactusrail::JobSpec spec = SpecOf(id);
    const bool stoppedWithCheckpoint =
      aHistory.end_ == "stopped" && !aCheckpoint.empty();
    const bool idempotent = spec.idempotent_ || resumedJobs_.contains(spec.id_);
    // Idempotent work may run again if its worker was killed before it reported
    // the end. Once the end is recorded, CheckReservations detects such a
    // start.
    if (aHistory.completed_ && !idempotent) {
      Break("task " + id + " had completed and was started again");
    }
    if (!idempotent && !stoppedWithCheckpoint) {
      Break("task " + id + " may have run (" + aHistory.end_ +
            ") and was started again");
    }
    // Idempotent work may resume from an earlier checkpoint if its worker was
    // killed before it reported the stop.
    if (!idempotent && aCheckpoint != aHistory.checkpoint_) {
      Break("task " + id + " resumed from '" + aCheckpoint +
            "', not from the checkpoint that its stop took");
    }
  }

  std::string RecordedCheckpoint(const cactusrail::TaskRef& aTask) const
  {
    const std::size_t dot = aTask.taskId_.rfind('.');
    const auto row =
      rows_.find(cactusrail::kJobPrefix + aTask.taskId_.substr(0, dot));
    if (row == rows_.end()) {
      return "no such job";
    }
    for (const auto& task : Parse<cactusrail::JobRow>(row->second).open_) {
      if (std::to_string(task.index_) == aTask.taskId_.substr(dot + 1)) {
        return task.epoch_ == aTask.epoch_ ? task.checkpoint_ : "other epoch";
      }
    }
    return "no such task";
  }

  cactusrail::JobSpec SpecOf(const std::string& aTaskId) const
  {
    const std::string job = aTaskId.substr(0, aTaskId.rfind('.'));
    for (const char* prefix :
         { cactusrail::kJobPrefix, cactusrail::kDonePrefix }) {
      const auto row = rows_.find(prefix + job);
      if (row != rows_.end()) {
        return Parse<cactusrail::JobRow>(row->second).spec_;
      }
    }
    return {};
  }

  bool IsFrozen(const std::string& aWorker) const
  {
    const auto worker = workers_.find(aWorker);
    return worker != workers_.end() && worker->second.frozen_;
  }

  void CheckRunsOnce(const std::string& aWhen)
  {
    std::set<std::string> tasks;
    for (const auto& [run, facts] : running_) {
      if (!IsFrozen(facts.worker_) &&
          !tasks.insert(facts.task_.taskId_).second) {
        Break("task " + facts.task_.taskId_ + " runs in two places at " +
              aWhen);
      }
    }
  }

  /** Checks that every running task has a reservation and that the reservations
   * fit the workers' capacities and the tenants' quotas. */
  void CheckReservations(const std::string& aWhen)
  {
    std::set<std::string> counted;
    std::map<std::string, cactusrail::Resources> reserved;
    std::map<std::string, std::int64_t> byTenant;
    for (auto row = rows_.lower_bound(cactusrail::kCellPrefix);
         row != rows_.end() && row->first.starts_with(cactusrail::kCellPrefix);
         ++row) {
      const auto cell = Parse<cactusrail::CellRow>(row->second);
      for (const auto& one : cell.reservations_) {
        counted.insert(one.workerId_ + " " +
                       cactusrail::TaskId(one.jobId_, one.index_) + "/" +
                       std::to_string(one.epoch_));
        reserved[one.workerId_] += one.resources_;
        byTenant[one.tenant_] += one.resources_.milliCpus_;
      }
    }
    for (const auto& [tenant, quota] : quotas_) {
      if (byTenant[tenant] > quota) {
        Break("tenant ", tenant, " holds more than its quota at ", aWhen);
      }
    }
    for (const auto& [id, taken] : reserved) {
      if (!taken.FitsIn(workers_.at(id).capacity_, {})) {
        Break("worker ", id, " has reservations above its capacity at ", aWhen);
      }
    }
    for (const auto& [run, facts] : running_) {
      const std::string key = facts.worker_ + " " + facts.task_.taskId_ + "/" +
                              std::to_string(facts.task_.epoch_);
      if (!IsFrozen(facts.worker_) && !counted.contains(key)) {
        Break("task ", key, " runs without a reservation at ", aWhen);
      }
    }
  }

public:
  /** Jobs whose parked tasks an operator has restarted. */
  std::set<std::string> resumedJobs_;

private:
  Options options_;
  std::mt19937 random_;
  Micros64 now_ = 0;
  std::uint64_t sequence_ = 0;
  std::map<std::pair<Micros64, std::uint64_t>, std::function<void()>> events_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, Worker> workers_;
  std::vector<std::unique_ptr<WorkerTasks>> replacedProcesses_;
  std::map<std::string, cactusrail::TableRow> rows_;
  std::map<std::string, cactusrail::TableRow> past_;
  std::map<std::string, std::int64_t> quotas_;
  std::uint64_t revision_ = 0;
  std::uint64_t incarnations_ = 100;
  std::map<std::string, RunningStart> running_;
  std::map<std::string, History> history_;
  std::map<std::string, std::string> answers_;
  std::map<cactusrail::Verdict, std::uint64_t> recordedVerdicts_;
  std::vector<std::string> broken_;
  std::string transcript_;
  std::uint64_t starts_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t cellWrites_ = 0;
  std::uint64_t changingWrites_ = 0;
  std::uint64_t reads_ = 0;
};
