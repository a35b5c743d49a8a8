#pragma once

#include "Connection/ReportDecoder.h"
#include "Connection/RowStore.h"
#include "Connection/SideLink.h"
#include "Process/FleetRecords.h"
#include "Process/FleetScheduler.h"
#include "Process/Guarded.h"
#include "Process/LeaderLease.h"
#include "Process/Log.h"
#include "Process/Metrics.h"
#include "Process/ProgressWriter.h"
#include "Process/RemovedJobs.h"
#include "Process/SocketAddress.h"
#include "Process/TableWatch.h"
#include "Version/RecordCodec.h"

#include <QObject>
#include <QPointer>
#include <QTimer>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusrail {

/**
 * Leader role of an entry: reads the tables, maintains a link to each side and
 * executes the decisions of FleetScheduler.
 *
 * Created when the entry acquires the leader lease and destroyed when it loses
 * the lease; each instance belongs to exactly one epoch.
 */
template<RowStore Store>
class FleetLeader : public QObject
{
public:
  FleetLeader(Store& aStore,
              const LeaderLease& aLease,
              const FleetBounds& aBounds,
              std::string aNode,
              std::function<EvacuationView()> aReadEvacuations,
              std::function<void()> aLeadershipLost)
    : store_(aStore)
    , lease_(aLease)
    , epoch_(aLease.Epoch())
    , node_(std::move(aNode))
    , readEvacuations_(std::move(aReadEvacuations))
    , leadershipLost_(std::move(aLeadershipLost))
    , scheduler_(epoch_, aBounds, ReadWallClock() / 1000)
    , writer_(aStore, epoch_)
    , work_(
        aStore,
        std::string(kWorkTable),
        WorkParts(),
        TableUse::Follow,
        [this](const Row& aRow) { OnWorkRow(aRow); },
        [this] { OnWorkRead(); })
    , progress_(
        aStore,
        std::string(kProgressTable),
        { std::string(kProgressPart) },
        TableUse::ReadOnce,
        [this](const Row& aRow) { OnProgressRow(aRow); },
        [this] { members_.Start(); })
    , members_(
        aStore,
        std::string(kMemberTable),
        { std::string() },
        TableUse::Follow,
        [this](const Row& aRow) { OnMemberRow(aRow); },
        [this] { OnMembersRead(); })
  {
    connect(&tick_, &QTimer::timeout, this, [this] { OnTick(); });
    pumpTimer_.setSingleShot(true);
    connect(&pumpTimer_, &QTimer::timeout, this, [this] { Pump(); });
  }

  ~FleetLeader() override
  {
    for (auto& [node, side] : sides_) {
      DropLink(side);
    }
    ExportOverload({});
  }

  void Start()
  {
    const Instant now = ReadMonotonicClock();
    const Instant formerEnd = lease_.FormerLeaseEnd();
    const auto left =
      std::chrono::duration_cast<Millis>(std::max(formerEnd, now) - now);
    LogChange("leading",
              { { "epoch", std::to_string(epoch_) },
                { "kind", std::string(LeaseTakeoverText(lease_.Takeover())) },
                { "formerLeaseMs", std::to_string(left.count()) } });
    if (formerEnd > now) {
      scheduler_.OnFormerLeader(formerEnd);
    }
    writer_.Fence([this] { work_.Start(); }, [this] { leadershipLost_(); });
  }

  FleetScheduler& Scheduler() { return scheduler_; }
  /** Returns whether the initial read of all tables is complete. */
  bool Loaded() const { return scheduler_.Loaded(); }
  /** Returns the send time of the last answered call to the work table. */
  Instant TableAnsweredAt() const { return work_.CurrentAsOf(); }

  void OnJobStored(const JobDescription& aSpec)
  {
    scheduler_.OnJobStored(aSpec, ReadMonotonicClock());
    SchedulePump();
  }

  void OnCancelStored(const std::string& aJob)
  {
    scheduler_.OnCancelStored(aJob, ReadMonotonicClock());
    SchedulePump();
  }

private:
  static constexpr Millis kTick{ 50 };
  /** Delay that batches inputs which arrive together into one decision. */
  static constexpr Millis kCoalesceDelay{ 10 };
  /** Minimum interval between two writes of accumulated changes. */
  static constexpr Millis kFlushInterval{ 25 };
  /** Timeout without a report after which the link to a side is reopened. */
  static constexpr Millis kSideTimeout{ 2500 };
  static constexpr Millis kLinkRetry{ 250 };
  static constexpr Millis kSweepInterval{ 5000 };
  static constexpr Millis kRemoveTimeout{ 2000 };

  struct Side
  {
    std::string address_;
    std::string incarnation_;
    std::uint64_t rowVersion_ = 0;
    QPointer<SideLink> link_;
    /** Decoder state of link_. */
    ReportDecoder reports_;
    bool up_ = false;
    Instant lastReceivedAt_;
    Instant retryAt_;
  };

  static std::vector<std::string> WorkParts()
  {
    std::vector<std::string> parts;
    for (std::size_t part = 0; part < kWorkParts; ++part) {
      parts.push_back(std::to_string(part));
    }
    return parts;
  }

  void OnWorkRow(const Row& aRow)
  {
    if (aRow.removed_) {
      return;
    }
    const std::string& key = aRow.id_.key_;
    const bool cancels = key.starts_with(kCancelPrefix);
    const std::string_view prefix = cancels ? kCancelPrefix : kJobPrefix;
    const std::string job = key.substr(std::min(prefix.size(), key.size()));
    if (removedJobs_.Contains(job, aRow.version_)) {
      return;
    }
    if (cancels) {
      OnCancelStored(job);
      return;
    }
    Result<JobDescription> spec = DecodeRecord<JobDescription>(aRow.value_);
    if (const auto* failure = std::get_if<Failure>(&spec)) {
      LogProblem("job-unreadable",
                 { { "row", key }, { "reason", failure->message_ } });
      return;
    }
    OnJobStored(std::get<JobDescription>(spec));
  }

  void OnWorkRead()
  {
    if (!Loaded()) {
      progress_.Start();
    }
  }

  void OnProgressRow(const Row& aRow)
  {
    if (!aRow.id_.key_.starts_with(kJobPrefix)) {
      return;
    }
    const Result<JobProgress> progress = DecodeRecord<JobProgress>(aRow.value_);
    if (const auto* failure = std::get_if<Failure>(&progress)) {
      LogProblem("progress-unreadable",
                 { { "row", aRow.id_.key_ }, { "reason", failure->message_ } });
      return;
    }
    scheduler_.OnProgressLoaded(aRow.id_.key_.substr(kJobPrefix.size()),
                                std::get<JobProgress>(progress),
                                ReadMonotonicClock());
  }

  void OnMemberRow(const Row& aRow)
  {
    const std::string& node = aRow.id_.key_;
    if (aRow.removed_) {
      const auto found = sides_.find(node);
      if (found != sides_.end() && found->second.rowVersion_ < aRow.version_) {
        LoseLink(node, found->second);
        sides_.erase(found);
      }
      scheduler_.OnSideRemoved(node);
      return;
    }
    const Result<MemberRecord> record = DecodeMember(aRow.value_);
    const auto* failure = std::get_if<Failure>(&record);
    Side& side = sides_[node];
    side.rowVersion_ = aRow.version_;
    if (failure != nullptr) {
      // Another writer may have replaced the row of a side that has runs. The
      // link stays, and a new leader waits for the side, which writes its row
      // again once no leader contacts it.
      LogProblem("member-unreadable",
                 { { "row", node }, { "reason", failure->message_ } });
      scheduler_.OnSideRegistered(node, ReadMonotonicClock());
      return;
    }
    const auto& member = std::get<MemberRecord>(record);
    if (side.address_ != member.address_ ||
        side.incarnation_ != member.incarnation_) {
      LoseLink(node, side);
      side.address_ = member.address_;
      side.incarnation_ = member.incarnation_;
      side.retryAt_ = Instant();
    }
    if (scheduler_.OnSideRegistered(node, ReadMonotonicClock())) {
      LoseLink(node, side);
      side.retryAt_ = Instant();
    }
    if (Loaded()) {
      CheckLinks();
    }
  }

  /** Decodes the row of a side; fails if its address can't be used. */
  static Result<MemberRecord> DecodeMember(std::string_view aValue)
  {
    Result<MemberRecord> record = DecodeRecord<MemberRecord>(aValue);
    if (const auto* member = std::get_if<MemberRecord>(&record)) {
      const Result<SocketAddress> address =
        ParseSocketAddress(member->address_);
      if (const auto* failure = std::get_if<Failure>(&address)) {
        return *failure;
      }
    }
    return record;
  }

  void OnMembersRead()
  {
    if (Loaded()) {
      return;
    }
    ReadInterferenceModel();
    scheduler_.OnLoaded(ReadMonotonicClock(), ReadWallClock() / 1000);
    tick_.start(kTick);
    CheckLinks();
    Pump();
  }

  void ReadInterferenceModel()
  {
    store_.Read(
      RowRange::Only(InterferenceModelRowId()),
      ReadMonotonicClock() + kRemoveTimeout,
      Guarded(this, [this](Result<RowPage> aPage) {
        const auto* page = std::get_if<RowPage>(&aPage);
        if (page == nullptr || page->rows_.empty()) {
          return; // The model starts empty and is rebuilt from reports.
        }
        const Result<LearnedContention> record =
          DecodeRecord<LearnedContention>(page->rows_.front().value_);
        if (const auto* learned = std::get_if<LearnedContention>(&record)) {
          scheduler_.Interference().Model().Import(*learned,
                                                   ReadMonotonicClock());
        } else {
          LogProblem("learned-unreadable",
                     { { "reason", std::get<Failure>(record).message_ } });
        }
      }));
  }

  void WriteInterferenceModel(Instant aNow)
  {
    LearnedContention record = scheduler_.Interference().Model().Export();
    if (record.pairs_.empty() || !lease_.IsLeader(aNow)) {
      return;
    }
    // Keeps the record within the maximum size of a row.
    constexpr std::size_t kMaxPairs = 400;
    constexpr std::size_t kMaxBases = 100;
    record.pairs_.resize(std::min(record.pairs_.size(), kMaxPairs));
    record.bases_.resize(std::min(record.bases_.size(), kMaxBases));
    RowTransaction transaction;
    transaction.puts_.push_back(
      { InterferenceModelRowId(), EncodeRecord(record) });
    store_.Write(transaction, aNow + kRemoveTimeout, [](const Commit&) {});
  }

  void DropLink(Side& aSide)
  {
    if (!aSide.link_.isNull()) {
      aSide.link_->disconnect();
      aSide.link_->Close();
      aSide.link_->deleteLater();
      aSide.link_.clear();
    }
    aSide.up_ = false;
  }

  /**
   * Closes a link and notifies the scheduler.
   *
   * After this notification the scheduler sends no orders on a new link before
   * the first report on that link. That report would not list the runs of
   * orders sent before it, so their tasks would be treated as not started.
   */
  void LoseLink(const std::string& aNode, Side& aSide)
  {
    DropLink(aSide);
    scheduler_.OnLinkLost(aNode, ReadMonotonicClock());
  }

  void OpenLink(const std::string& aNode, Side& aSide)
  {
    const Result<SocketAddress> address = ParseSocketAddress(aSide.address_);
    if (!Succeeded(address)) {
      return;
    }
    const auto& target = std::get<SocketAddress>(address);
    auto* link = new SideLink(target.ip_, target.port_, nullptr);
    aSide.link_ = link;
    aSide.reports_ = ReportDecoder();
    aSide.lastReceivedAt_ = ReadMonotonicClock();
    connect(link,
            &SideLink::Received,
            this,
            [this, aNode](const WireMessage& aMessage) {
              OnMessage(aNode, aMessage);
            });
    connect(link, &SideLink::Lost, this, [this, aNode](bool, const QString&) {
      OnLost(aNode);
    });
    link->Send(FleetHelloMessage{ node_, true, epoch_, 0, 0 });
  }

  void OnLost(const std::string& aNode)
  {
    const auto found = sides_.find(aNode);
    if (found == sides_.end()) {
      return;
    }
    if (found->second.up_) {
      LogChange("side-lost", { { "side", aNode } });
    }
    LoseLink(aNode, found->second);
    found->second.retryAt_ = ReadMonotonicClock() + kLinkRetry;
    SchedulePump();
  }

  void CheckLinks()
  {
    const Instant now = ReadMonotonicClock();
    std::vector<std::string> timedOut;
    for (auto& [node, side] : sides_) {
      if (side.link_.isNull()) {
        if (!side.address_.empty() && now >= side.retryAt_) {
          OpenLink(node, side);
        }
      } else if (now - side.lastReceivedAt_ > kSideTimeout) {
        timedOut.push_back(node);
      }
    }
    for (const std::string& node : timedOut) {
      OnLost(node);
    }
  }

  void OnMessage(const std::string& aNode, const WireMessage& aMessage)
  {
    const auto found = sides_.find(aNode);
    if (found == sides_.end()) {
      return;
    }
    std::optional<FleetReport> report;
    if (const auto* whole = std::get_if<FleetReport>(&aMessage)) {
      report = found->second.reports_.Take(*whole);
    } else if (const auto* change = std::get_if<FleetReportChange>(&aMessage)) {
      report = found->second.reports_.Take(*change);
      if (!report.has_value()) {
        LogProblem("report-does-not-follow", { { "side", aNode } });
        OnLost(aNode);
        return;
      }
    } else {
      return;
    }
    const Instant now = ReadMonotonicClock();
    found->second.lastReceivedAt_ = now;
    if (!found->second.up_) {
      found->second.up_ = true;
      scheduler_.OnLinkUp(aNode, now);
    }
    scheduler_.OnReport(aNode, *report, now);
    SchedulePump();
  }

  void SchedulePump()
  {
    if (!pumpTimer_.isActive()) {
      pumpTimer_.start(kCoalesceDelay);
    }
  }

  void OnTick()
  {
    CheckLinks();
    Pump();
    const Instant now = ReadMonotonicClock();
    if (now >= nextSweep_) {
      nextSweep_ = now + kSweepInterval;
      Sweep(now);
    }
  }

  void Pump()
  {
    const Instant now = ReadMonotonicClock();
    if (!Loaded() || !lease_.IsLeader(now)) {
      return;
    }
    scheduler_.OnTableCurrent(work_.CurrentAsOf());
    scheduler_.OnOnlyLeaderUntil(lease_.OnlyLeaderUntil());
    scheduler_.OnEvacuations(readEvacuations_());
    for (SideOrders& orders :
         scheduler_.TakeOrders(now, ReadWallClock() / 1000)) {
      const auto found = sides_.find(orders.node_);
      if (found != sides_.end() && found->second.up_ &&
          !found->second.link_.isNull()) {
        found->second.link_->Send(std::move(orders.orders_));
      }
    }
    ExportOverload(scheduler_.Overload());
    StoreChanges(now);
    for (const FleetEvent& event : scheduler_.TakeEvents()) {
      LogChange(event.event_,
                { { "id", event.task_ },
                  { "side", event.node_ },
                  { "detail", event.detail_ } });
    }
  }

  static void ExportOverload(const OverloadFigures& aFigures)
  {
    Metrics& metrics = Metrics::OfProcess();
    metrics.Set(Gauge::DeferredJobs, aFigures.deferredJobs_);
    metrics.Set(Gauge::GroupWork, aFigures.workMs_);
    metrics.Set(Gauge::LargestGroupWork, aFigures.largestGroupWorkMs_);
  }

  void StoreChanges(Instant aNow)
  {
    if (writer_.Busy() || aNow < nextFlush_) {
      return;
    }
    std::optional<ProgressBatch> batch = scheduler_.TakeBatch();
    if (!batch.has_value() && removals_.empty()) {
      return;
    }
    nextFlush_ = aNow + kFlushInterval;
    const std::uint64_t number = batch.has_value() ? batch->number_ : 0;
    writer_.Write(batch.value_or(ProgressBatch()),
                  std::exchange(removals_, {}),
                  [this, number] {
                    if (number > 0) {
                      scheduler_.OnBatchStored(number, ReadMonotonicClock());
                    }
                    SchedulePump();
                  });
  }

  /**
   * Stores the interference model, removes expired jobs, expired cancellations
   * and the rows of removable sides, and logs the state of each worker.
   */
  void Sweep(Instant aNow)
  {
    WriteInterferenceModel(aNow);
    removedJobs_.DropOld(aNow);
    for (const auto& ids :
         Batches(scheduler_.Expired(ReadWallClock() / 1000))) {
      RemoveExpiredJobs(ids, aNow);
    }
    for (const auto& ids : Batches(scheduler_.ExpiredEarlyCancels(aNow))) {
      RemoveEarlyCancels(ids, aNow);
    }
    for (const std::string& node : scheduler_.RemovableSides(aNow)) {
      RemoveMember(node, aNow);
    }
    for (const auto& [node, worker] : scheduler_.Workers()) {
      LogChange("worker-view",
                { { "side", node },
                  { "worker", worker.facts_.id_ },
                  { "rack", worker.facts_.rack_ },
                  { "cpu",
                    std::to_string(worker.used_.cpuMilli_) + "/" +
                      std::to_string(worker.facts_.room_.cpuMilli_) },
                  { "memory",
                    std::to_string(worker.used_.memoryMb_) + "/" +
                      std::to_string(worker.facts_.room_.memoryMb_) },
                  { "backfill", std::to_string(worker.backfillCpuMilli_) },
                  { "serving", std::to_string(worker.serving_) },
                  { "runs", std::to_string(worker.held_.size()) },
                  { "share", std::to_string(worker.backfillShare_) },
                  { "pressure", std::to_string(worker.pressure_) },
                  { "slowness", std::to_string(worker.slowness_) } });
    }
  }

  /** Splits jobs into one batch for each part of the work table, each small
   * enough for one transaction. The next sweep handles the rest. */
  static std::vector<std::vector<std::string>> Batches(
    const std::vector<std::string>& aIds)
  {
    constexpr std::size_t kMaxJobsPerTransaction = 40;
    std::map<std::string, std::vector<std::string>> byPart;
    for (const std::string& id : aIds) {
      std::vector<std::string>& batch = byPart[WorkPartOf(id)];
      if (batch.size() < kMaxJobsPerTransaction) {
        batch.push_back(id);
      }
    }
    std::vector<std::vector<std::string>> batches;
    batches.reserve(byPart.size());
    for (auto& [part, batch] : byPart) {
      batches.push_back(std::move(batch));
    }
    return batches;
  }

  void RemoveExpiredJobs(const std::vector<std::string>& aIds, Instant aNow)
  {
    RowTransaction transaction;
    for (const std::string& id : aIds) {
      transaction.removals_.push_back(JobRowId(id));
      transaction.removals_.push_back(CancelRowId(id));
    }
    store_.Write(transaction,
                 aNow + kRemoveTimeout,
                 Guarded(this, [this, aIds](const Commit& aCommit) {
                   OnJobsRemoved(aIds, aCommit);
                 }));
  }

  /** Removes cancellations whose jobs are not stored. A job that was stored in
   * the meantime keeps its cancellation. */
  void RemoveEarlyCancels(const std::vector<std::string>& aIds, Instant aNow)
  {
    constexpr std::uint64_t kNoRow = 0;
    RowTransaction transaction;
    for (const std::string& id : aIds) {
      transaction.conditions_.push_back({ JobRowId(id), kNoRow });
      transaction.removals_.push_back(CancelRowId(id));
    }
    store_.Write(transaction,
                 aNow + kRemoveTimeout,
                 Guarded(this, [this, aIds](const Commit& aCommit) {
                   OnEarlyCancelsRemoved(aIds, aCommit);
                 }));
  }

  void OnEarlyCancelsRemoved(const std::vector<std::string>& aIds,
                             const Commit& aCommit)
  {
    if (aCommit.outcome_ != CommitOutcome::Done) {
      return; // The next sweep retries the removal.
    }
    for (const std::string& id : aIds) {
      removedJobs_.Add(id, aCommit.version_, ReadMonotonicClock());
      scheduler_.ForgetEarlyCancel(id);
    }
  }

  /** Handles the outcome of the removal of expired jobs: drops removed jobs
   * from the scheduler and queues the removal of their progress rows. */
  void OnJobsRemoved(const std::vector<std::string>& aIds,
                     const Commit& aCommit)
  {
    if (aCommit.outcome_ != CommitOutcome::Done) {
      return; // The next sweep retries the removal.
    }
    const Instant now = ReadMonotonicClock();
    for (const std::string& id : aIds) {
      removedJobs_.Add(id, aCommit.version_, now);
      scheduler_.Forget(id);
      removals_.push_back(id);
    }
  }

  void RemoveMember(const std::string& aNode, Instant aNow)
  {
    const auto found = sides_.find(aNode);
    if (found == sides_.end()) {
      return;
    }
    RowTransaction transaction;
    // The row of a side that has registered again since then has a different
    // version, so this transaction does not remove it.
    transaction.conditions_.push_back(
      { MemberRowId(aNode), found->second.rowVersion_ });
    transaction.removals_.push_back(MemberRowId(aNode));
    // No run may start on this side until its row is read again.
    scheduler_.OnSideRemoved(aNode);
    LogChange("side-removed", { { "side", aNode } });
    store_.Write(transaction, aNow + kRemoveTimeout, [](const Commit&) {});
  }

  Store& store_;
  const LeaderLease& lease_;
  std::uint64_t epoch_;
  std::string node_;
  std::function<EvacuationView()> readEvacuations_;
  std::function<void()> leadershipLost_;
  FleetScheduler scheduler_;
  ProgressWriter<Store> writer_;
  TableWatch<Store> work_;
  TableWatch<Store> progress_;
  TableWatch<Store> members_;
  std::map<std::string, Side> sides_;
  RemovedJobs removedJobs_;
  /** Removed jobs whose progress rows are removed by the next write. */
  std::vector<std::string> removals_;
  Instant nextFlush_;
  Instant nextSweep_;
  QTimer tick_;
  QTimer pumpTimer_;
};

}
