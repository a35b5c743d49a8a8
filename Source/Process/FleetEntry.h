#pragma once

#include "Connection/HttpFront.h"
#include "Connection/RowStore.h"
#include "Process/AdmissionControl.h"
#include "Process/CallerCall.h"
#include "Process/ConsistentStore.h"
#include "Process/FleetLeader.h"
#include "Process/FleetRecords.h"
#include "Process/FleetSettings.h"
#include "Process/JobIntake.h"
#include "Process/KeyKeeper.h"
#include "Process/LeaderLink.h"
#include "Process/LeaseRunner.h"
#include "Process/LinkListener.h"
#include "Process/Log.h"
#include "Process/Metrics.h"
#include "Process/MetricsRoutes.h"
#include "Process/StopNotice.h"
#include "Process/StoreBreaker.h"
#include "Process/StoredJobs.h"
#include "Process/TableWatch.h"
#include "Version/FleetConfiguration.h"

#include <QObject>
#include <QPointer>
#include <QTimer>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cactusrail {

/** Requirements of an entry of the fleet on its platform. */
template<typename Platform>
concept EntryPlatform = RowStore<typename Platform::Store> &&
  requires(const HttpExchange& aExchange,
           const FleetConfiguration* aConfiguration,
           const CallerReply& aReply,
           const RowId& aRow,
           const std::string& aText)
{
  {
    Platform::ConfigurationRow()
    } -> std::same_as<RowId>;
  {
    Platform::DecodeConfiguration(aText)
    } -> std::same_as<Result<FleetConfiguration>>;
  // The data centre whose evacuation the row orders while it exists; none for
  // other rows of the configuration's table.
  {
    Platform::EvacuatedDataCentre(aRow)
    } -> std::same_as<std::optional<std::string>>;
  {
    Platform::DecodeCaller(aExchange, aConfiguration)
    } -> std::same_as<CallerCall>;
  {
    Platform::EncodeReply(aReply)
    } -> std::same_as<HttpAnswer>;
  {
    Platform::AsksReadiness(aExchange)
    } -> std::same_as<bool>;
};

/**
 * Entry of the fleet: accepts jobs and queries of callers. One of the entries
 * is the leader and places the work. Holds no state that must survive a
 * restart. Owned by main.
 */
template<EntryPlatform Platform>
class FleetEntry : public QObject
{
public:
  using Store = ConsistentStore<typename Platform::Store>;

  static Result<std::unique_ptr<FleetEntry>> Start(
    const FleetEntrySettings& aSettings)
  {
    std::unique_ptr<FleetEntry> self(new FleetEntry(aSettings));
    const Result<bool> opened = self->Open();
    if (const auto* failure = std::get_if<Failure>(&opened)) {
      return *failure;
    }
    return self;
  }

  ~FleetEntry() override
  {
    for (SideLink* link : peers_) {
      link->disconnect();
      delete link;
    }
  }

  /**
   * Starts a planned stop: reports that the entry is not ready, serves requests
   * until the load balancer has received that report, and then closes.
   */
  void Stop(std::function<void()> aDone)
  {
    LogChange("stopping", {});
    stopping_ = true;
    stopped_ = std::move(aDone);
    const Instant now = ReadMonotonicClock();
    stopBound_ = now + settings_.fleet_.stopBound_ - kStopMargin;
    notice_.Begin(now, stopBound_ - kLastAnswers);
    lease_.StepDown();
    callers_->CloseAfterAnswers();
    connect(&stopCheck_, &QTimer::timeout, this, [this] { CheckStopped(); });
    stopCheck_.start(kStopCheck);
  }

  std::string Describe() const
  {
    return "callers=" + settings_.callers_.Text() +
           " links=" + settings_.fleet_.links_.Text();
  }

private:
  /** Maximum time to answer the requests that are accepted last. */
  static constexpr Millis kLastAnswers{ 1500 };
  static constexpr Millis kStopCheck{ 50 };
  /** Margin by which the process exits before the configured maximum duration
   * of a stop. */
  static constexpr Millis kStopMargin{ 800 };
  /** Timeout of a request to the leader. The leader answers from memory; an
   * answer of the table service takes about 10 ms. */
  static constexpr Millis kAskTimeout{ 350 };
  /** Timeout of a write to the store on behalf of another entry. */
  static constexpr Millis kPeerStoreTimeout{ 1000 };
  /** Time without an answer after which the table counts as unresponsive. The
   * table is called every 0.7 s, and a call times out after 1 s. */
  static constexpr Millis kTableAnswerTimeout{ 2000 };
  /** Part of a caller's timeout that is reserved for sending the answer. */
  static constexpr Millis kAnswerMargin{ 250 };
  /** Maximum timeout of a request to the leader to store a job or a
   * cancellation, including the leader's retries of the write. */
  static constexpr Millis kStoreTimeout{ 800 };
  /** Interval at which the features of Source/Load are updated. */
  static constexpr Millis kLoadTick{ 100 };
  /** Interval at which the leading entry updates its load digest. */
  static constexpr Millis kDigestInterval{ 300 };
  /** Timeout of a probe of the store. */
  static constexpr Millis kProbeTimeout{ 1000 };
  /** Interval between retries of a write that may already be stored. */
  static constexpr Millis kUnknownOutcomeRetry{ 100 };

  using Answer = std::function<void(const CallerReply&)>;

  explicit FleetEntry(const FleetEntrySettings& aSettings)
    : settings_(aSettings)
    , incarnation_(aSettings.fleet_.name_ + "-" +
                   std::to_string(ReadWallClock()))
    , store_(aSettings.fleet_.store_)
    , breaker_(aSettings.fleet_.name_)
    , intake_(
        store_,
        [this](bool aDone, Instant aSentAt) { OnStoreWritten(aDone, aSentAt); })
    , stored_(store_)
    , leaderLink_(aSettings.fleet_.name_,
                  aSettings.processors_,
                  aSettings.linkMbps_)
    , lease_(store_,
             { aSettings.fleet_.name_,
               incarnation_,
               aSettings.fleet_.links_.Text(),
               aSettings.processors_,
               aSettings.linkMbps_,
               aSettings.bounds_.features_.earlyTakeover_ },
             [this] { OnLeaseChanged(); })
    , key_(store_, [this] { OnKey(); })
    , operatorWatch_(
        store_,
        Platform::ConfigurationRow().table_,
        { Platform::ConfigurationRow().part_ },
        TableUse::Follow,
        [this](const Row& aRow) { OnOperatorRow(aRow); },
        [] {})
  {
  }

  Result<bool> Open()
  {
    const auto serve = [this](const HttpExchange& aExchange) {
      OnCaller(aExchange);
    };
    auto callers = HttpFront::Listen(
      settings_.callers_.ip_, settings_.callers_.port_, HttpLimits(), serve);
    if (const auto* failure = std::get_if<Failure>(&callers)) {
      return *failure;
    }
    callers_ = std::move(std::get<std::unique_ptr<HttpFront>>(callers));
    auto readiness = HttpFront::Listen(
      settings_.readiness_.ip_,
      settings_.readiness_.port_,
      HttpLimits(),
      [this](const HttpExchange& aExchange) { OnReadiness(aExchange); });
    if (const auto* failure = std::get_if<Failure>(&readiness)) {
      return *failure;
    }
    readiness_ = std::move(std::get<std::unique_ptr<HttpFront>>(readiness));
    connect(
      &leaderLink_, &LeaderLink::LeaderYields, this, [this](quint64 aVersion) {
        LogChange("leader-yields", { { "version", std::to_string(aVersion) } });
        lease_.OnYield(aVersion);
      });
    connect(&leaderLink_, &LeaderLink::Answered, this, [this] {
      lease_.OnLeaderAnswer();
    });
    connect(&leaderLink_, &LeaderLink::NotOpened, this, [this] {
      lease_.OnLeaderLinkNotOpened();
    });
    leaderLink_.SetHeartbeat(
      [this] { return HeartbeatSubject(); },
      [this](const FleetResponseMessage& aAnswer, Instant aSentAt) {
        admission_.OnAnswer(aAnswer, aSentAt, ReadMonotonicClock());
      });
    auto metrics = ListenForMetrics(settings_.fleet_.metrics_);
    if (const auto* failure = std::get_if<Failure>(&metrics)) {
      return *failure;
    }
    metrics_ = std::move(std::get<std::unique_ptr<HttpFront>>(metrics));
    Metrics::OfProcess().Describe("fleet-entry", settings_.fleet_.name_);
    operatorWatch_.Start();
    key_.Start();
    const FleetFeatures& features = settings_.bounds_.features_;
    if (features.storeBreaker_ != FeatureSwitch::Off ||
        features.admission_ != FeatureSwitch::Off) {
      connect(&loadTick_, &QTimer::timeout, this, [this] { OnLoadTick(); });
      loadTick_.start(kLoadTick);
    }
    return true;
  }

  void OnKey()
  {
    auto listener = LinkListener::Listen(
      settings_.fleet_.links_, [this](SideLink* aLink) { OnPeer(aLink); });
    if (const auto* failure = std::get_if<Failure>(&listener)) {
      LogProblem("links-refused", { { "reason", failure->message_ } });
      return;
    }
    listener_ = std::move(std::get<std::unique_ptr<LinkListener>>(listener));
    lease_.Start();
  }

  // Load and failures of the store.

  bool Enabled(FeatureSwitch aSwitch) const
  {
    return IsEnabled(aSwitch, lease_.Lease().Leader().workerProtocol_);
  }

  void OnLoadTick()
  {
    breaker_.SetEnabled(Enabled(settings_.bounds_.features_.storeBreaker_));
    breaker_.OnAnswered(lease_.AnsweredAt());
    ProbeStore();
    admission_.SetEnabled(Enabled(settings_.bounds_.features_.admission_));
    admission_.OnLeader(lease_.Lease().Epoch(), ReadMonotonicClock());
    UpdateOwnDigest();
  }

  /** Updates the load digest of the leading entry. The other entries get theirs
   * in the answers to their heartbeats. */
  void UpdateOwnDigest()
  {
    const Instant now = ReadMonotonicClock();
    if (!admission_.Enabled() || !IsLeading() || now < nextDigestAt_) {
      return;
    }
    nextDigestAt_ = now + kDigestInterval;
    admission_.OnAnswer(LoadAnswer(admission_.KnownVersion()), now, now);
  }

  FleetResponseMessage LoadAnswer(const std::string& aKnownVersion)
  {
    if (!IsLeading()) {
      return Outcome(FleetOutcome::NotLeading);
    }
    if (!Enabled(settings_.bounds_.features_.admission_)) {
      return Outcome(FleetOutcome::Ok);
    }
    FleetScheduler& scheduler = leadership_->Scheduler();
    scheduler.SetEntryCount(static_cast<std::uint32_t>(peers_.size() + 1));
    return AdmissionControl::MakeAnswer(scheduler.Digest(), aKnownVersion);
  }

  /**
   * Rejects a job unless an earlier attempt may have stored it through any
   * entry. If that cannot be found out, the job is written again.
   */
  void RejectUnlessKnown(const JobDescription& aSpec,
                         const CompletionEstimate& aEstimate,
                         Instant aDeadline,
                         const Answer& aAnswer)
  {
    AskLeader(FleetRequestKind::State,
              aSpec.id_,
              {},
              kAskTimeout,
              [this, aSpec, aEstimate, aDeadline, aAnswer](
                const std::optional<FleetResponseMessage>& aReply) {
                if (aReply.has_value() &&
                    aReply->outcome_ == FleetOutcome::Ok) {
                  aAnswer(ReplyOf(CallerOutcome::Stored));
                } else if (aReply.has_value() &&
                           aReply->outcome_ == FleetOutcome::Unknown) {
                  RejectUnlessStored(aSpec, aEstimate, aDeadline, aAnswer);
                } else {
                  Submit(aSpec, aDeadline, aAnswer);
                }
              });
  }

  void RejectUnlessStored(const JobDescription& aSpec,
                          const CompletionEstimate& aEstimate,
                          Instant aDeadline,
                          const Answer& aAnswer)
  {
    const RowId row = JobRowId(aSpec.id_);
    stored_.Find(
      row,
      [this, row, aSpec, aEstimate, aDeadline, aAnswer](
        std::optional<bool> aStored) {
        if (aStored.value_or(false)) {
          aAnswer(ReplyOf(CallerOutcome::Stored));
        } else if (!aStored.has_value() || intake_.MayBeStored(row)) {
          Submit(aSpec, aDeadline, aAnswer);
        } else {
          aAnswer(admission_.Reject(aSpec, aEstimate, ReadMonotonicClock()));
        }
      });
  }

  /** Sends the probe of the open breaker: a read, so that no caller waits for
   * it or gets an unknown outcome. */
  void ProbeStore()
  {
    const Instant now = ReadMonotonicClock();
    if (!breaker_.TakeProbe(now)) {
      return;
    }
    store_.Read(RowRange::Only(LeaderRowId()),
                now + kProbeTimeout,
                Guarded(this, [this](const Result<RowPage>& aPage) {
                  breaker_.OnProbeEnded(Succeeded(aPage), ReadMonotonicClock());
                }));
  }

  void OnStoreWritten(bool aDone, Instant aSentAt)
  {
    const Instant now = ReadMonotonicClock();
    breaker_.OnAnswered(aDone ? now : lease_.AnsweredAt());
    if (!aDone && breaker_.OnFailed(aSentAt, now)) {
      // The intake is in the middle of a write.
      QTimer::singleShot(0, this, [this] { intake_.RefuseUnsent(); });
    }
  }

  /** Returns whether a write of the row must not be attempted. A write of which
   * an earlier attempt may be stored is repeated, so that its outcome becomes
   * known. */
  bool RejectsWrite(const RowId& aRow) const
  {
    return breaker_.Enabled() &&
           (breaker_.Rejects() || TableIsUnresponsive()) &&
           !intake_.MayBeStored(aRow);
  }

  static RowId RowOf(FleetRequestKind aQuestion, const std::string& aJob)
  {
    return aQuestion == FleetRequestKind::StoreCancel ? CancelRowId(aJob)
                                                      : JobRowId(aJob);
  }

  CallerReply ReplyStoreRefuses()
  {
    CallerReply reply =
      ReplyTryLater("The table service accepts no writes now; retry later.");
    reply.retryAfter_ = breaker_.RetryAfter(ReadMonotonicClock());
    return reply;
  }

  /** Handles a request whose write had no effect. */
  void OnNotStored(FleetRequestKind aQuestion,
                   const std::string& aJob,
                   const std::string& aRecord,
                   Instant aDeadline,
                   const Answer& aAnswer)
  {
    if (breaker_.Enabled() && intake_.MayBeStored(RowOf(aQuestion, aJob))) {
      RetryUnknownStore(aQuestion, aJob, aRecord, aDeadline, aAnswer);
    } else {
      aAnswer(ReplyStoreRefuses());
    }
  }

  /** Handles a request that the open breaker rejects: the leader may reach the
   * store. */
  void StoreElsewhere(FleetRequestKind aQuestion,
                      const std::string& aJob,
                      std::string aRecord,
                      Instant aDeadline,
                      const Answer& aAnswer)
  {
    if (leadership_ == nullptr && leaderLink_.Usable()) {
      StoreViaLeader(aQuestion, aJob, std::move(aRecord), aDeadline, aAnswer);
    } else {
      aAnswer(ReplyStoreRefuses());
    }
  }

  // The operator's table: the configuration and evacuations.

  void OnOperatorRow(const Row& aRow)
  {
    if (const std::optional<std::string> dataCentre =
          Platform::EvacuatedDataCentre(aRow.id_)) {
      OnEvacuationRow(*dataCentre, !aRow.removed_);
    } else if (!aRow.removed_ &&
               aRow.id_.key_ == Platform::ConfigurationRow().key_) {
      OnConfigurationRow(aRow);
    }
  }

  void OnEvacuationRow(const std::string& aDataCentre, bool aEvacuated)
  {
    const bool changed = aEvacuated ? evacuated_.insert(aDataCentre).second
                                    : evacuated_.erase(aDataCentre) > 0;
    if (changed) {
      LogChange(aEvacuated ? "evacuation-read" : "evacuation-removal-read",
                { { "dataCentre", aDataCentre } });
      Metrics::OfProcess().Set(Gauge::EvacuatedDataCentres, evacuated_.size());
    }
  }

  void OnConfigurationRow(const Row& aRow)
  {
    Result<FleetConfiguration> decoded =
      Platform::DecodeConfiguration(aRow.value_);
    if (const auto* failure = std::get_if<Failure>(&decoded)) {
      LogProblem("configuration-unreadable",
                 { { "reason", failure->message_ } });
      return;
    }
    auto& configuration = std::get<FleetConfiguration>(decoded);
    if (configuration_ != nullptr &&
        configuration_->version_ >= configuration.version_) {
      return;
    }
    LogChange("configuration-in-force",
              { { "version", std::to_string(configuration.version_) },
                { "queues", std::to_string(configuration.queues_.size()) } });
    configuration_ =
      std::make_shared<const FleetConfiguration>(std::move(configuration));
  }

  // Leadership.

  bool IsLeading() const
  {
    return leadership_ != nullptr && leadership_->Loaded();
  }

  void OnLeaseChanged()
  {
    const LeaderLease& lease = lease_.Lease();
    if (!lease.Holds() && leadership_ != nullptr) {
      EndLeadership();
    }
    if (leadership_ != nullptr && leadershipEpoch_ != lease.Epoch()) {
      EndLeadership();
    }
    if (lease.Holds() && leadership_ == nullptr && !stopping_ &&
        lease.IsLeader(ReadMonotonicClock())) {
      leadershipEpoch_ = lease.Epoch();
      RecordTakeover();
      leadership_ = std::make_unique<FleetLeader<Store>>(
        store_,
        lease,
        settings_.bounds_,
        settings_.fleet_.name_,
        [this] {
          return EvacuationView{ evacuated_, operatorWatch_.CurrentAsOf() };
        },
        [this] { EndLeadership(); });
      leadership_->Start();
    }
    if (IsLeading()) {
      if (const auto protocol = leadership_->Scheduler().Protocol()) {
        lease_.SetWorkerProtocol(*protocol);
      }
    }
    const LeaderRecord& leader = lease.Leader();
    const bool other = !leader.node_.empty() &&
                       leader.incarnation_ != incarnation_ &&
                       listener_ != nullptr;
    leaderLink_.SetLeader(other ? leader.address_ : std::string(),
                          other ? leader.incarnation_ : std::string());
    leaderLink_.EnableHeartbeat(
      other && (lease.EarlyTakeoverEnabled() ||
                Enabled(settings_.bounds_.features_.admission_)));
  }

  /** Returns the subject of the heartbeats sent to the leader; see
   * FleetRequestKind::Load. */
  std::string HeartbeatSubject() const
  {
    return admission_.Enabled() ? admission_.KnownVersion() : std::string();
  }

  void RecordTakeover() const
  {
    const LeaderLease& lease = lease_.Lease();
    Metrics::OfProcess().Count(CounterOf(lease.Takeover()));
    const auto without = std::chrono::duration_cast<Millis>(
      ReadMonotonicClock() - lease.FormerLeaderSeenAt());
    Metrics::OfProcess().Set(Gauge::LeaderlessMs,
                             static_cast<std::uint64_t>(without.count()));
  }

  static Counter CounterOf(LeaseTakeover aKind)
  {
    switch (aKind) {
      case LeaseTakeover::Free:
        return Counter::TakeoversFree;
      case LeaseTakeover::Expired:
        return Counter::TakeoversExpired;
      case LeaseTakeover::Yielded:
        return Counter::TakeoversYielded;
      case LeaseTakeover::OwnAddress:
        return Counter::TakeoversOwnAddress;
      case LeaseTakeover::Early:
        break;
    }
    return Counter::TakeoversEarly;
  }

  void EndLeadership()
  {
    if (leadership_ == nullptr) {
      return;
    }
    LogChange("leading-ended",
              { { "epoch", std::to_string(leadershipEpoch_) } });
    // Deletes the leader later, because this may run in one of its callbacks.
    std::shared_ptr<FleetLeader<Store>> ended(std::move(leadership_));
    QTimer::singleShot(0, this, [ended] {});
  }

  // Other entries.

  void OnPeer(SideLink* aLink)
  {
    peers_.insert(aLink);
    connect(aLink,
            &SideLink::Received,
            this,
            [this, aLink](const WireMessage& aMessage) {
              if (const auto* ask =
                    std::get_if<FleetRequestMessage>(&aMessage)) {
                OnAsk(aLink, *ask);
              } else if (const auto* hello =
                           std::get_if<FleetHelloMessage>(&aMessage)) {
                OnPeerHello(aLink, *hello);
              }
            });
    connect(aLink, &SideLink::Lost, this, [this, aLink] {
      peers_.erase(aLink);
      aLink->deleteLater();
    });
  }

  /** Handles the hello of a peer. The peer has just read the leader row, so it
   * reaches the table. */
  void OnPeerHello(SideLink* aLink, const FleetHelloMessage& aHello)
  {
    const double processors = aHello.milliProcessors_ / 1000.0;
    if (leadership_ != nullptr &&
        lease_.Lease().ShouldYieldTo(processors, aHello.linkMbps_)) {
      YieldTo(aLink,
              "the other entry runs on a host with more processors or a faster "
              "link: " +
                aHello.node_);
    }
  }

  void YieldTo(SideLink* aLink, std::string aWhy)
  {
    if (lease_.Lease().IsLeader(ReadMonotonicClock())) {
      LogChange("yielding",
                { { "epoch", std::to_string(leadershipEpoch_) },
                  { "why", std::move(aWhy) } });
      lease_.Yield();
    }
    aLink->Send(Outcome(FleetOutcome::TakeOver, lease_.Lease().RowVersion()));
  }

  void OnAsk(SideLink* aLink, const FleetRequestMessage& aAsk)
  {
    const QPointer<SideLink> link(aLink);
    const std::uint64_t id = aAsk.id_;
    const bool reachesTable = aAsk.question_ == FleetRequestKind::JobStored ||
                              aAsk.question_ == FleetRequestKind::CancelStored;
    if (reachesTable && leadership_ != nullptr && TableIsUnresponsive()) {
      YieldTo(aLink,
              "the requesting entry has written to the table, which is "
              "unresponsive to this leader");
    }
    AnswerAsk(aAsk, [link, id](FleetResponseMessage aAnswer) {
      if (id != 0 && !link.isNull()) {
        aAnswer.id_ = id;
        link->Send(aAnswer);
      }
    });
  }

  static FleetResponseMessage Outcome(FleetOutcome aOutcome,
                                      std::uint64_t aValue = 0)
  {
    return { 0, aOutcome, aValue, {} };
  }

  /** Answers a request to the leader from another entry or from this one. */
  void AnswerAsk(const FleetRequestMessage& aAsk,
                 const std::function<void(FleetResponseMessage)>& aAnswer)
  {
    switch (aAsk.question_) {
      case FleetRequestKind::JobStored:
        aAnswer(HandleJobStored(aAsk));
        return;
      case FleetRequestKind::CancelStored:
        if (leadership_ != nullptr) {
          leadership_->OnCancelStored(aAsk.subject_);
        }
        aAnswer(Outcome(FleetOutcome::Ok));
        return;
      case FleetRequestKind::State:
        aAnswer(StateAnswer(aAsk.subject_));
        return;
      case FleetRequestKind::Waiting:
        aAnswer(IsLeading()
                  ? Outcome(FleetOutcome::Ok,
                            leadership_->Scheduler().Waiting(aAsk.subject_))
                  : Outcome(FleetOutcome::NotLeading));
        return;
      case FleetRequestKind::Load:
        aAnswer(LoadAnswer(aAsk.subject_));
        return;
      case FleetRequestKind::StoreJob:
      case FleetRequestKind::StoreCancel:
        StoreForPeer(aAsk, aAnswer);
        return;
    }
  }

  FleetResponseMessage HandleJobStored(const FleetRequestMessage& aAsk)
  {
    const Result<JobDescription> spec =
      DecodeRecord<JobDescription>(aAsk.record_);
    if (leadership_ == nullptr || !Succeeded(spec)) {
      return Outcome(FleetOutcome::NotLeading);
    }
    leadership_->OnJobStored(std::get<JobDescription>(spec));
    return Outcome(FleetOutcome::Ok);
  }

  FleetResponseMessage StateAnswer(const std::string& aJob)
  {
    if (!IsLeading()) {
      return Outcome(FleetOutcome::NotLeading);
    }
    const std::optional<JobState> state =
      leadership_->Scheduler().StateOf(aJob);
    return state.has_value()
             ? Outcome(FleetOutcome::Ok, static_cast<std::uint64_t>(*state))
             : Outcome(FleetOutcome::Unknown);
  }

  void StoreForPeer(const FleetRequestMessage& aAsk,
                    const std::function<void(FleetResponseMessage)>& aAnswer)
  {
    const Instant deadline = ReadMonotonicClock() + kPeerStoreTimeout;
    const auto answer = [this, aAsk, aAnswer](IntakeOutcome aOutcome) {
      if (aOutcome == IntakeOutcome::Stored) {
        FleetRequestMessage notification = aAsk;
        notification.question_ = aAsk.question_ == FleetRequestKind::StoreJob
                                   ? FleetRequestKind::JobStored
                                   : FleetRequestKind::CancelStored;
        AnswerAsk(notification, [](const FleetResponseMessage&) {});
      }
      aAnswer(Outcome(aOutcome == IntakeOutcome::Stored ? FleetOutcome::Ok
                      : aOutcome == IntakeOutcome::NotStored
                        ? FleetOutcome::NotStored
                        : FleetOutcome::OutcomeUnknown));
    };
    if (RejectsWrite(RowOf(aAsk.question_, aAsk.subject_))) {
      aAnswer(Outcome(FleetOutcome::NotStored));
      return;
    }
    if (aAsk.question_ == FleetRequestKind::StoreCancel) {
      intake_.StoreCancel(aAsk.subject_, deadline, answer);
      return;
    }
    const Result<JobDescription> spec =
      DecodeRecord<JobDescription>(aAsk.record_);
    if (const auto* failure = std::get_if<Failure>(&spec)) {
      LogProblem("job-unreadable", { { "reason", failure->message_ } });
      aAnswer(Outcome(FleetOutcome::NotStored));
      return;
    }
    intake_.StoreJob(std::get<JobDescription>(spec), deadline, answer);
  }

  /** Sends a request to the leader, which may be this entry. */
  void AskLeader(FleetRequestKind aQuestion,
                 const std::string& aSubject,
                 std::string aRecord,
                 Millis aTimeout,
                 LeaderLink::Callback aCallback)
  {
    FleetRequestMessage ask;
    ask.question_ = aQuestion;
    ask.subject_ = aSubject;
    ask.record_ = std::move(aRecord);
    if (leadership_ != nullptr) {
      AnswerAsk(ask, [aCallback](const FleetResponseMessage& aAnswer) {
        aCallback(aAnswer);
      });
      return;
    }
    leaderLink_.Ask(std::move(ask), aTimeout, std::move(aCallback));
  }

  void NotifyLeader(FleetRequestKind aQuestion,
                    const std::string& aSubject,
                    std::string aRecord)
  {
    FleetRequestMessage ask;
    ask.question_ = aQuestion;
    ask.subject_ = aSubject;
    ask.record_ = std::move(aRecord);
    if (leadership_ != nullptr) {
      AnswerAsk(ask, [](const FleetResponseMessage&) {});
      return;
    }
    leaderLink_.Notify(std::move(ask));
  }

  // Callers.

  /** Returns whether the table has not answered within kTableAnswerTimeout. */
  bool TableIsUnresponsive() const
  {
    Instant answered = std::max(lease_.AnsweredAt(), intake_.AnsweredAt());
    if (leadership_ != nullptr) {
      answered = std::max(answered, leadership_->TableAnsweredAt());
    }
    return ReadMonotonicClock() - answered > kTableAnswerTimeout;
  }

  /** Returns whether neither the table nor another leader is reachable, so that
   * no job can be accepted. */
  bool IsCutOff() const
  {
    return TableIsUnresponsive() &&
           (leadership_ != nullptr || !leaderLink_.Usable());
  }

  bool IsReady() const
  {
    return !stopping_ && configuration_ != nullptr && !IsCutOff();
  }

  void OnReadiness(const HttpExchange& aExchange)
  {
    HttpAnswer answer;
    answer.body_ = "{}";
    if (Platform::AsksReadiness(aExchange)) {
      const bool ready = IsReady();
      notice_.OnHealthCheck(ready, ReadMonotonicClock());
      answer.status_ = ready ? 200 : 503;
    } else {
      answer.status_ = 404;
    }
    aExchange.Answer(answer);
  }

  void OnCaller(const HttpExchange& aExchange)
  {
    const CallerCall call =
      Platform::DecodeCaller(aExchange, configuration_.get());
    const Instant arrived = ReadMonotonicClock();
    const char* kind = KindOf(call);
    const std::string job = JobOf(call);
    const Answer answer =
      [this, aExchange, arrived, kind, job](const CallerReply& aReply) {
        const Micros elapsed = ReadMonotonicClock() - arrived;
        Metrics::OfProcess().RequestEnded(
          "callers", kind, VerdictOf(aReply.outcome_), elapsed);
        LogAnswer(job, kind, aReply, elapsed);
        aExchange.Answer(Platform::EncodeReply(aReply));
      };
    std::visit([&](const auto& aWhat) { Serve(aWhat, call.deadline_, answer); },
               call.what_);
  }

  /** Returns the label of the request kind on the metrics page. */
  static const char* KindOf(const CallerCall& aCall)
  {
    // In the order of the alternatives of CallerCall::what_.
    constexpr std::array<const char*, 5> kKinds{
      "refused", "submit", "state", "cancel", "waiting"
    };
    return kKinds.at(aCall.what_.index());
  }

  /** Returns the job that a caller submits or cancels; empty for a query. */
  static std::string JobOf(const CallerCall& aCall)
  {
    if (const auto* submit = std::get_if<SubmitJob>(&aCall.what_)) {
      return submit->spec_.id_;
    }
    const auto* cancel = std::get_if<CancelJob>(&aCall.what_);
    return cancel == nullptr ? std::string() : cancel->job_;
  }

  /** Logs one line for each submission or cancellation of a job, with the
   * verdict and the state on which the answer is based. */
  void LogAnswer(const std::string& aJob,
                 const char* aKind,
                 const CallerReply& aReply,
                 Micros aElapsed) const
  {
    if (aJob.empty()) {
      return;
    }
    const Instant answered =
      std::max(lease_.AnsweredAt(), intake_.AnsweredAt());
    const auto age =
      std::chrono::duration_cast<Millis>(ReadMonotonicClock() - answered);
    LogChange(
      "caller-answered",
      { { "id", aJob },
        { "asked", aKind },
        { "verdict", std::string(VerdictText(VerdictOf(aReply.outcome_))) },
        { "why", aReply.why_ },
        { "tookMs", std::to_string(aElapsed.count() / 1000) },
        { "tableAnsweredMsAgo", std::to_string(age.count()) },
        { "leader", lease_.Lease().Leader().node_ } });
  }

  void Serve(const RefuseCall& aCall, Instant, const Answer& aAnswer)
  {
    switch (aCall.refusal_) {
      case CallerRefusal::NoSuchQueue:
        aAnswer(ReplyOf(CallerOutcome::NoSuchQueue, aCall.why_));
        return;
      case CallerRefusal::BadRequest:
        aAnswer(ReplyOf(CallerOutcome::BadRequest, aCall.why_));
        return;
      case CallerRefusal::NotReady:
        aAnswer(ReplyTryLater(aCall.why_));
        return;
    }
  }

  void Serve(const SubmitJob& aCall, Instant aDeadline, const Answer& aAnswer)
  {
    JobDescription spec = aCall.spec_;
    spec.dataCentre_ = settings_.fleet_.dataCentre_;
    const bool mayBeStored = intake_.MayBeStored(JobRowId(spec.id_));
    if (IsCutOff() && !(breaker_.Enabled() && mayBeStored)) {
      // No write was attempted, so the job is not stored and the caller can
      // retry at once. Another entry may reach the table, and the caller's
      // timeout is short.
      CallerReply reply =
        ReplyTryLater("This entry cannot store the job, because it reaches "
                      "neither the table service nor another leader; "
                      "retry at another entry.");
      reply.retryAfter_ = breaker_.RetryAfter(ReadMonotonicClock());
      aAnswer(reply);
      return;
    }
    if (RejectsWrite(JobRowId(spec.id_))) {
      StoreElsewhere(FleetRequestKind::StoreJob,
                     spec.id_,
                     EncodeRecord(spec),
                     aDeadline,
                     aAnswer);
      return;
    }
    const std::optional<CompletionEstimate> estimate =
      admission_.Check(spec, ReadMonotonicClock());
    if (estimate.has_value() && !mayBeStored) {
      RejectUnlessKnown(spec, *estimate, aDeadline, aAnswer);
      return;
    }
    Submit(spec, aDeadline, aAnswer);
  }

  /** Stores an admitted job. */
  void Submit(const JobDescription& aSpec,
              Instant aDeadline,
              const Answer& aAnswer)
  {
    admission_.OnAccepted(aSpec, ReadMonotonicClock());
    const JobDescription spec = aSpec;
    const auto viaLeader = [this, spec, aDeadline, aAnswer] {
      StoreViaLeader(FleetRequestKind::StoreJob,
                     spec.id_,
                     EncodeRecord(spec),
                     aDeadline,
                     aAnswer);
    };
    if (intake_.IsUnhealthy() && leadership_ == nullptr &&
        leaderLink_.Usable()) {
      viaLeader();
      return;
    }
    intake_.StoreJob(
      spec,
      aDeadline - kAnswerMargin,
      [this, spec, aDeadline, aAnswer, viaLeader](IntakeOutcome aOutcome) {
        if (aOutcome == IntakeOutcome::Stored) {
          NotifyLeader(
            FleetRequestKind::JobStored, spec.id_, EncodeRecord(spec));
          aAnswer(ReplyOf(CallerOutcome::Stored));
        } else if (aOutcome == IntakeOutcome::OutcomeUnknown) {
          aAnswer(ReplyOf(CallerOutcome::OutcomeUnknown,
                          "The table service did not answer in time; query the "
                          "job's state."));
        } else if (leadership_ == nullptr && leaderLink_.Usable()) {
          viaLeader();
        } else {
          OnNotStored(FleetRequestKind::StoreJob,
                      spec.id_,
                      EncodeRecord(spec),
                      aDeadline,
                      aAnswer);
        }
      });
  }

  void StoreViaLeader(FleetRequestKind aQuestion,
                      const std::string& aJob,
                      std::string aRecord,
                      Instant aDeadline,
                      const Answer& aAnswer)
  {
    const Instant now = ReadMonotonicClock();
    const Millis left =
      std::chrono::duration_cast<Millis>(aDeadline - kAnswerMargin - now);
    const std::string record = aRecord;
    AskLeader(aQuestion,
              aJob,
              std::move(aRecord),
              std::clamp(left, kAskTimeout, kStoreTimeout),
              [this, aQuestion, aJob, record, aDeadline, aAnswer](
                const std::optional<FleetResponseMessage>& aReply) {
                if (!aReply.has_value() ||
                    aReply->outcome_ == FleetOutcome::OutcomeUnknown) {
                  // The outcome is unknown; repeating the write resolves it.
                  intake_.OnUnknownElsewhere(RowOf(aQuestion, aJob));
                  RetryUnknownStore(
                    aQuestion, aJob, record, aDeadline, aAnswer);
                } else if (aReply->outcome_ == FleetOutcome::Ok) {
                  aAnswer(ReplyOf(CallerOutcome::Stored));
                } else {
                  OnNotStored(aQuestion, aJob, record, aDeadline, aAnswer);
                }
              });
  }

  /** Repeats a write that may already be stored. Never answers the caller that
   * the job or cancellation is not stored. */
  void RetryUnknownStore(FleetRequestKind aQuestion,
                         const std::string& aJob,
                         const std::string& aRecord,
                         Instant aDeadline,
                         const Answer& aAnswer)
  {
    const auto done = [this, aQuestion, aJob, aRecord, aDeadline, aAnswer](
                        IntakeOutcome aOutcome) {
      if (aOutcome == IntakeOutcome::Stored) {
        NotifyLeader(aQuestion == FleetRequestKind::StoreJob
                       ? FleetRequestKind::JobStored
                       : FleetRequestKind::CancelStored,
                     aJob,
                     aRecord);
        aAnswer(ReplyOf(CallerOutcome::Stored));
        return;
      }
      if (aOutcome == IntakeOutcome::NotStored && !IsCutOff() &&
          ReadMonotonicClock() + kUnknownOutcomeRetry <
            aDeadline - kAnswerMargin) {
        QTimer::singleShot(
          kUnknownOutcomeRetry,
          this,
          [this, aQuestion, aJob, aRecord, aDeadline, aAnswer] {
            RetryUnknownStore(aQuestion, aJob, aRecord, aDeadline, aAnswer);
          });
        return;
      }
      aAnswer(ReplyOf(
        CallerOutcome::OutcomeUnknown,
        "The table service did not answer in time; query the job's state."));
    };
    const Result<JobDescription> spec = DecodeRecord<JobDescription>(aRecord);
    if (aQuestion == FleetRequestKind::StoreCancel) {
      intake_.StoreCancel(aJob, aDeadline - kAnswerMargin, done);
    } else if (const auto* job = std::get_if<JobDescription>(&spec)) {
      intake_.StoreJob(*job, aDeadline - kAnswerMargin, done);
    }
  }

  void Serve(const GetJobState& aCall, Instant, const Answer& aAnswer)
  {
    const std::string job = aCall.job_;
    AskLeader(
      FleetRequestKind::State,
      job,
      {},
      kAskTimeout,
      [this, job, aAnswer](const std::optional<FleetResponseMessage>& aReply) {
        if (aReply.has_value() && aReply->outcome_ == FleetOutcome::Ok) {
          aAnswer(ReplyState(static_cast<JobState>(aReply->value_)));
          return;
        }
        stored_.ReadState(job, aAnswer);
      });
  }

  void Serve(const CancelJob& aCall, Instant aDeadline, const Answer& aAnswer)
  {
    const std::string job = aCall.job_;
    AskLeader(FleetRequestKind::State,
              job,
              {},
              kAskTimeout,
              [this, job, aDeadline, aAnswer](
                const std::optional<FleetResponseMessage>& aReply) {
                const bool known =
                  aReply.has_value() && aReply->outcome_ == FleetOutcome::Ok;
                if (known && IsFinal(static_cast<JobState>(aReply->value_))) {
                  aAnswer(ReplyOf(CallerOutcome::Stored));
                } else if (known) {
                  StoreCancel(job, aDeadline, aAnswer);
                } else {
                  CancelUnknownJob(job, aDeadline, aAnswer);
                }
              });
  }

  /**
   * Cancels a job that the leader does not know.
   *
   * A write of a job that is not stored may still be open, at another entry or
   * in the store. The cancellation is therefore stored before the caller is
   * told that there is no such job, and applies if the job is stored later.
   */
  void CancelUnknownJob(const std::string& aJob,
                        Instant aDeadline,
                        const Answer& aAnswer)
  {
    if (RejectsWrite(CancelRowId(aJob))) {
      aAnswer(ReplyStoreRefuses());
      return;
    }
    stored_.Find(JobRowId(aJob),
                 [this, aJob, aDeadline, aAnswer](std::optional<bool> aStored) {
                   if (!aStored.has_value()) {
                     aAnswer(ReplyTryLater(StoredJobs<Store>::kNoAnswer));
                     return;
                   }
                   const auto answer = [aAnswer, stored = *aStored](
                                         const CallerReply& aReply) {
                     const bool none =
                       !stored && aReply.outcome_ == CallerOutcome::Stored;
                     aAnswer(none ? ReplyOf(CallerOutcome::NoSuchJob) : aReply);
                   };
                   StoreCancel(aJob, aDeadline, answer);
                 });
  }

  void StoreCancel(const std::string& aJob,
                   Instant aDeadline,
                   const Answer& aAnswer)
  {
    if (RejectsWrite(CancelRowId(aJob))) {
      StoreElsewhere(
        FleetRequestKind::StoreCancel, aJob, {}, aDeadline, aAnswer);
      return;
    }
    intake_.StoreCancel(
      aJob,
      aDeadline - kAnswerMargin,
      [this, aJob, aDeadline, aAnswer](IntakeOutcome aOutcome) {
        if (aOutcome == IntakeOutcome::Stored) {
          NotifyLeader(FleetRequestKind::CancelStored, aJob, {});
          aAnswer(ReplyOf(CallerOutcome::Stored));
        } else if (aOutcome == IntakeOutcome::OutcomeUnknown) {
          aAnswer(ReplyOf(CallerOutcome::OutcomeUnknown,
                          "The table service did not answer in time; query the "
                          "job's state."));
        } else if (leadership_ == nullptr && leaderLink_.Usable()) {
          StoreViaLeader(
            FleetRequestKind::StoreCancel, aJob, {}, aDeadline, aAnswer);
        } else {
          OnNotStored(
            FleetRequestKind::StoreCancel, aJob, {}, aDeadline, aAnswer);
        }
      });
  }

  void Serve(const GetWaitingCount& aCall, Instant, const Answer& aAnswer)
  {
    AskLeader(FleetRequestKind::Waiting,
              aCall.queue_,
              {},
              kAskTimeout,
              [aAnswer](const std::optional<FleetResponseMessage>& aReply) {
                if (!aReply.has_value() ||
                    aReply->outcome_ != FleetOutcome::Ok) {
                  aAnswer(ReplyTryLater(
                    "No entry is the leader at the moment; retry later."));
                  return;
                }
                CallerReply reply = ReplyOf(CallerOutcome::Waiting);
                reply.waiting_ = aReply->value_;
                aAnswer(reply);
              });
  }

  // Stop.

  void CheckStopped()
  {
    const Instant now = ReadMonotonicClock();
    if (notice_.AcceptsConnections(now)) {
      return;
    }
    if (callers_->Listening()) {
      callers_->StopListening();
    }
    const bool drained = callers_->Unanswered() == 0 &&
                         callers_->Connections() == 0 &&
                         lease_.Lease().SteppedDown();
    if (!drained && now < stopBound_) {
      return;
    }
    stopCheck_.stop();
    LogChange("stopped",
              { { "unanswered", std::to_string(callers_->Unanswered()) } });
    std::exchange(stopped_, nullptr)();
  }

  FleetEntrySettings settings_;
  std::string incarnation_;
  Store store_;
  StoreBreaker breaker_;
  AdmissionControl admission_;
  Instant nextDigestAt_;
  JobIntake<Store> intake_;
  StoredJobs<Store> stored_;
  LeaderLink leaderLink_;
  LeaseRunner<Store> lease_;
  KeyKeeper<Store> key_;
  TableWatch<Store> operatorWatch_;
  std::set<std::string, std::less<>> evacuated_;
  std::shared_ptr<const FleetConfiguration> configuration_;
  std::unique_ptr<HttpFront> callers_;
  std::unique_ptr<HttpFront> readiness_;
  std::unique_ptr<HttpFront> metrics_;
  std::unique_ptr<LinkListener> listener_;
  std::set<SideLink*> peers_;
  std::unique_ptr<FleetLeader<Store>> leadership_;
  std::uint64_t leadershipEpoch_ = 0;
  bool stopping_ = false;
  StopNotice notice_;
  Instant stopBound_;
  QTimer stopCheck_;
  QTimer loadTick_;
  std::function<void()> stopped_;
};

}
