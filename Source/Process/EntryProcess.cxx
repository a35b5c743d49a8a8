#include "Process/EntryProcess.h"

#include "Connection/HttpFront.h"
#include "Connection/TableClient.h"
#include "Process/ConfigurationKeeper.h"
#include "Process/EntryPresence.h"
#include "Process/Explainer.h"
#include "Process/Journal.h"
#include "Process/JournalStore.h"
#include "Process/Lane.h"
#include "Process/Log.h"
#include "Process/MembershipListener.h"
#include "Process/Metrics.h"
#include "Process/MetricsRoutes.h"
#include "Process/OperatorRoutes.h"
#include "Process/Scheduler.h"
#include "Process/StepSegments.h"
#include "Process/StopNotice.h"
#include "Process/WorkPages.h"
#include "Version/ConfigurationHolder.h"
#include "Version/LearnedPlacement.h"

#include <QTimer>

#include <utility>
#include <vector>

namespace cactusrail {

namespace {

constexpr Millis kStopCheck{ 50 };
/** Time after the stop timeout to send the answers for abandoned requests. */
constexpr Millis kFinalAnswerTimeout{ 1000 };

}

class EntryProcess::Private : public QObject
{
public:
  explicit Private(const EntrySettings& aSettings)
    : settings_(aSettings)
    , incarnation_(static_cast<std::uint64_t>(ReadWallClock()))
    , journal_("entry/" + aSettings.name_,
               static_cast<std::size_t>(aSettings.journalRequests_))
    , table_("http://" + aSettings.table_.Text())
    , journalStore_(
        journal_,
        table_,
        SegmentPlan{ incarnation_,
                     kEntrySlot,
                     [name = aSettings.name_,
                      incarnation = incarnation_](std::uint64_t aSlot) {
                       return EntrySegmentName({ name, incarnation, aSlot });
                     },
                     false })
    , presence_(table_, aSettings.name_)
    , keeper_(table_,
              configuration_,
              presence_.Directory(),
              aSettings.name_ + "-" + std::to_string(incarnation_) + "-")
    , scheduler_({ aSettings.name_, incarnation_ },
                 table_,
                 configuration_,
                 journal_,
                 MakeChooser(LearnedPlacement(incarnation_)))
    , workPages_(table_,
                 configuration_,
                 scheduler_,
                 journal_,
                 presence_.Directory())
  {
  }

  Result<bool> Open();
  Result<bool> OpenLanes();
  Result<bool> OpenMembership();
  Result<bool> OpenOperators();
  void AddHealthRoutes();
  void RefreshGauges();
  void CheckStopped();

  EntrySettings settings_;
  std::uint64_t incarnation_;
  ConfigurationHolder configuration_;
  Journal journal_;
  TableClient table_;
  JournalStore journalStore_;
  EntryPresence presence_;
  ConfigurationKeeper keeper_;
  Scheduler scheduler_;
  WorkPages workPages_;
  OperatorRoutes routes_;
  std::vector<std::unique_ptr<Lane>> lanes_;
  std::unique_ptr<MembershipListener> membership_;
  std::unique_ptr<Explainer> explainer_;
  std::unique_ptr<HttpFront> operators_;
  QTimer stopCheck_;
  bool stopping_ = false;
  bool listening_ = true;
  StopNotice notice_;
  Instant stopDeadline_;
  /** Whether the stop timed out, and the number of requests that were answered
   * unfinished. */
  bool stopTimedOut_ = false;
  std::size_t unfinishedRequests_ = 0;
  std::function<void()> stopped_;
};

Result<bool>
EntryProcess::Private::Open()
{
  for (const auto& open : { &Private::OpenLanes,
                            &Private::OpenMembership,
                            &Private::OpenOperators }) {
    Result<bool> opened = (this->*open)();
    if (!Succeeded(opened)) {
      return opened;
    }
  }
  keeper_.Start();
  journalStore_.Start();
  EntryRecord own;
  own.name_ = settings_.name_;
  own.incarnation_ = incarnation_;
  own.operators_ =
    settings_.operators_.ip_ + ":" + std::to_string(operators_->Port());
  own.membership_ =
    settings_.membership_.ip_ + ":" + std::to_string(membership_->Port());
  presence_.Start(own);
  scheduler_.Start();
  return true;
}

Result<bool>
EntryProcess::Private::OpenLanes()
{
  std::uint16_t port = settings_.listen_.port_;
  for (std::int64_t number = 0; number < settings_.lanes_; ++number) {
    Result<std::unique_ptr<Lane>> lane = Lane::Start(
      settings_, port, incarnation_, number, configuration_, journal_);
    if (const auto* failure = std::get_if<Failure>(&lane)) {
      return *failure;
    }
    lanes_.push_back(std::move(std::get<std::unique_ptr<Lane>>(lane)));
    port = lanes_.front()->Port();
  }
  return true;
}

Result<bool>
EntryProcess::Private::OpenMembership()
{
  auto opened = MembershipListener::Open(
    settings_.name_,
    settings_.membership_,
    [this] { return configuration_.Current()->version_; },
    [this] {
      std::vector<std::string> known;
      for (const EntryRecord& entry : presence_.Directory().Others()) {
        known.push_back(entry.membership_);
      }
      return known;
    },
    [this](const HeartbeatMessage& aHeartbeat, Instant aReceivedAt) {
      keeper_.OnHeartbeat(aHeartbeat);
      for (const std::unique_ptr<Lane>& lane : lanes_) {
        lane->Observe(aHeartbeat, aReceivedAt);
      }
    });
  if (const auto* failure = std::get_if<Failure>(&opened)) {
    return *failure;
  }
  membership_ =
    std::move(std::get<std::unique_ptr<MembershipListener>>(opened));
  explainer_ = std::make_unique<Explainer>(
    journal_, *membership_, presence_.Directory(), table_);
  return true;
}

Result<bool>
EntryProcess::Private::OpenOperators()
{
  AddHealthRoutes();
  AddMetricsRoutes(routes_, [this] { RefreshGauges(); });
  keeper_.AddRoutes(routes_);
  workPages_.AddRoutes(routes_);
  membership_->AddRoutes(routes_);
  explainer_->AddRoutes(routes_);
  auto front = HttpFront::Listen(
    settings_.operators_.ip_,
    settings_.operators_.port_,
    HttpLimits{},
    [this](const HttpExchange& aExchange) { routes_.Handle(aExchange); });
  if (const auto* failure = std::get_if<Failure>(&front)) {
    return *failure;
  }
  operators_ = std::move(std::get<std::unique_ptr<HttpFront>>(front));
  routes_.Guard().SetAddress(settings_.operators_.ip_ + ":" +
                             std::to_string(operators_->Port()));
  routes_.Guard().SetCollector(settings_.common_.collectorSha256_);
  return true;
}

void
EntryProcess::Private::AddHealthRoutes()
{
  routes_.Add("GET", "/healthz", [](const HttpExchange& aExchange) {
    HttpAnswer answer;
    answer.body_ = "{\"healthy\":true}\n";
    aExchange.Answer(answer);
  });
  routes_.Add("GET", "/v1/journal", [this](const HttpExchange& aExchange) {
    const JournalStoreCounts& counts = journalStore_.Counts();
    HttpAnswer answer;
    answer.body_ =
      std::string("{\"stored\":") + (journalStore_.Idle() ? "true" : "false") +
      ",\"written\":" + std::to_string(counts.written_) +
      ",\"failed\":" + std::to_string(counts.failed_) +
      ",\"droppedSteps\":" + std::to_string(counts.droppedSteps_) + "}\n";
    aExchange.Answer(answer);
  });
  routes_.Add("GET", "/readyz", [this](const HttpExchange& aExchange) {
    const bool ready = !stopping_ && configuration_.Current()->version_ > 0;
    notice_.OnHealthCheck(ready, ReadMonotonicClock());
    HttpAnswer answer;
    answer.status_ = ready ? 200 : 503;
    answer.body_ = ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n";
    aExchange.Answer(answer);
  });
}

void
EntryProcess::Private::RefreshGauges()
{
  Metrics& metrics = Metrics::OfProcess();
  std::size_t open = 0;
  for (const std::unique_ptr<Lane>& lane : lanes_) {
    open += lane->InProgress();
  }
  metrics.Set(Gauge::RequestsInProgress, open);
  metrics.Set(Gauge::ConfigurationVersion, configuration_.Current()->version_);
  metrics.Set(Gauge::JournalRequests, journal_.Size());
}

void
EntryProcess::Private::CheckStopped()
{
  const Instant now = ReadMonotonicClock();
  if (listening_ && !notice_.AcceptsConnections(now)) {
    listening_ = false;
    for (const std::unique_ptr<Lane>& lane : lanes_) {
      lane->StopListening();
    }
    return;
  }
  std::size_t open = 0;
  bool finished = !listening_;
  for (const std::unique_ptr<Lane>& lane : lanes_) {
    open += lane->InProgress();
    finished = finished && lane->Drained();
  }
  finished = finished && scheduler_.IsHandedOver();
  if (finished) {
    journalStore_.WriteAll();
    finished = journalStore_.Idle();
  }
  if (!finished && now >= stopDeadline_ && !stopTimedOut_) {
    stopTimedOut_ = true;
    unfinishedRequests_ = open;
    stopDeadline_ = now + kFinalAnswerTimeout;
    for (const std::unique_ptr<Lane>& lane : lanes_) {
      lane->AnswerOpenRequests();
    }
    return;
  }
  if (!finished && now < stopDeadline_) {
    return;
  }
  stopCheck_.stop();
  LogChange("stopped",
            { { "in-flight-left", std::to_string(unfinishedRequests_) } });
  std::exchange(stopped_, nullptr)();
}

EntryProcess::EntryProcess(std::unique_ptr<Private> aPrivate)
  : private_(std::move(aPrivate))
{
}

EntryProcess::~EntryProcess() = default;

Result<std::unique_ptr<EntryProcess>>
EntryProcess::Start(const EntrySettings& aSettings)
{
  auto self = std::make_unique<Private>(aSettings);
  const Result<bool> opened = self->Open();
  if (const auto* failure = std::get_if<Failure>(&opened)) {
    return *failure;
  }
  return std::unique_ptr<EntryProcess>(new EntryProcess(std::move(self)));
}

void
EntryProcess::Stop(std::function<void()> aDone)
{
  Private* self = private_.get();
  const Instant now = ReadMonotonicClock();
  self->stopping_ = true;
  self->stopDeadline_ = now + Millis(self->settings_.stopBoundMs_);
  self->notice_.Begin(now, self->stopDeadline_);
  self->stopped_ = std::move(aDone);
  self->scheduler_.HandOver();
  LogChange("stopping", {});
  for (const std::unique_ptr<Lane>& lane : self->lanes_) {
    lane->CloseAfterAnswers();
  }
  QObject::connect(&self->stopCheck_, &QTimer::timeout, self, [self] {
    self->CheckStopped();
  });
  self->stopCheck_.start(kStopCheck);
}

std::string
EntryProcess::Describe() const
{
  const EntrySettings& settings = private_->settings_;
  return "http=" + settings.listen_.ip_ + ":" +
         std::to_string(private_->lanes_.front()->Port()) +
         " operators=" + settings.operators_.ip_ + ":" +
         std::to_string(private_->operators_->Port()) +
         " membership=" + settings.membership_.ip_ + ":" +
         std::to_string(private_->membership_->Port());
}

}
