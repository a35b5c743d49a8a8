#include "Process/SchedulerCore.h"

#include "Process/SchedulerWorkers.h"
#include "Version/CellLedger.h"
#include "Version/JobLedger.h"
#include "Version/JsonText.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>

namespace cactusrail {

namespace {

constexpr std::size_t kMaxPlacementsPerWrite = 64;
constexpr Millis kCommandRetryInterval{ 500 };
/** Number of missed poll intervals after which the table counts as having been
 * down. */
constexpr int kMaxMissedPolls = 4;
constexpr std::array<const char*, 4> kPolled{ kWorkerPrefix,
                                              kCellPrefix,
                                              kJobPrefix,
                                              kEntryPrefix };

/** Returns the FNV-1a hash of both strings, which is the same in every process
 * and build. */
std::uint64_t
StableHash(std::string_view aFirst, std::string_view aSecond)
{
  std::uint64_t hash = 14695981039346656037ULL;
  for (const std::string_view text : { aFirst, aSecond }) {
    for (const char letter : text) {
      hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
    }
    hash *= 1099511628211ULL;
  }
  hash ^= hash >> 29U;
  hash *= 0xbf58476d1ce4e5b9ULL;
  return hash ^ (hash >> 32U);
}

TaskRef
RefOf(const Reservation& aReservation)
{
  return { TaskId(aReservation.jobId_, aReservation.index_),
           aReservation.epoch_ };
}

Resources
Larger(const Resources& aLeft, const Resources& aRight)
{
  return { std::max(aLeft.milliCpus_, aRight.milliCpus_),
           std::max(aLeft.memoryMb_, aRight.memoryMb_),
           std::max(aLeft.accelerators_, aRight.accelerators_) };
}

/** An owner's state of a started task, in addition to the reservation. */
struct HeldTask
{
  /** Whether the worker has reported the task as running. */
  bool acknowledged_ = false;
  /** Whether any owner may have sent a start command. */
  bool granted_ = false;
  /** Time at which the worker's clock has certainly passed every deadline that
   * this entry granted. */
  Instant ownGrantEnd_;
  /** Same as ownGrantEnd_, for deadlines that earlier owners may have granted.
   */
  Instant foreignGrantEnd_;
  std::optional<EndedTask> ended_;
  std::string checkpoint_;
  bool evict_ = false;
  /** Whether the end of the task is in the journal. */
  bool endJournaled_ = false;
  /** Earliest time to repeat a start or stop command. */
  Instant nextCommandAt_;
};

struct JobView
{
  JobRow row_;
  std::uint64_t revision_ = 0;
  Instant updatedAt_;
  /** Whether a write of this entry that changes the job is in flight. */
  bool busy_ = false;
};

struct EntryView
{
  std::uint64_t revision_ = 0;
  Instant changedAt_;
};

struct CellView
{
  CellView(const EntryIdentity& aSelf, const WorkTimings& aTimings)
    : lease_(aSelf, aTimings)
  {
  }

  CellLease lease_;
  std::map<TaskRef, HeldTask> held_;
  /** Tasks removed by a write that is not known to have failed. They get no
   * further grant, because the task may already run elsewhere. */
  std::set<TaskRef> releasing_;
  std::uint64_t heldEpoch_ = 0;
  Instant preferredElsewhereSince_;
  bool preferredHere_ = true;
};

struct PendingRead
{
  std::string prefix_;
  Instant sentAt_;
};

/** Write of a cell's row together with the jobs that it changes. */
struct PendingWrite
{
  std::string cell_;
  CellRow next_;
  std::map<std::string, JobRow> jobs_;
  std::vector<TaskRef> placed_;
  std::vector<std::pair<TaskRef, RequestStep>> placementSteps_;
  std::uint64_t releases_ = 0;
  std::uint64_t losses_ = 0;
  Instant sentAt_;
};

struct PendingCall
{
  std::string worker_;
  std::string cell_;
  std::uint64_t cellEpoch_ = 0;
};

RequestStep
MakeTaskStep(const TaskRef& aTask,
             std::string aStep,
             Verdict aVerdict,
             std::string aDetail)
{
  RequestStep note;
  note.requestId_ = aTask.taskId_;
  note.step_ = std::move(aStep);
  note.verdict_ = aVerdict;
  note.conclusive_ = true;
  note.detail_ =
    "epoch " + std::to_string(aTask.epoch_) + ", " + std::move(aDetail);
  return note;
}

}

class SchedulerCore::Private
{
public:
  Private(EntryIdentity aSelf,
          const WorkTimings& aTimings,
          std::unique_ptr<PlacementChooser> aChooser)
    : self_(std::move(aSelf))
    , timings_(aTimings)
    , chooser_(std::move(aChooser))
  {
  }

  // Reads of the table.
  void Poll(Instant aNow);
  void ApplyWorkerRows(const std::vector<TableRow>& aRows);
  void ApplyCellRows(const std::vector<TableRow>& aRows,
                     bool aCertain,
                     Instant aNow);
  void RestartWatchAfterOutage(Instant aNow);
  void ApplyJobRows(const std::vector<TableRow>& aRows,
                    Instant aSentAt,
                    Instant aNow);
  void ApplyJobRow(const TableRow& aRow, bool aCertain, Instant aNow);
  void ApplyEntryRows(const std::vector<TableRow>& aRows, Instant aNow);
  CellView& CellOf(const std::string& aName);
  void Sync(CellView& aCell, const std::vector<TaskRef>* aPlaced, Instant aNow);

  // Ownership of cells.
  std::size_t RankFor(const std::string& aCell,
                      Micros aTimeout,
                      Instant aNow) const;
  void UpdateCell(const std::string& aName, CellView& aCell, Instant aNow);
  void AcquireCell(const std::string& aName, CellView& aCell, Instant aNow);
  bool ShouldHandOver(const std::string& aName, CellView& aCell, Instant aNow);
  void Write(const std::string& aName, CellView& aCell, Instant aNow);
  void Send(PendingWrite aWrite, CellView& aCell, Instant aNow);
  void FinishWrite(const PendingWrite& aWrite,
                   const Result<TableOutcome>& aOutcome,
                   Instant aNow);
  void Apply(const PendingWrite& aWrite,
             const TableOutcome& aOutcome,
             Instant aNow);

  // End and placement of tasks.
  void CollectEnds(CellView& aCell,
                   CellLedger& aLedger,
                   PendingWrite& aWrite,
                   Instant aNow);
  void JournalEnd(const TaskRef& aRef,
                  const Reservation& aReservation,
                  TaskEnd aEnd,
                  const std::string& aCheckpoint,
                  Verdict aVerdict,
                  CellView& aCell);
  std::optional<TaskEnd> EndOf(const CellView& aCell,
                               const Reservation& aReservation,
                               Instant aNow) const;
  void CollectPlacements(const std::string& aName,
                         CellView& aCell,
                         CellLedger& aLedger,
                         PendingWrite& aWrite,
                         Instant aNow);
  bool PlaceTask(const std::string& aName,
                 std::vector<WorkerFacts>& aFacts,
                 CellLedger& aLedger,
                 JobLedger& aJob,
                 PendingWrite& aWrite,
                 Instant aNow);
  std::vector<WorkerFacts> FactsFor(const std::string& aCell,
                                    const CellView& aView,
                                    const CellLedger& aLedger,
                                    Instant aNow) const;
  bool WithinQuota(const JobSpec& aSpec,
                   const std::string& aCell,
                   const CellLedger& aLedger) const;
  JobRow* JobFor(PendingWrite& aWrite, const std::string& aJobId);
  std::vector<std::string> JobsInOrder(const std::string& aCell) const;

  // Commands to workers.
  void CommandWorkers(const std::string& aName, CellView& aCell, Instant aNow);
  void CommandWorker(const std::string& aName,
                     CellView& aCell,
                     WorkerView& aWorker,
                     Instant aNow);
  std::optional<WorkerCommand> NextStop(CellView& aCell,
                                        WorkerView& aWorker,
                                        Instant aNow);
  std::optional<WorkerCommand> NextStart(CellView& aCell,
                                         WorkerView& aWorker,
                                         Instant aNow);
  WorkerCommand Renewal(CellView& aCell, WorkerView& aWorker);
  void HandleReport(const PendingCall& aCall,
                    const WorkerReport& aReport,
                    Instant aNow);
  void HandleTaskReport(CellView& aCell,
                        const Reservation& aReservation,
                        const WorkerView& aWorker,
                        Instant aNow);
  void ForwardUsage(const CellRow& aRow,
                    const WorkerView& aWorker,
                    Instant aNow);
  bool ShouldStop(const CellView& aCell,
                  const Reservation& aReservation,
                  const HeldTask& aHeld) const;
  CommandOrigin OriginFor(const std::string& aCell,
                          const CellView& aView,
                          const WorkerView& aWorker) const;
  Instant GrantLimit(const CellView& aCell) const;

  EntryIdentity self_;
  WorkTimings timings_;
  std::unique_ptr<PlacementChooser> chooser_;
  std::vector<SchedulerAction> actions_;
  std::uint64_t nextToken_ = 1;
  std::map<std::uint64_t, PendingRead> reads_;
  std::map<std::uint64_t, PendingWrite> writes_;
  std::map<std::uint64_t, PendingCall> calls_;
  std::map<std::string, WorkerView> workers_;
  std::map<std::string, std::uint64_t> workerRevisions_;
  std::map<std::string, std::unique_ptr<CellView>> cells_;
  std::map<std::string, JobView> jobs_;
  std::map<std::string, EntryView> entries_;
  std::map<std::string, std::int64_t> quotas_;
  bool handingOver_ = false;
  Instant pollAt_;
  Instant cellsReadAt_;
  SchedulerCounts counts_;
};

void
SchedulerCore::Private::Poll(Instant aNow)
{
  if (aNow < pollAt_ || !reads_.empty()) {
    return;
  }
  pollAt_ = aNow + timings_.pollInterval_;
  for (const char* prefix : kPolled) {
    const std::uint64_t token = nextToken_++;
    reads_[token] = { prefix, aNow };
    actions_.emplace_back(ReadRowsAction{ token, prefix });
    ++counts_.tableReads_;
  }
}

void
SchedulerCore::Private::ApplyWorkerRows(const std::vector<TableRow>& aRows)
{
  for (const TableRow& row : aRows) {
    std::uint64_t& known = workerRevisions_[row.key_];
    if (row.revision_ <= known) {
      continue;
    }
    known = row.revision_;
    const Result<WorkerRow> parsed = FromJson<WorkerRow>(row.value_);
    if (const auto* worker = std::get_if<WorkerRow>(&parsed)) {
      workers_[worker->id_].row_ = *worker;
      CellOf(CellName(*worker));
    }
  }
}

CellView&
SchedulerCore::Private::CellOf(const std::string& aName)
{
  std::unique_ptr<CellView>& cell = cells_[aName];
  if (cell == nullptr) {
    cell = std::make_unique<CellView>(self_, timings_);
  }
  return *cell;
}

void
SchedulerCore::Private::ApplyCellRows(const std::vector<TableRow>& aRows,
                                      bool aCertain,
                                      Instant aNow)
{
  const std::size_t prefix = std::string_view(kCellPrefix).size();
  for (const TableRow& row : aRows) {
    CellView& cell = CellOf(row.key_.substr(prefix));
    if (!aCertain && row.revision_ <= cell.lease_.Revision()) {
      continue;
    }
    const Result<CellRow> parsed = FromJson<CellRow>(row.value_);
    if (const auto* value = std::get_if<CellRow>(&parsed)) {
      if (cell.lease_.Observe(*value, row.revision_, aCertain, aNow)) {
        cell.releasing_.clear();
        Sync(cell, nullptr, aNow);
      }
    }
  }
}

/** Restarts the lease periods of the cells after an outage of the table. During
 * an outage no owner renews its row. Acquiring the cells at once would change
 * all owners, and each new owner would wait until the former owner's grants
 * expire. The owners therefore get a whole lease to renew first. */
void
SchedulerCore::Private::RestartWatchAfterOutage(Instant aNow)
{
  if (aNow > cellsReadAt_ + kMaxMissedPolls * timings_.pollInterval_) {
    for (const auto& [name, cell] : cells_) {
      cell->lease_.RestartExpiryWait(aNow);
    }
  }
  cellsReadAt_ = aNow;
}

void
SchedulerCore::Private::Sync(CellView& aCell,
                             const std::vector<TaskRef>* aPlaced,
                             Instant aNow)
{
  if (!aCell.lease_.Owned()) {
    aCell.held_.clear();
    return;
  }
  std::map<TaskRef, HeldTask> held;
  const CellRow& row = aCell.lease_.Row();
  // The grants of earlier owners have expired by this time: an owner grants
  // nothing beyond its own lease plus the grace period, and the earlier lease
  // began before this write.
  const Instant foreign =
    aNow + timings_.cellLease_ + timings_.ownerGrace_ + timings_.margin_;
  for (const Reservation& reservation : row.reservations_) {
    const TaskRef ref = RefOf(reservation);
    const auto known = aCell.held_.find(ref);
    if (known != aCell.held_.end()) {
      held[ref] = known->second;
      continue;
    }
    HeldTask task;
    task.checkpoint_ = reservation.checkpoint_;
    const bool fresh =
      aPlaced != nullptr &&
      std::find(aPlaced->begin(), aPlaced->end(), ref) != aPlaced->end();
    if (!fresh) {
      task.granted_ = true;
      task.foreignGrantEnd_ = foreign;
    }
    held[ref] = task;
  }
  aCell.held_ = std::move(held);
}

void
SchedulerCore::Private::ApplyJobRow(const TableRow& aRow,
                                    bool aCertain,
                                    Instant aNow)
{
  const std::string id = aRow.key_.substr(std::string_view(kJobPrefix).size());
  if (aRow.revision_ == 0) {
    jobs_.erase(id);
    return;
  }
  const auto known = jobs_.find(id);
  const bool newer =
    known == jobs_.end() || aRow.revision_ > known->second.revision_;
  if (!newer && !aCertain) {
    return;
  }
  const Result<JobRow> parsed = FromJson<JobRow>(aRow.value_);
  if (const auto* row = std::get_if<JobRow>(&parsed)) {
    JobView& job = jobs_[id];
    job.row_ = *row;
    job.revision_ = aRow.revision_;
    job.updatedAt_ = aNow;
  }
}

void
SchedulerCore::Private::ApplyJobRows(const std::vector<TableRow>& aRows,
                                     Instant aSentAt,
                                     Instant aNow)
{
  std::set<std::string> listed;
  for (const TableRow& row : aRows) {
    listed.insert(row.key_.substr(std::string_view(kJobPrefix).size()));
    ApplyJobRow(row, false, aNow);
  }
  std::erase_if(jobs_, [&](const auto& aJob) {
    const JobView& view = aJob.second;
    return !listed.contains(aJob.first) && !view.busy_ &&
           view.updatedAt_ < aSentAt;
  });
}

void
SchedulerCore::Private::ApplyEntryRows(const std::vector<TableRow>& aRows,
                                       Instant aNow)
{
  for (const TableRow& row : aRows) {
    const std::string name =
      row.key_.substr(std::string_view(kEntryPrefix).size());
    EntryView& entry = entries_[name];
    if (row.revision_ > entry.revision_) {
      entry = { row.revision_, aNow };
    }
  }
}

/** Returns the number of live entries that rank before this one for the cell.
 * Rendezvous hashing distributes the cells and moves few of them when an entry
 * joins or leaves. */
std::size_t
SchedulerCore::Private::RankFor(const std::string& aCell,
                                Micros aTimeout,
                                Instant aNow) const
{
  const std::uint64_t mine = StableHash(self_.name_, aCell);
  std::size_t rank = 0;
  for (const auto& [name, entry] : entries_) {
    const bool live = aNow < entry.changedAt_ + aTimeout;
    if (live && name != self_.name_ && StableHash(name, aCell) > mine) {
      ++rank;
    }
  }
  return rank;
}

void
SchedulerCore::Private::UpdateCell(const std::string& aName,
                                   CellView& aCell,
                                   Instant aNow)
{
  if (!aCell.lease_.Owned()) {
    if (!handingOver_ &&
        aCell.lease_.MayTake(RankFor(aName, timings_.entryTimeout_, aNow),
                             aNow)) {
      AcquireCell(aName, aCell, aNow);
    }
    return;
  }
  if (aCell.lease_.MayWrite(aNow)) {
    Write(aName, aCell, aNow);
  }
  if (aCell.lease_.Owned()) {
    CommandWorkers(aName, aCell, aNow);
  }
}

void
SchedulerCore::Private::AcquireCell(const std::string& aName,
                                    CellView& aCell,
                                    Instant aNow)
{
  aCell.preferredHere_ = true;
  PendingWrite write;
  write.cell_ = aName;
  write.next_ = aCell.lease_.Stamp(aCell.lease_.Row(), true);
  Send(std::move(write), aCell, aNow);
}

bool
SchedulerCore::Private::ShouldHandOver(const std::string& aName,
                                       CellView& aCell,
                                       Instant aNow)
{
  if (handingOver_) {
    return true;
  }
  // The row of a dead entry remains for a while. Handing a cell back to that
  // entry would repeatedly leave the cell without an owner, so only fresh rows
  // count.
  const bool here = RankFor(aName, timings_.entryMaxAge_, aNow) == 0;
  if (here || aCell.preferredHere_) {
    aCell.preferredElsewhereSince_ = aNow;
  }
  aCell.preferredHere_ = here;
  return !here &&
         aNow >= aCell.preferredElsewhereSince_ + timings_.handOverDelay_;
}

void
SchedulerCore::Private::Write(const std::string& aName,
                              CellView& aCell,
                              Instant aNow)
{
  PendingWrite write;
  write.cell_ = aName;
  CellLedger ledger(aCell.lease_.Row());
  const bool handOver = ShouldHandOver(aName, aCell, aNow);
  CollectEnds(aCell, ledger, write, aNow);
  if (!handOver) {
    CollectPlacements(aName, aCell, ledger, write, aNow);
  }
  const bool changed = !write.jobs_.empty();
  if (!changed && !handOver && !aCell.lease_.RenewalDue(aNow)) {
    return;
  }
  for (Reservation& reservation : ledger.Row().reservations_) {
    const auto held = aCell.held_.find(RefOf(reservation));
    if (held != aCell.held_.end()) {
      reservation.checkpoint_ = held->second.checkpoint_;
    }
  }
  write.next_ = aCell.lease_.Stamp(ledger.Row(), false);
  if (handOver) {
    write.next_.owner_.clear();
  }
  Send(std::move(write), aCell, aNow);
}

void
SchedulerCore::Private::Send(PendingWrite aWrite, CellView& aCell, Instant aNow)
{
  const std::string key = kCellPrefix + aWrite.cell_;
  TableTransaction transaction;
  transaction.conditions_.push_back({ key, aCell.lease_.Revision() });
  transaction.puts_.push_back({ key, ToJson(aWrite.next_) });
  for (const auto& [id, row] : aWrite.jobs_) {
    JobView& job = jobs_[id];
    job.busy_ = true;
    transaction.conditions_.push_back({ kJobPrefix + id, job.revision_ });
    if (JobLedger(row).IsOver()) {
      transaction.deletes_.push_back(kJobPrefix + id);
      transaction.puts_.push_back({ kDonePrefix + id, ToJson(row) });
    } else {
      transaction.puts_.push_back({ kJobPrefix + id, ToJson(row) });
    }
  }
  const std::uint64_t token = nextToken_++;
  aWrite.sentAt_ = aNow;
  aCell.lease_.WriteSent(aWrite.next_, aNow);
  writes_[token] = std::move(aWrite);
  actions_.emplace_back(TransactAction{ token, std::move(transaction) });
  ++counts_.tableWrites_;
}

JobRow*
SchedulerCore::Private::JobFor(PendingWrite& aWrite, const std::string& aJobId)
{
  const auto changed = aWrite.jobs_.find(aJobId);
  if (changed != aWrite.jobs_.end()) {
    return &changed->second;
  }
  const auto known = jobs_.find(aJobId);
  if (known == jobs_.end() || known->second.busy_) {
    return nullptr;
  }
  return &known->second.row_;
}

std::optional<TaskEnd>
SchedulerCore::Private::EndOf(const CellView& aCell,
                              const Reservation& aReservation,
                              Instant aNow) const
{
  const HeldTask& held = aCell.held_.at(RefOf(aReservation));
  if (held.ended_.has_value()) {
    switch (held.ended_->result_) {
      case EndResult::Completed:
        return TaskEnd::Completed;
      case EndResult::Failed:
        return TaskEnd::Failed;
      case EndResult::Stopped:
        return TaskEnd::Stopped;
      case EndResult::NeverStarted:
        return TaskEnd::NeverStarted;
      default:
        return TaskEnd::Lost;
    }
  }
  // An owner that was frozen past its lease must not report "never started" or
  // "lost" for a task that another entry may run since; it must renew its
  // lease first.
  if (!aCell.lease_.MayAct(aNow)) {
    return std::nullopt;
  }
  if (!held.granted_) {
    const auto worker = workers_.find(aReservation.workerId_);
    const bool there =
      worker != workers_.end() && worker->second.IsUsable(timings_, aNow) &&
      worker->second.Incarnation() == aReservation.workerIncarnation_;
    const auto job = jobs_.find(aReservation.jobId_);
    const bool wanted =
      job == jobs_.end() || job->second.row_.wanted_ == Wanted::Run;
    return there && wanted && !held.evict_
             ? std::nullopt
             : std::optional(TaskEnd::NeverStarted);
  }
  // An unresponsive worker may be frozen or partitioned while the task still
  // runs. The worker stops the task by its own clock at the last deadline that
  // any owner granted. Only after all deadlines are the resources free and the
  // outcome of the task final.
  if (aNow > std::max(held.ownGrantEnd_, held.foreignGrantEnd_)) {
    return TaskEnd::Lost;
  }
  return std::nullopt;
}

void
SchedulerCore::Private::CollectEnds(CellView& aCell,
                                    CellLedger& aLedger,
                                    PendingWrite& aWrite,
                                    Instant aNow)
{
  for (const Reservation& reservation : aCell.lease_.Row().reservations_) {
    const std::optional<TaskEnd> end = EndOf(aCell, reservation, aNow);
    JobRow* row =
      end.has_value() ? JobFor(aWrite, reservation.jobId_) : nullptr;
    if (row == nullptr) {
      continue;
    }
    const TaskRef ref = RefOf(reservation);
    const HeldTask& held = aCell.held_.at(ref);
    const std::string checkpoint =
      held.ended_.has_value() ? held.ended_->checkpoint_ : held.checkpoint_;
    JobLedger job(*row);
    const TaskRecord* before = job.Find(reservation.index_);
    const Verdict earlier =
      before == nullptr ? Verdict::DidNotRun : before->verdict_;
    const Verdict verdict = EndVerdict(*end, held.acknowledged_);
    job.End(reservation.index_, reservation.epoch_, *end, verdict, checkpoint);
    aLedger.Release(reservation.jobId_, reservation.index_, reservation.epoch_);
    aWrite.jobs_[reservation.jobId_] = job.Row();
    aCell.releasing_.insert(ref);
    ++aWrite.releases_;
    aWrite.losses_ += *end == TaskEnd::Lost ? 1 : 0;
    JournalEnd(ref,
               reservation,
               *end,
               checkpoint,
               CombineVerdicts(earlier, verdict),
               aCell);
  }
}

void
SchedulerCore::Private::JournalEnd(const TaskRef& aRef,
                                   const Reservation& aReservation,
                                   TaskEnd aEnd,
                                   const std::string& aCheckpoint,
                                   Verdict aVerdict,
                                   CellView& aCell)
{
  // Add the step before the write, while no other entry can have started the
  // task: after the write, "never started" may no longer be true.
  if (std::exchange(aCell.held_.at(aRef).endJournaled_, true)) {
    return;
  }
  std::string detail = "worker " + aReservation.workerId_;
  if (!aCheckpoint.empty()) {
    detail += ", checkpoint " + aCheckpoint;
  }
  actions_.emplace_back(AddStepAction{
    MakeTaskStep(aRef, std::string(TaskEndText(aEnd)), aVerdict, detail) });
}

std::vector<std::string>
SchedulerCore::Private::JobsInOrder(const std::string& aCell) const
{
  std::vector<std::string> ids;
  for (const auto& [id, job] : jobs_) {
    if (!job.busy_ && JobLedger(job.row_).NextPending().has_value()) {
      ids.push_back(id);
    }
  }
  // Place services first. Within each group, every cell uses a different order,
  // so that owners seldom write the row of the same job at the same time.
  const auto key = [this, &aCell](const std::string& aId) {
    const bool urgent = jobs_.at(aId).row_.spec_.kind_ == WorkKind::Service;
    return std::pair(urgent ? 0 : 1, StableHash(aId, aCell));
  };
  std::sort(
    ids.begin(), ids.end(), [&key](const auto& aLeft, const auto& aRight) {
      return key(aLeft) < key(aRight);
    });
  return ids;
}

std::vector<WorkerFacts>
SchedulerCore::Private::FactsFor(const std::string& aCell,
                                 const CellView& aView,
                                 const CellLedger& aLedger,
                                 Instant aNow) const
{
  std::vector<WorkerFacts> facts;
  for (const auto& [id, worker] : workers_) {
    if (CellName(worker.row_) != aCell) {
      continue;
    }
    WorkerFacts fact;
    fact.workerId_ = id;
    fact.dataCentre_ = worker.row_.dataCentre_;
    fact.rack_ = worker.row_.rack_;
    fact.capacity_ = worker.Capacity();
    fact.reportedAt_ = worker.reportArrivedAt_;
    fact.cordoned_ = !worker.IsUsable(timings_, aNow) ||
                     worker.fencedEpoch_ != aView.lease_.Row().epoch_;
    Resources unreported;
    for (const Reservation& reservation : aLedger.Row().reservations_) {
      if (reservation.workerId_ != id) {
        continue;
      }
      fact.reserved_ += reservation.resources_;
      fact.programs_.push_back(reservation.program_);
      fact.urgentTasks_ += reservation.kind_ == WorkKind::Service ? 1 : 0;
      const auto held = aView.held_.find(RefOf(reservation));
      if (held == aView.held_.end() || !held->second.acknowledged_) {
        unreported += reservation.resources_;
      }
    }
    if (worker.report_.has_value()) {
      fact.used_ = worker.report_->used_;
    }
    // Reported usage lags, and declared sizes are inaccurate. Count the larger
    // of the reservations and the measured usage, to which the reservations
    // that the measurement can't include yet are added.
    unreported += fact.used_;
    fact.reserved_ = Larger(fact.reserved_, unreported);
    facts.push_back(std::move(fact));
  }
  return facts;
}

bool
SchedulerCore::Private::WithinQuota(const JobSpec& aSpec,
                                    const std::string& aCell,
                                    const CellLedger& aLedger) const
{
  const auto quota = quotas_.find(aSpec.tenant_);
  if (quota == quotas_.end()) {
    return true;
  }
  std::map<std::string, std::int64_t> held;
  const auto count = [&](const std::string& aName, const CellRow& aRow) {
    std::int64_t sum = 0;
    for (const Reservation& reservation : aRow.reservations_) {
      const bool same = reservation.tenant_ == aSpec.tenant_;
      sum += same ? reservation.resources_.milliCpus_ : 0;
    }
    held[aName] = std::max(held[aName], sum);
  };
  count(aCell, aLedger.Row());
  for (const auto& [name, cell] : cells_) {
    if (name != aCell) {
      count(name, cell->lease_.Row());
    }
  }
  // A write in flight may already be applied, so count the larger of both.
  for (const auto& [token, write] : writes_) {
    if (write.cell_ != aCell) {
      count(write.cell_, write.next_);
    }
  }
  std::int64_t total = aSpec.declared_.milliCpus_;
  for (const auto& [name, sum] : held) {
    total += sum;
  }
  return total <= quota->second;
}

bool
SchedulerCore::Private::PlaceTask(const std::string& aName,
                                  std::vector<WorkerFacts>& aFacts,
                                  CellLedger& aLedger,
                                  JobLedger& aJob,
                                  PendingWrite& aWrite,
                                  Instant aNow)
{
  const std::optional<PendingTask> pending = aJob.NextPending();
  const JobSpec& spec = aJob.Row().spec_;
  if (!pending.has_value() || !WithinQuota(spec, aName, aLedger)) {
    return false;
  }
  const TaskFacts task{ TaskId(spec.id_, pending->index_),
                        spec.tenant_,
                        spec.program_,
                        spec.kind_,
                        spec.declared_ };
  const std::optional<std::size_t> chosen =
    chooser_->Choose(task, aFacts, aNow);
  if (!chosen.has_value()) {
    return false;
  }
  WorkerFacts& worker = aFacts[*chosen];
  Reservation reservation;
  reservation.jobId_ = spec.id_;
  reservation.index_ = pending->index_;
  reservation.tenant_ = spec.tenant_;
  reservation.program_ = spec.program_;
  reservation.kind_ = spec.kind_;
  reservation.epoch_ = pending->epoch_;
  reservation.workerId_ = worker.workerId_;
  reservation.workerIncarnation_ = workers_.at(worker.workerId_).Incarnation();
  reservation.resources_ = spec.declared_;
  reservation.checkpoint_ = pending->checkpoint_;
  if (!aLedger.Reserve(reservation, worker.capacity_)) {
    return false;
  }
  worker.reserved_ += spec.declared_;
  worker.programs_.push_back(spec.program_);
  worker.urgentTasks_ += spec.kind_ == WorkKind::Service ? 1 : 0;
  aJob.Hold(pending->index_, aName);
  const TaskRef ref = RefOf(reservation);
  aWrite.placed_.push_back(ref);
  aWrite.placementSteps_.emplace_back(
    ref,
    MakeTaskStep(
      ref, "placed", pending->verdict_, "worker " + worker.workerId_));
  return true;
}

void
SchedulerCore::Private::CollectPlacements(const std::string& aName,
                                          CellView& aCell,
                                          CellLedger& aLedger,
                                          PendingWrite& aWrite,
                                          Instant aNow)
{
  if (!aCell.lease_.MayAct(aNow)) {
    return;
  }
  const std::vector<std::string> jobs = JobsInOrder(aName);
  if (jobs.empty()) {
    return;
  }
  std::vector<WorkerFacts> facts = FactsFor(aName, aCell, aLedger, aNow);
  for (const std::string& id : jobs) {
    JobLedger job(*JobFor(aWrite, id));
    bool placed = false;
    while (aWrite.placed_.size() < kMaxPlacementsPerWrite &&
           PlaceTask(aName, facts, aLedger, job, aWrite, aNow)) {
      placed = true;
    }
    if (placed) {
      aWrite.jobs_[id] = job.Row();
    }
  }
}

void
SchedulerCore::Private::Apply(const PendingWrite& aWrite,
                              const TableOutcome& aOutcome,
                              Instant aNow)
{
  CellView& cell = CellOf(aWrite.cell_);
  for (const TableRow& row : aOutcome.rows_) {
    if (row.key_ == kCellPrefix + aWrite.cell_) {
      cell.lease_.WriteApplied(
        aWrite.next_, row.revision_, aWrite.sentAt_, aNow);
    }
    const std::size_t prefix = std::string_view(kJobPrefix).size();
    if (row.key_.starts_with(kJobPrefix)) {
      const std::string id = row.key_.substr(prefix);
      JobView& job = jobs_[id];
      if (row.revision_ > job.revision_) {
        job.row_ = aWrite.jobs_.at(id);
        job.revision_ = row.revision_;
        job.updatedAt_ = aNow;
      }
    }
    if (row.key_.starts_with(kDonePrefix)) {
      jobs_.erase(row.key_.substr(std::string_view(kDonePrefix).size()));
    }
  }
  cell.releasing_.clear();
  Sync(cell, &aWrite.placed_, aNow);
  counts_.placed_ += aWrite.placed_.size();
  counts_.released_ += aWrite.releases_;
  counts_.lost_ += aWrite.losses_;
  for (const auto& [ref, note] : aWrite.placementSteps_) {
    // The response may arrive after a read returned the placement and the task
    // was started, or after another entry acquired the cell. The step "placed,
    // did not run" would then no longer be true.
    const auto held = cell.held_.find(ref);
    if (cell.lease_.MayAct(aNow) && held != cell.held_.end() &&
        !held->second.granted_) {
      actions_.emplace_back(AddStepAction{ note });
    }
  }
  if (cell.lease_.Owned()) {
    CommandWorkers(aWrite.cell_, cell, aNow);
  }
}

void
SchedulerCore::Private::FinishWrite(const PendingWrite& aWrite,
                                    const Result<TableOutcome>& aOutcome,
                                    Instant aNow)
{
  CellView& cell = CellOf(aWrite.cell_);
  for (const auto& [id, row] : aWrite.jobs_) {
    const auto job = jobs_.find(id);
    if (job != jobs_.end()) {
      job->second.busy_ = false;
    }
  }
  if (const auto* failure = std::get_if<Failure>(&aOutcome)) {
    if (failure->verdict_ == Verdict::DidNotRun) {
      cell.lease_.WriteFailed(aNow);
      if (!cell.lease_.HasUnresolvedWrite()) {
        cell.releasing_.clear();
      }
    } else {
      cell.lease_.WriteOutcomeUnknown(aWrite.next_, aWrite.sentAt_, aNow);
      Sync(cell, nullptr, aNow);
    }
    pollAt_ = std::min(pollAt_, aNow);
    return;
  }
  const auto& outcome = std::get<TableOutcome>(aOutcome);
  if (outcome.applied_) {
    Apply(aWrite, outcome, aNow);
    return;
  }
  cell.lease_.WriteRefused(aNow);
  if (!cell.lease_.HasUnresolvedWrite()) {
    cell.releasing_.clear();
  }
  for (const TableRow& row : outcome.rows_) {
    if (row.key_.starts_with(kJobPrefix)) {
      ApplyJobRow(row, true, aNow);
    } else if (row.revision_ != 0) {
      ApplyCellRows({ row }, true, aNow);
    }
  }
}

Instant
SchedulerCore::Private::GrantLimit(const CellView& aCell) const
{
  return aCell.lease_.Deadline() + timings_.ownerGrace_;
}

CommandOrigin
SchedulerCore::Private::OriginFor(const std::string& aCell,
                                  const CellView& aView,
                                  const WorkerView& aWorker) const
{
  return { aCell, aView.lease_.Row().epoch_, aWorker.Incarnation() };
}

bool
SchedulerCore::Private::ShouldStop(const CellView& aCell,
                                   const Reservation& aReservation,
                                   const HeldTask& aHeld) const
{
  if (!aHeld.granted_ || aHeld.ended_.has_value() ||
      aCell.releasing_.contains(RefOf(aReservation))) {
    return false;
  }
  const auto job = jobs_.find(aReservation.jobId_);
  if (aHeld.evict_) {
    return true;
  }
  if (job == jobs_.end()) {
    return false;
  }
  switch (job->second.row_.wanted_) {
    case Wanted::Run:
      return false;
    case Wanted::Drained:
      return !aHeld.acknowledged_;
    default:
      return true;
  }
}

std::optional<WorkerCommand>
SchedulerCore::Private::NextStop(CellView& aCell,
                                 WorkerView& aWorker,
                                 Instant aNow)
{
  for (const Reservation& reservation : aCell.lease_.Row().reservations_) {
    const TaskRef ref = RefOf(reservation);
    HeldTask& held = aCell.held_.at(ref);
    if (reservation.workerId_ != aWorker.row_.id_ ||
        reservation.workerIncarnation_ != aWorker.Incarnation() ||
        aNow < held.nextCommandAt_ || !ShouldStop(aCell, reservation, held)) {
      continue;
    }
    const auto job = jobs_.find(reservation.jobId_);
    const bool cancelled =
      job != jobs_.end() && job->second.row_.wanted_ == Wanted::Cancelled;
    held.nextCommandAt_ = aNow + kCommandRetryInterval;
    StopCommand stop;
    stop.task_ = ref;
    stop.checkpointFirst_ = !cancelled;
    return stop;
  }
  return std::nullopt;
}

std::optional<WorkerCommand>
SchedulerCore::Private::NextStart(CellView& aCell,
                                  WorkerView& aWorker,
                                  Instant aNow)
{
  const std::optional<TaskGrant> grant =
    aWorker.Grant(timings_, GrantLimit(aCell));
  if (!grant.has_value() || !aCell.lease_.MayAct(aNow)) {
    return std::nullopt;
  }
  for (const Reservation& reservation : aCell.lease_.Row().reservations_) {
    const TaskRef ref = RefOf(reservation);
    HeldTask& held = aCell.held_.at(ref);
    const auto job = jobs_.find(reservation.jobId_);
    if (reservation.workerId_ != aWorker.row_.id_ ||
        reservation.workerIncarnation_ != aWorker.Incarnation() ||
        aNow < held.nextCommandAt_ || held.acknowledged_ ||
        held.ended_.has_value() || held.evict_ ||
        aCell.releasing_.contains(ref) || job == jobs_.end() ||
        job->second.row_.wanted_ != Wanted::Run) {
      continue;
    }
    held.nextCommandAt_ = aNow + kCommandRetryInterval;
    StartCommand start;
    start.task_ = ref;
    start.until_ = grant->until_;
    start.program_ = reservation.program_;
    start.resources_ = reservation.resources_;
    start.declaredRunMs_ = job->second.row_.spec_.declaredRunMs_;
    start.checkpoint_ = reservation.checkpoint_;
    held.ownGrantEnd_ = std::max(held.ownGrantEnd_, grant->expiredBy_);
    if (!std::exchange(held.granted_, true)) {
      const JobLedger ledger(job->second.row_);
      const TaskRecord* task = ledger.Find(reservation.index_);
      const Verdict earlier =
        task == nullptr ? Verdict::MayHaveRun : task->verdict_;
      actions_.emplace_back(AddStepAction{
        MakeTaskStep(ref,
                     "start sent",
                     CombineVerdicts(earlier, Verdict::MayHaveRun),
                     "worker " + reservation.workerId_) });
    }
    return start;
  }
  return std::nullopt;
}

WorkerCommand
SchedulerCore::Private::Renewal(CellView& aCell, WorkerView& aWorker)
{
  RenewCommand renew;
  const std::optional<TaskGrant> grant =
    aWorker.Grant(timings_, GrantLimit(aCell));
  std::set<TaskRef> known;
  for (const Reservation& reservation : aCell.lease_.Row().reservations_) {
    const TaskRef ref = RefOf(reservation);
    HeldTask& held = aCell.held_.at(ref);
    if (reservation.workerId_ != aWorker.row_.id_) {
      continue;
    }
    known.insert(ref);
    if (grant.has_value() && aWorker.FindRunning(ref) != nullptr &&
        reservation.workerIncarnation_ == aWorker.Incarnation() &&
        !aCell.releasing_.contains(ref)) {
      renew.tasks_.push_back(ref);
      held.ownGrantEnd_ = std::max(held.ownGrantEnd_, grant->expiredBy_);
    }
  }
  if (grant.has_value()) {
    renew.until_ = grant->until_;
  }
  const bool certain = !aCell.lease_.HasUnresolvedWrite() &&
                       !aCell.lease_.IsWriting() &&
                       aWorker.fencedEpoch_ == aCell.lease_.Row().epoch_;
  if (certain && aWorker.report_.has_value()) {
    for (const EndedTask& ended : aWorker.report_->ended_) {
      if (!known.contains(ended.task_)) {
        renew.forget_.push_back(ended.task_);
      }
    }
  }
  return renew;
}

void
SchedulerCore::Private::CommandWorkers(const std::string& aName,
                                       CellView& aCell,
                                       Instant aNow)
{
  // After the end of its lease, an owner still renews running tasks within the
  // grace period: no other owner moves a task before the grace period is over
  // or the task's worker has acknowledged the higher epoch.
  if (aNow >= GrantLimit(aCell)) {
    return;
  }
  for (auto& [id, worker] : workers_) {
    if (CellName(worker.row_) == aName && worker.call_ == 0 &&
        aNow >= worker.nextCallAt_) {
      CommandWorker(aName, aCell, worker, aNow);
    }
  }
}

void
SchedulerCore::Private::CommandWorker(const std::string& aName,
                                      CellView& aCell,
                                      WorkerView& aWorker,
                                      Instant aNow)
{
  const bool fenced = aWorker.fencedEpoch_ == aCell.lease_.Row().epoch_;
  std::optional<WorkerCommand> command;
  if (fenced && aWorker.IsUsable(timings_, aNow) &&
      aNow < aWorker.renewDueAt_ + timings_.renewInterval_) {
    command = NextStop(aCell, aWorker, aNow);
    if (!command.has_value()) {
      command = NextStart(aCell, aWorker, aNow);
    }
  }
  if (!command.has_value()) {
    if (aNow < aWorker.renewDueAt_) {
      return;
    }
    aWorker.renewDueAt_ = aNow + timings_.renewInterval_;
    command = Renewal(aCell, aWorker);
  }
  const CommandOrigin origin = OriginFor(aName, aCell, aWorker);
  std::visit([&origin](auto& aOne) { aOne.origin_ = origin; }, *command);
  const std::uint64_t token = nextToken_++;
  aWorker.call_ = token;
  calls_[token] = { aWorker.row_.id_, aName, origin.cellEpoch_ };
  actions_.emplace_back(CallWorkerAction{ token,
                                          aWorker.row_.id_,
                                          aWorker.row_.address_,
                                          aWorker.row_.port_,
                                          std::move(*command) });
  ++counts_.workerCalls_;
}

void
SchedulerCore::Private::HandleTaskReport(CellView& aCell,
                                         const Reservation& aReservation,
                                         const WorkerView& aWorker,
                                         Instant aNow)
{
  const TaskRef ref = RefOf(aReservation);
  HeldTask& held = aCell.held_.at(ref);
  if (const ReportedTask* running = aWorker.FindRunning(ref)) {
    if (!held.acknowledged_) {
      actions_.emplace_back(AddStepAction{ MakeTaskStep(
        ref, "running", Verdict::Ran, "worker " + aReservation.workerId_) });
    }
    held.acknowledged_ = true;
    held.granted_ = true;
    if (!running->checkpoint_.empty()) {
      held.checkpoint_ = running->checkpoint_;
    }
    // The worker has acknowledged this epoch and rejects commands of earlier
    // owners, so their grants end at the deadline that the worker reports.
    const Micros left(running->until_ - aWorker.report_->clock_);
    held.foreignGrantEnd_ =
      std::min(held.foreignGrantEnd_, aNow + left + timings_.margin_);
    return;
  }
  if (const EndedTask* ended = aWorker.FindEnded(ref)) {
    held.ended_ = *ended;
  }
  // The task is reported neither as running nor as ended: the start command may
  // be in flight, or the report may be incomplete. The reservation stays until
  // the task is known to be over.
}

void
SchedulerCore::Private::HandleReport(const PendingCall& aCall,
                                     const WorkerReport& aReport,
                                     Instant aNow)
{
  const auto found = workers_.find(aCall.worker_);
  if (found == workers_.end()) {
    return;
  }
  WorkerView& worker = found->second;
  CellView& cell = CellOf(aCall.cell_);
  worker.ReportArrived(aReport, aNow);
  const CellRow& row = cell.lease_.Row();
  if (!cell.lease_.Owned() || row.epoch_ != aCall.cellEpoch_) {
    return;
  }
  if (aReport.cellEpoch_ > aCall.cellEpoch_) {
    cell.lease_.Fenced(aNow);
    Sync(cell, nullptr, aNow);
    return;
  }
  if (aReport.cellEpoch_ != aCall.cellEpoch_) {
    return;
  }
  worker.fencedEpoch_ = aReport.cellEpoch_;
  for (const Reservation& reservation : row.reservations_) {
    if (reservation.workerId_ == aCall.worker_ &&
        reservation.workerIncarnation_ == aReport.incarnation_) {
      HandleTaskReport(cell, reservation, worker, aNow);
    }
  }
  ForwardUsage(row, worker, aNow);
  CommandWorkers(aCall.cell_, cell, aNow);
}

/** Passes the usage on only if the report and this entry's row list the same
 * tasks. Otherwise the usage includes other tasks or lacks some. */
void
SchedulerCore::Private::ForwardUsage(const CellRow& aRow,
                                     const WorkerView& aWorker,
                                     Instant aNow)
{
  WorkerUsage usage{ aWorker.row_.id_, aWorker.report_->used_, {} };
  for (const Reservation& reservation : aRow.reservations_) {
    if (reservation.workerId_ != aWorker.row_.id_) {
      continue;
    }
    const TaskRef ref = RefOf(reservation);
    if (aWorker.FindRunning(ref) == nullptr) {
      return;
    }
    usage.tasks_.push_back(
      { ref.taskId_, reservation.program_, reservation.resources_ });
  }
  if (usage.tasks_.size() == aWorker.report_->running_.size()) {
    chooser_->OnUsage(usage, aNow);
  }
}

SchedulerCore::SchedulerCore(EntryIdentity aSelf,
                             const WorkTimings& aTimings,
                             std::unique_ptr<PlacementChooser> aChooser)
  : private_(std::make_unique<Private>(std::move(aSelf),
                                       aTimings,
                                       std::move(aChooser)))
{
}

SchedulerCore::~SchedulerCore() = default;

void
SchedulerCore::Tick(Instant aNow)
{
  private_->Poll(aNow);
  for (const auto& [name, cell] : private_->cells_) {
    private_->UpdateCell(name, *cell, aNow);
  }
}

void
SchedulerCore::OnRows(std::uint64_t aToken,
                      const Result<std::vector<TableRow>>& aRows,
                      Instant aNow)
{
  const auto read = private_->reads_.find(aToken);
  if (read == private_->reads_.end()) {
    return;
  }
  const PendingRead pending = read->second;
  private_->reads_.erase(read);
  const auto* rows = std::get_if<std::vector<TableRow>>(&aRows);
  if (rows == nullptr) {
    return;
  }
  if (pending.prefix_ == kWorkerPrefix) {
    private_->ApplyWorkerRows(*rows);
  } else if (pending.prefix_ == kCellPrefix) {
    private_->RestartWatchAfterOutage(aNow);
    private_->ApplyCellRows(*rows, false, aNow);
    for (const auto& [name, cell] : private_->cells_) {
      cell->lease_.ObserveAbsent(aNow);
    }
  } else if (pending.prefix_ == kJobPrefix) {
    private_->ApplyJobRows(*rows, pending.sentAt_, aNow);
  } else {
    private_->ApplyEntryRows(*rows, aNow);
  }
}

void
SchedulerCore::OnTransact(std::uint64_t aToken,
                          const Result<TableOutcome>& aOutcome,
                          Instant aNow)
{
  const auto write = private_->writes_.find(aToken);
  if (write == private_->writes_.end()) {
    return;
  }
  const PendingWrite pending = std::move(write->second);
  private_->writes_.erase(write);
  private_->FinishWrite(pending, aOutcome, aNow);
}

void
SchedulerCore::OnWorker(std::uint64_t aToken,
                        const Result<WorkerReport>& aReport,
                        Instant aNow)
{
  const auto call = private_->calls_.find(aToken);
  if (call == private_->calls_.end()) {
    return;
  }
  const PendingCall pending = call->second;
  private_->calls_.erase(call);
  const auto* report = std::get_if<WorkerReport>(&aReport);
  const bool own = report != nullptr && report->workerId_ == pending.worker_;
  if (!own) {
    private_->workers_[pending.worker_].CallFailed(aNow);
    return;
  }
  private_->HandleReport(pending, *report, aNow);
}

std::vector<SchedulerAction>
SchedulerCore::TakeActions()
{
  return std::exchange(private_->actions_, {});
}

void
SchedulerCore::SetQuotas(std::map<std::string, std::int64_t> aQuotas)
{
  private_->quotas_ = std::move(aQuotas);
}

bool
SchedulerCore::Evict(const std::string& aTaskId)
{
  for (const auto& [name, cell] : private_->cells_) {
    for (auto& [ref, held] : cell->held_) {
      if (ref.taskId_ == aTaskId) {
        held.evict_ = true;
        return true;
      }
    }
  }
  return false;
}

void
SchedulerCore::RequestPoll()
{
  private_->pollAt_ = Instant();
}

void
SchedulerCore::HandOver()
{
  private_->handingOver_ = true;
}

bool
SchedulerCore::IsHandedOver() const
{
  return OwnedCells().empty() && private_->writes_.empty();
}

std::vector<std::string>
SchedulerCore::OwnedCells() const
{
  std::vector<std::string> names;
  for (const auto& [name, cell] : private_->cells_) {
    if (cell->lease_.Owned()) {
      names.push_back(name);
    }
  }
  return names;
}

const SchedulerCounts&
SchedulerCore::Counts() const
{
  return private_->counts_;
}

}
