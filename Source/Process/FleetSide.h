#pragma once

#include "Connection/HttpFront.h"
#include "Connection/ReportEncoder.h"
#include "Connection/RowStore.h"
#include "Connection/SideLink.h"
#include "Process/FleetRecords.h"
#include "Process/FleetSettings.h"
#include "Process/Guarded.h"
#include "Process/KeyKeeper.h"
#include "Process/LeaderLease.h"
#include "Process/LinkListener.h"
#include "Process/Log.h"
#include "Process/Metrics.h"
#include "Process/MetricsRoutes.h"
#include "Process/WorkerKeeper.h"
#include "Version/RecordCodec.h"

#include <QObject>
#include <QPointer>
#include <QTimer>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace cactusrail {

/** Message of a worker that it is about to exit. */
struct WorkerLeaving
{
  std::string id_;
  /** Start time of the worker, see WorkerDescription::startedAtMs_; 0 if the
   * message contains none. */
  std::int64_t startedAtMs_ = 0;
};

/** Message of a worker to the side on its host; monostate for any other
 * message. */
using WorkerNotice =
  std::variant<std::monostate, WorkerAnnouncement, WorkerLeaving>;

/** Requirements of a side of the fleet on its platform. */
template<typename Platform>
concept SidePlatform = RowStore<typename Platform::Store> &&
  requires(typename Platform::WorkerClient& aClient,
           const WorkerCall& aCall,
           std::function<void(const CallAnswer&)> aCallback,
           const HttpExchange& aExchange)
{
  aClient.Send(aCall, aCallback);
  {
    Platform::DecodeNotice(aExchange)
    } -> std::same_as<Result<WorkerNotice>>;
  {
    Platform::AcknowledgeNotice()
    } -> std::same_as<HttpAnswer>;
};

/**
 * Side of the fleet: manages the worker on its host on behalf of the leading
 * entry. Owned by main.
 */
template<SidePlatform Platform>
class FleetSide : public QObject
{
public:
  using Store = typename Platform::Store;

  static Result<std::unique_ptr<FleetSide>> Start(
    const FleetSideSettings& aSettings)
  {
    std::unique_ptr<FleetSide> self(new FleetSide(aSettings));
    const Result<bool> opened = self->Open();
    if (const auto* failure = std::get_if<Failure>(&opened)) {
      return *failure;
    }
    return self;
  }

  ~FleetSide() override { DropLink(); }

  /** Starts a planned stop. Extends the leases as far as allowed, so that runs
   * survive a restart of the side. */
  void Stop(std::function<void()> aDone)
  {
    const Instant now = ReadMonotonicClock();
    LogChange("stopping", { { "runs", std::to_string(keeper_.RunCount()) } });
    stopped_ = std::move(aDone);
    stopBound_ = now + kStopBound;
    keeper_.OnStopping(now);
    if (keeper_.HasNoWorker(now)) {
      Deregister();
    }
    Pump();
  }

  /** Returns the id of the current worker; empty if there is none. */
  const std::string& WorkerId() const { return keeper_.WorkerId(); }

  std::string Describe() const
  {
    return "announcements=" + settings_.announcements_.Text() +
           " links=" + settings_.fleet_.links_.Text();
  }

private:
  static constexpr Millis kTick{ 50 };
  /** Change of the offset between the two clocks that indicates a suspension.
   * Consecutive readings without a suspension differ by less. */
  static constexpr Millis kSuspensionThreshold{ 20 };
  /** Maximum duration of a planned stop. */
  static constexpr Millis kStopBound{ 1500 };
  /** Timeout of reading and of writing the row of this side. */
  static constexpr Millis kRegisterTimeout{ 1500 };
  static constexpr Millis kDeregisterTimeout{ 1000 };
  /** Delay before the retry of a failed read or write of the row. */
  static constexpr Millis kRegisterRetry{ 300 };
  /** Timeout without a message after which the link to the leader is closed. */
  static constexpr Millis kLeaderTimeout{ 3000 };

  explicit FleetSide(const FleetSideSettings& aSettings)
    : settings_(aSettings)
    , incarnation_(aSettings.fleet_.name_ + "-" +
                   std::to_string(ReadWallClock()))
    , store_(aSettings.fleet_.store_)
    , worker_(aSettings.worker_)
    // The wall clock increases between incarnations. If the clock was set back,
    // the keeper raises the fence on the first refusal.
    , keeper_({ aSettings.maxLease_,
                aSettings.stopTimeout_,
                static_cast<std::uint64_t>(ReadWallClock() / 1000),
                aSettings.features_.localPacing_ },
              ReadMonotonicClock())
    , key_(store_, [this] { OnKey(); })
  {
    connect(&tick_, &QTimer::timeout, this, [this] { OnTick(); });
  }

  Result<bool> Open()
  {
    auto front = HttpFront::Listen(
      settings_.announcements_.ip_,
      settings_.announcements_.port_,
      HttpLimits(),
      [this](const HttpExchange& aExchange) { OnNotice(aExchange); });
    if (const auto* failure = std::get_if<Failure>(&front)) {
      return *failure;
    }
    front_ = std::move(std::get<std::unique_ptr<HttpFront>>(front));
    auto metrics = ListenForMetrics(settings_.fleet_.metrics_);
    if (const auto* failure = std::get_if<Failure>(&metrics)) {
      return *failure;
    }
    metrics_ = std::move(std::get<std::unique_ptr<HttpFront>>(metrics));
    Metrics::OfProcess().Describe("fleet-side", settings_.fleet_.name_);
    Metrics::OfProcess().Set(Gauge::BackfillPaceCap, kUncappedPace);
    key_.Start();
    tick_.start(kTick);
    return true;
  }

  void OnNotice(const HttpExchange& aExchange)
  {
    const Result<WorkerNotice> decoded = Platform::DecodeNotice(aExchange);
    if (const auto* failure = std::get_if<Failure>(&decoded)) {
      LogProblem("notice-refused", { { "reason", failure->message_ } });
      const bool notFound = failure->kind_ == FailureKind::NotFound;
      if (!notFound) {
        Metrics::OfProcess().Count(Counter::WorkerNoticesIgnored);
      }
      HttpAnswer answer;
      answer.status_ = notFound ? 404 : 400;
      aExchange.Answer(answer);
      return;
    }
    const Instant now = ReadMonotonicClock();
    const auto& notice = std::get<WorkerNotice>(decoded);
    if (const auto* announced = std::get_if<WorkerAnnouncement>(&notice)) {
      if (!OnAnnounced(*announced, now)) {
        HttpAnswer answer;
        answer.status_ = 400;
        aExchange.Answer(answer);
        return;
      }
    } else if (const auto* leaving = std::get_if<WorkerLeaving>(&notice)) {
      OnWorkerLeft(*leaving, now);
    }
    aExchange.Answer(Platform::AcknowledgeNotice());
    RegisterIfNeeded();
    Pump();
  }

  /** Returns false if the announcement is invalid. */
  bool OnAnnounced(const WorkerAnnouncement& aAnnouncement, Instant aNow)
  {
    const WorkerIncarnation announced = aAnnouncement.facts_.Incarnation();
    const bool isNew = announced != keeper_.Incarnation();
    const AnnouncementOutcome outcome =
      keeper_.OnAnnounced(aAnnouncement, aNow);
    if (outcome == AnnouncementOutcome::Accepted) {
      if (isNew) {
        LogChange("worker-announced", { { "worker", announced.Text() } });
      }
      return true;
    }
    const bool invalid = outcome == AnnouncementOutcome::Invalid;
    LogIgnored(announced,
               invalid ? "It contradicts the worker in use."
                       : "It is late or from a past incarnation.");
    return !invalid;
  }

  void OnWorkerLeft(const WorkerLeaving& aLeaving, Instant aNow)
  {
    const WorkerIncarnation left{ aLeaving.id_, aLeaving.startedAtMs_ };
    if (keeper_.OnWorkerLeft(left.id_, aNow, left.startedAtMs_)) {
      LogChange("worker-left", { { "worker", left.Text() } });
    } else {
      LogIgnored(left, "Its incarnation is not in use.");
    }
  }

  static void LogIgnored(const WorkerIncarnation& aWorker, const char* aReason)
  {
    Metrics::OfProcess().Count(Counter::WorkerNoticesIgnored);
    LogChange("worker-notice-ignored",
              { { "worker", aWorker.Text() }, { "reason", aReason } });
  }

  /** Logs the incarnation in use if it is another one than before. */
  void LogIncarnation()
  {
    const WorkerIncarnation current = keeper_.Incarnation();
    if (current == loggedIncarnation_) {
      return;
    }
    LogChange("worker-incarnation",
              { { "worker", current.Text() },
                { "former", loggedIncarnation_.Text() } });
    loggedIncarnation_ = current;
  }

  // Link to the leader.

  void OnKey()
  {
    auto listener = LinkListener::Listen(
      settings_.fleet_.links_, [this](SideLink* aLink) { OnLink(aLink); });
    if (const auto* failure = std::get_if<Failure>(&listener)) {
      LogProblem("links-refused", { { "reason", failure->message_ } });
      return;
    }
    listener_ = std::move(std::get<std::unique_ptr<LinkListener>>(listener));
    FindEarlierRow();
  }

  /**
   * Reads whether the table has a row of an earlier incarnation of this side.
   *
   * A leader that takes over waits for each side that has a row. A side without
   * a row and without a worker writes none, because nothing can run there.
   */
  void FindEarlierRow()
  {
    store_.Read(RowRange::Only(MemberRowId(settings_.fleet_.name_)),
                ReadMonotonicClock() + kRegisterTimeout,
                Guarded(this, [this](Result<RowPage> aPage) {
                  const auto* page = std::get_if<RowPage>(&aPage);
                  if (page == nullptr) {
                    QTimer::singleShot(
                      kRegisterRetry, this, [this] { FindEarlierRow(); });
                    return;
                  }
                  hasEarlierRow_ = !page->rows_.empty();
                  RegisterIfNeeded();
                }));
  }

  /** Registers this side if it has a worker or a row of an earlier
   * incarnation, unless it has registered already. */
  void RegisterIfNeeded()
  {
    if (!hasEarlierRow_.has_value() || registeredAt_ != Instant()) {
      return;
    }
    if (*hasEarlierRow_ || !keeper_.WorkerId().empty()) {
      Register();
    }
  }

  /**
   * Registers again a side that no leader contacts, if its row was removed or
   * replaced.
   *
   * Each write of the row withholds the acceptance of leaders until the store
   * answers. A row that is still there is therefore left as it is, so that a
   * leader can return during an outage of the store.
   */
  void RegisterAgain()
  {
    if (settings_.features_.earlyTakeover_ == FeatureSwitch::Off) {
      Register();
      return;
    }
    if (registering_ || rechecking_ || !epochToAccept_.has_value()) {
      return;
    }
    rechecking_ = true;
    registeredAt_ = ReadMonotonicClock();
    store_.Read(RowRange::Only(MemberRowId(settings_.fleet_.name_)),
                registeredAt_ + kRegisterTimeout,
                Guarded(this, [this](Result<RowPage> aPage) {
                  rechecking_ = false;
                  const auto* page = std::get_if<RowPage>(&aPage);
                  if (page != nullptr && page->version_ >= memberVersion_ &&
                      (page->rows_.empty() ||
                       page->rows_.front().version_ != memberVersion_)) {
                    Register();
                  }
                }));
  }

  /** Writes the row by which leaders find this side. */
  void Register()
  {
    if (registering_ || listener_ == nullptr) {
      return;
    }
    registering_ = true;
    WithholdAcceptance();
    registeredAt_ = ReadMonotonicClock();
    RowTransaction transaction;
    const MemberRecord record{ settings_.fleet_.links_.Text(), incarnation_ };
    transaction.puts_.push_back(
      { MemberRowId(settings_.fleet_.name_), EncodeRecord(record) });
    store_.Write(transaction,
                 registeredAt_ + kRegisterTimeout,
                 Guarded(this, [this](const Commit& aCommit) {
                   registering_ = false;
                   if (aCommit.outcome_ == CommitOutcome::Done) {
                     memberVersion_ = aCommit.version_;
                     ReadLease();
                   }
                   if (aCommit.outcome_ != CommitOutcome::Done) {
                     QTimer::singleShot(
                       kRegisterRetry, this, [this] { Register(); });
                   }
                 }));
  }

  /** Accepts no leader until ReadLease() has succeeded. */
  void WithholdAcceptance()
  {
    if (settings_.features_.earlyTakeover_ != FeatureSwitch::Off) {
      epochToAccept_.reset();
      DropLink();
    }
  }

  /**
   * Reads the lease after the row of this side was written, and from then on
   * accepts leaders of at least the epoch read.
   *
   * A new leader waits for each side whose row it has read. A side whose row it
   * has not read wrote that row after the takeover, so this read shows the new
   * epoch, and the side accepts no orders of the former leader. The read must
   * be at least as new as the row, because a replica may lag behind.
   */
  void ReadLease()
  {
    if (settings_.features_.earlyTakeover_ == FeatureSwitch::Off ||
        registering_ || epochToAccept_.has_value()) {
      return;
    }
    const std::uint64_t written = memberVersion_;
    store_.Read(RowRange::Only(LeaderRowId()),
                ReadMonotonicClock() + kRegisterTimeout,
                Guarded(this, [this, written](Result<RowPage> aPage) {
                  OnLease(std::move(aPage), written);
                }));
  }

  void OnLease(Result<RowPage> aPage, std::uint64_t aWritten)
  {
    const auto* page = std::get_if<RowPage>(&aPage);
    // A row written again since this read was sent has its own read.
    if (aWritten != memberVersion_ || registering_) {
      return;
    }
    const std::optional<std::uint64_t> epoch =
      page == nullptr || page->version_ < aWritten ? std::nullopt
                                                   : EpochOf(*page);
    if (!epoch.has_value()) {
      QTimer::singleShot(kRegisterRetry, this, [this] { ReadLease(); });
      return;
    }
    epochToAccept_ = *epoch;
    LogChange("accepts-leaders", { { "fromEpoch", std::to_string(*epoch) } });
  }

  /** Returns the epoch in the lease row, 0 without a row; none if the row is
   * unreadable. */
  static std::optional<std::uint64_t> EpochOf(const RowPage& aPage)
  {
    if (aPage.rows_.empty()) {
      return 0;
    }
    const Result<LeaderRecord> record =
      DecodeRecord<LeaderRecord>(aPage.rows_.front().value_);
    if (const auto* failure = std::get_if<Failure>(&record)) {
      LogProblem("lease-unreadable", { { "reason", failure->message_ } });
      return std::nullopt;
    }
    return std::get<LeaderRecord>(record).epoch_;
  }

  /** Returns whether leaders of aEpoch may be accepted as far as the lease row
   * is known. */
  bool MayAccept(std::uint64_t aEpoch) const
  {
    return settings_.features_.earlyTakeover_ == FeatureSwitch::Off ||
           (epochToAccept_.has_value() && aEpoch >= *epochToAccept_);
  }

  /**
   * Removes the row of this side, which has no worker and no runs.
   *
   * A leader that takes over waits for each side that has a row. The removal is
   * conditional on the row version, so a removal that is executed late does not
   * affect the row of a later incarnation.
   */
  void Deregister()
  {
    if (memberVersion_ == 0) {
      return;
    }
    deregistering_ = true;
    RowTransaction transaction;
    const RowId id = MemberRowId(settings_.fleet_.name_);
    transaction.conditions_.push_back({ id, memberVersion_ });
    transaction.removals_.push_back(id);
    store_.Write(
      transaction,
      ReadMonotonicClock() + kDeregisterTimeout,
      Guarded(this, [this](const Commit& aCommit) {
        const bool removed = aCommit.outcome_ == CommitOutcome::Done;
        LogChange("deregistered", { { "removed", removed ? "yes" : "no" } });
        deregistering_ = false;
        Pump();
      }));
  }

  void OnLink(SideLink* aLink)
  {
    aLink->setParent(this);
    connect(aLink,
            &SideLink::Received,
            this,
            [this, aLink](const WireMessage& aMessage) {
              OnMessage(aLink, aMessage);
            });
    connect(aLink, &SideLink::Lost, this, [this, aLink] {
      if (link_ == aLink) {
        link_.clear();
        keeper_.OnLeaderLinkLost();
        LogChange("leader-lost", {});
      }
      aLink->deleteLater();
    });
  }

  void OnMessage(SideLink* aLink, const WireMessage& aMessage)
  {
    const Instant now = ReadMonotonicClock();
    if (const auto* hello = std::get_if<FleetHelloMessage>(&aMessage)) {
      OnHello(aLink, *hello, now);
      return;
    }
    const auto* orders = std::get_if<FleetOrders>(&aMessage);
    if (orders == nullptr || link_ != aLink) {
      return;
    }
    lastReceivedAt_ = now;
    if (!keeper_.OnOrders(*orders, now)) {
      DropLink();
      return;
    }
    Pump();
  }

  void OnHello(SideLink* aLink, const FleetHelloMessage& aHello, Instant aNow)
  {
    if (!aHello.isLeader_ || aHello.epoch_ < keeper_.Epoch() ||
        aHello.epoch_ < linkEpoch_ || !MayAccept(aHello.epoch_)) {
      aLink->Close();
      return;
    }
    DropLink();
    link_ = aLink;
    linkEpoch_ = aHello.epoch_;
    lastReceivedAt_ = aNow;
    LogChange("leader-linked",
              { { "leader", aHello.node_ },
                { "epoch", std::to_string(aHello.epoch_) } });
    keeper_.OnLeaderLink(aNow);
    reports_.Reset();
    Pump();
  }

  void DropLink()
  {
    if (!link_.isNull()) {
      link_->disconnect();
      link_->Close();
      link_->deleteLater();
      link_.clear();
      keeper_.OnLeaderLinkLost();
    }
  }

  void OnTick()
  {
    const Instant now = ReadMonotonicClock();
    if (!link_.isNull() && now - lastReceivedAt_ > kLeaderTimeout) {
      LogChange("leader-silent", {});
      DropLink();
    }
    if (registeredAt_ != Instant() && link_.isNull() &&
        now - lastReceivedAt_ > kOrphanedSideTimeout &&
        now - registeredAt_ > kOrphanedSideTimeout) {
      RegisterAgain();
    }
    Pump();
  }

  /** Detects a suspension of the host since the last call and reports its
   * duration to the keeper. */
  void DetectSuspension(Instant aNow)
  {
    const Micros offset = aNow - ReadSteadyClock();
    const auto gap = std::chrono::duration_cast<Millis>(offset - clockOffset_);
    if (clockOffsetKnown_ && gap > kSuspensionThreshold) {
      LogChange("host-suspended", { { "ms", std::to_string(gap.count()) } });
      keeper_.OnSuspended(gap);
    }
    clockOffsetKnown_ = true;
    clockOffset_ = offset;
  }

  /** Sends the calls to the worker and the report to the leader that are due,
   * and completes a planned stop that is ready or has reached its bound. */
  void Pump()
  {
    const Instant now = ReadMonotonicClock();
    DetectSuspension(now);
    LogIncarnation();
    for (const WorkerCall& call : keeper_.TakeCalls(now)) {
      const std::uint64_t id =
        std::visit([](const auto& aCall) { return aCall.head_.id_; }, call);
      worker_.Send(call, [this, id](const CallAnswer& aAnswer) {
        keeper_.OnAnswer(id, aAnswer, ReadMonotonicClock());
        Pump();
      });
    }
    if (!link_.isNull()) {
      if (auto report = keeper_.TakeReport(now)) {
        link_->Send(reports_.Encode(std::move(*report)));
      }
    }
    PublishPacing();
    const bool ready = keeper_.ReadyToStop() && !deregistering_;
    if (stopped_ && (ready || now >= stopBound_)) {
      LogChange("stopped", {});
      std::exchange(stopped_, nullptr)();
    }
  }

  /** Writes changes of the cap on the pace of backfill to the metrics, and its
   * beginning and end to the log. */
  void PublishPacing()
  {
    const LocalPacing& pacing = keeper_.Pacing();
    const std::uint32_t cap = pacing.Cap();
    Metrics::OfProcess().Count(Counter::BackfillPaceReductions,
                               pacing.Reductions() - paceReductions_);
    paceReductions_ = pacing.Reductions();
    if (cap == paceCap_) {
      return;
    }
    Metrics::OfProcess().Set(Gauge::BackfillPaceCap, cap);
    const bool begins = paceCap_ == kUncappedPace;
    if (begins || cap == kUncappedPace) {
      LogChange("local-pacing",
                { { "state", begins ? "begins" : "ends" },
                  { "pressure", std::to_string(keeper_.Pressure()) },
                  { "cap", std::to_string(begins ? cap : paceCap_) },
                  { "epoch", std::to_string(keeper_.Epoch()) } });
    }
    paceCap_ = cap;
  }

  FleetSideSettings settings_;
  std::string incarnation_;
  Store store_;
  typename Platform::WorkerClient worker_;
  WorkerKeeper keeper_;
  /** Incarnation of the worker as last logged. */
  WorkerIncarnation loggedIncarnation_;
  KeyKeeper<Store> key_;
  std::unique_ptr<HttpFront> front_;
  std::unique_ptr<HttpFront> metrics_;
  std::unique_ptr<LinkListener> listener_;
  QPointer<SideLink> link_;
  /** Encoder state of link_. */
  ReportEncoder reports_;
  std::uint64_t linkEpoch_ = 0;
  Instant lastReceivedAt_;
  Instant registeredAt_;
  bool registering_ = false;
  /** RegisterAgain() reads the row of this side. */
  bool rechecking_ = false;
  /** Lowest epoch of leaders that this side accepts; none until the lease was
   * read after the row of this side was written. Not used with early takeover
   * switched off. */
  std::optional<std::uint64_t> epochToAccept_;
  /** Whether the table has a row of an earlier incarnation; std::nullopt until
   * the table has been read. */
  std::optional<bool> hasEarlierRow_;
  /** Version of this side's row as last written. */
  std::uint64_t memberVersion_ = 0;
  bool deregistering_ = false;
  /** Cap on the pace of backfill, and number of its reductions, as last
   * published. */
  std::uint32_t paceCap_ = kUncappedPace;
  std::uint64_t paceReductions_ = 0;
  QTimer tick_;
  /** Monotonic clock that includes suspended time minus the clock that does
   * not. */
  Micros clockOffset_{ 0 };
  bool clockOffsetKnown_ = false;
  Instant stopBound_;
  std::function<void()> stopped_;
};

}
