#include "Process/EntryProcess.h"

#include "Connection/Codec.h"
#include "Connection/HttpFront.h"
#include "Connection/SideLink.h"
#include "Connection/TableClient.h"
#include "Process/Journal.h"
#include "Process/Lane.h"
#include "Process/Log.h"
#include "Process/MembershipView.h"
#include "Version/ConfigurationHolder.h"
#include "Version/JsonText.h"

#include <QTimer>
#include <QUdpSocket>

#include <algorithm>
#include <map>
#include <vector>

namespace cactusrail {

namespace {

constexpr Millis kConfigPoll{ 1000 };
constexpr Millis kTableTimeout{ 2000 };
constexpr Millis kStopCheck{ 50 };
constexpr Millis kRecallTimeout{ 1000 };
/** A stopping entry still listens this long, for the balancer to notice. */
constexpr Millis kBalancerNotice{ 1500 };
constexpr const char* kConfigKey = "config/current";

/** The steps of one request, as they travel between entries. */
struct StepList
{
  std::vector<RequestStep> steps_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("steps", steps_));
  }
};

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
  {
  }

  Result<bool> Open();
  void OnDatagram();
  void OnOperator(const HttpExchange& aExchange);
  void AnswerExplain(const HttpExchange& aExchange);
  void RecallFromSides(const std::string& aRequestId,
                       std::function<void(StepList)> aCallback);
  void AnswerSides(const HttpExchange& aExchange) const;
  void PutConfiguration(const HttpExchange& aExchange);
  void PollConfiguration();
  void TakeConfiguration(const std::string& aText);
  void CheckStopped();

  EntrySettings settings_;
  std::uint64_t incarnation_;
  ConfigurationHolder configuration_;
  Journal journal_;
  TableClient table_;
  MembershipView membership_;
  QUdpSocket datagrams_;
  std::unique_ptr<HttpFront> operators_;
  std::vector<std::unique_ptr<Lane>> lanes_;
  QTimer configPoll_;
  QTimer stopCheck_;
  std::uint64_t badDatagrams_ = 0;
  std::uint64_t configRevision_ = 0;
  bool stopping_ = false;
  bool listening_ = true;
  Instant listenUntil_;
  Instant stopDeadline_;
  std::function<void()> stopped_;
};

Result<bool>
EntryProcess::Private::Open()
{
  const QHostAddress membership(
    QString::fromStdString(settings_.membership_.ip_));
  if (!datagrams_.bind(membership, settings_.membership_.port_)) {
    return NotRun(FailureKind::Unreachable,
                  "Can't open the membership socket " +
                    settings_.membership_.Text() + ": " +
                    datagrams_.errorString().toStdString() + ".");
  }
  connect(&datagrams_, &QUdpSocket::readyRead, this, [this] { OnDatagram(); });
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
  Result<std::unique_ptr<HttpFront>> front = HttpFront::Listen(
    settings_.operators_.ip_,
    settings_.operators_.port_,
    HttpLimits{},
    [this](const HttpExchange& aExchange) { OnOperator(aExchange); });
  if (const auto* failure = std::get_if<Failure>(&front)) {
    return *failure;
  }
  operators_ = std::move(std::get<std::unique_ptr<HttpFront>>(front));
  connect(
    &configPoll_, &QTimer::timeout, this, [this] { PollConfiguration(); });
  configPoll_.start(kConfigPoll);
  PollConfiguration();
  return true;
}

void
EntryProcess::Private::OnDatagram()
{
  while (datagrams_.hasPendingDatagrams()) {
    QByteArray bytes(kMaxDatagramBytes + 1, Qt::Uninitialized);
    QHostAddress from;
    quint16 fromPort = 0;
    const qint64 size =
      datagrams_.readDatagram(bytes.data(), bytes.size(), &from, &fromPort);
    if (size < 0 || size > static_cast<qint64>(kMaxDatagramBytes)) {
      ++badDatagrams_;
      continue;
    }
    const Result<WireMessage> message =
      DecodeFrame({ bytes.constData(), static_cast<std::size_t>(size) });
    const auto* decoded = std::get_if<WireMessage>(&message);
    const auto* heartbeat =
      decoded == nullptr ? nullptr : std::get_if<HeartbeatMessage>(decoded);
    if (heartbeat == nullptr) {
      ++badDatagrams_;
      continue;
    }
    const MembershipChange change =
      membership_.Observe(*heartbeat, ReadMonotonicClock());
    if (change == MembershipChange::Stale) {
      continue;
    }
    if (change != MembershipChange::None) {
      LogChange(
        "side-changed",
        { { "side", heartbeat->sideId_ },
          { "service", heartbeat->service_ },
          { "state", std::to_string(static_cast<int>(heartbeat->state_)) } });
    }
    for (const std::unique_ptr<Lane>& lane : lanes_) {
      lane->Observe(*heartbeat);
    }
    HeartbeatAckMessage ack;
    ack.entryId_ = settings_.name_;
    ack.sequence_ = heartbeat->sequence_;
    ack.configVersion_ = configuration_.Current()->version_;
    ack.entries_.push_back(settings_.membership_.ip_ + ":" +
                           std::to_string(datagrams_.localPort()));
    const std::string frame = EncodeFrame(ack);
    datagrams_.writeDatagram(
      frame.data(), static_cast<qint64>(frame.size()), from, fromPort);
  }
}

void
EntryProcess::Private::OnOperator(const HttpExchange& aExchange)
{
  const std::string& path = aExchange.Path();
  const bool isGet = aExchange.Method() == "GET";
  HttpAnswer answer;
  if (isGet && path == "/healthz") {
    answer.body_ = "{\"healthy\":true}\n";
  } else if (isGet && path == "/readyz") {
    const bool ready = !stopping_ && configuration_.Current()->version_ > 0;
    answer.status_ = ready ? 200 : 503;
    answer.body_ = ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n";
  } else if (isGet && path == "/v1/config") {
    answer.body_ = ConfigurationText(*configuration_.Current()) + "\n";
  } else if (aExchange.Method() == "PUT" && path == "/v1/config") {
    PutConfiguration(aExchange);
    return;
  } else if (isGet && path == "/v1/sides") {
    AnswerSides(aExchange);
    return;
  } else if (isGet && path == "/v1/explain") {
    AnswerExplain(aExchange);
    return;
  } else {
    answer.status_ = 404;
    answer.body_ = "{\"message\":\"There is no such page here.\"}\n";
  }
  aExchange.Answer(answer);
}

void
EntryProcess::Private::AnswerSides(const HttpExchange& aExchange) const
{
  std::string body;
  const Instant now = ReadMonotonicClock();
  for (const SideView& side : membership_.All()) {
    const HeartbeatMessage& facts = side.heartbeat_;
    const bool usable =
      side.usableUntil_ > now && facts.state_ == SideState::Ready;
    body += facts.sideId_ + " " + facts.dataCentre_ + " " + facts.service_ +
            " " + (usable ? "usable" : "unusable") + " " +
            std::to_string(facts.busy_) + "/" + std::to_string(facts.slots_) +
            "\n";
  }
  HttpAnswer answer;
  answer.contentType_ = "text/plain";
  answer.body_ = std::move(body);
  aExchange.Answer(answer);
}

void
EntryProcess::Private::AnswerExplain(const HttpExchange& aExchange)
{
  const std::string id = aExchange.Query("id");
  RecallFromSides(id, [aExchange](const StepList& aSteps) {
    HttpAnswer answer;
    answer.status_ = aSteps.steps_.empty() ? 404 : 200;
    answer.body_ = ToJson(aSteps) + "\n";
    aExchange.Answer(answer);
  });
}

void
EntryProcess::Private::RecallFromSides(const std::string& aRequestId,
                                       std::function<void(StepList)> aCallback)
{
  struct Collected
  {
    StepList list_;
    std::size_t open_ = 0;
    std::function<void(StepList)> callback_;

    void Done()
    {
      if (--open_ == 0) {
        std::stable_sort(
          list_.steps_.begin(),
          list_.steps_.end(),
          [](const RequestStep& aLeft, const RequestStep& aRight) {
            return aLeft.wallMicros_ < aRight.wallMicros_;
          });
        callback_(list_);
      }
    }
  };
  auto collected = std::make_shared<Collected>();
  collected->callback_ = std::move(aCallback);
  collected->open_ = 1;
  collected->list_.steps_ = journal_.Recall(aRequestId);
  for (const SideView& side : membership_.All()) {
    const bool named = std::any_of(collected->list_.steps_.begin(),
                                   collected->list_.steps_.end(),
                                   [&side](const RequestStep& aStep) {
                                     return aStep.detail_.ends_with(
                                       "side/" + side.heartbeat_.sideId_);
                                   });
    if (!named) {
      continue;
    }
    ++collected->open_;
    auto* link =
      new SideLink(side.heartbeat_.address_, side.heartbeat_.port_, this);
    RecallMessage recall;
    recall.requestId_ = aRequestId;
    link->Send(recall);
    auto* timer = new QTimer(link);
    timer->setSingleShot(true);
    const auto finish = [link, timer, collected] {
      timer->stop();
      link->disconnect();
      link->deleteLater();
      collected->Done();
    };
    connect(timer, &QTimer::timeout, this, finish);
    connect(link, &SideLink::Lost, this, finish, Qt::QueuedConnection);
    connect(link,
            &SideLink::Received,
            this,
            [collected, finish](const WireMessage& aMessage) {
              const auto* memory = std::get_if<RecollectionMessage>(&aMessage);
              if (memory == nullptr) {
                return;
              }
              for (const std::string& text : memory->steps_) {
                const Result<RequestStep> step = FromJson<RequestStep>(text);
                if (const auto* parsed = std::get_if<RequestStep>(&step)) {
                  collected->list_.steps_.push_back(*parsed);
                }
              }
              finish();
            });
    timer->start(kRecallTimeout);
  }
  collected->Done();
}

void
EntryProcess::Private::TakeConfiguration(const std::string& aText)
{
  const Result<Configuration> parsed = ParseConfiguration(aText);
  const auto* configuration = std::get_if<Configuration>(&parsed);
  if (configuration == nullptr) {
    return;
  }
  if (configuration_.Offer(std::make_shared<Configuration>(*configuration))) {
    LogChange("configuration",
              { { "version", std::to_string(configuration->version_) } });
  }
}

void
EntryProcess::Private::PollConfiguration()
{
  table_.Read(kConfigKey,
              ReadMonotonicClock() + kTableTimeout,
              [this](const Result<std::vector<TableRow>>& aRows) {
                const auto* rows = std::get_if<std::vector<TableRow>>(&aRows);
                if (rows == nullptr || rows->empty()) {
                  return;
                }
                configRevision_ = rows->front().revision_;
                TakeConfiguration(rows->front().value_);
              });
}

void
EntryProcess::Private::PutConfiguration(const HttpExchange& aExchange)
{
  HttpAnswer answer;
  const Result<Configuration> parsed = ParseConfiguration(aExchange.Body());
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    answer.status_ = 400;
    answer.contentType_ = "text/plain";
    answer.body_ = failure->message_ + "\n";
    aExchange.Answer(answer);
    return;
  }
  const auto& configuration = std::get<Configuration>(parsed);
  const std::uint64_t held = configuration_.Current()->version_;
  if (configuration.version_ != held + 1) {
    answer.status_ = 409;
    answer.contentType_ = "text/plain";
    answer.body_ = "The version must be " + std::to_string(held + 1) +
                   "; another operator may have changed the configuration.\n";
    aExchange.Answer(answer);
    return;
  }
  TableTransaction transaction;
  transaction.conditions_.push_back({ kConfigKey, configRevision_ });
  const std::string text = ConfigurationText(configuration);
  transaction.puts_.push_back({ kConfigKey, text });
  table_.Transact(transaction,
                  ReadMonotonicClock() + kTableTimeout,
                  [this, aExchange, text](const Result<TableOutcome>& aResult) {
                    HttpAnswer reply;
                    const auto* outcome = std::get_if<TableOutcome>(&aResult);
                    if (outcome == nullptr) {
                      reply.status_ = 503;
                      reply.body_ =
                        "The table service gave no answer; look at the "
                        "configuration before you try again.\n";
                    } else if (!outcome->applied_) {
                      reply.status_ = 409;
                      reply.body_ =
                        "Another operator changed the configuration.\n";
                    } else {
                      TakeConfiguration(text);
                      reply.body_ = text + "\n";
                    }
                    aExchange.Answer(reply);
                    PollConfiguration();
                  });
}

void
EntryProcess::Private::CheckStopped()
{
  const Instant now = ReadMonotonicClock();
  if (listening_ && now >= listenUntil_) {
    listening_ = false;
    for (const std::unique_ptr<Lane>& lane : lanes_) {
      lane->StopListening();
    }
    return;
  }
  std::size_t open = 0;
  for (const std::unique_ptr<Lane>& lane : lanes_) {
    open += lane->InProgress();
  }
  const bool finished = !listening_ && open == 0;
  if (!finished && now < stopDeadline_) {
    return;
  }
  stopCheck_.stop();
  LogChange("stopped", { { "in-flight-left", std::to_string(open) } });
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
  self->listenUntil_ = now + kBalancerNotice;
  self->stopDeadline_ = now + Millis(self->settings_.stopBoundMs_);
  self->stopped_ = std::move(aDone);
  LogChange("stopping", {});
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
         std::to_string(private_->datagrams_.localPort());
}

}
