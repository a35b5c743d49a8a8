#include "Process/SideProcess.h"

#include "Connection/Codec.h"
#include "Connection/DatagramCodec.h"
#include "Connection/HttpCaller.h"
#include "Connection/HttpFront.h"
#include "Connection/SideLink.h"
#include "Connection/TableClient.h"
#include "Process/Journal.h"
#include "Process/JournalStore.h"
#include "Process/Log.h"
#include "Process/MetricsRoutes.h"
#include "Process/RequestMeter.h"
#include "Process/StepSegments.h"
#include "Request/SideCore.h"
#include "Version/ConfigurationHolder.h"
#include "Version/JsonText.h"

#include <QTcpServer>
#include <QTimer>
#include <QUdpSocket>

#include <algorithm>
#include <map>
#include <set>

namespace cactusrail {

namespace {

constexpr Millis kTickInterval{ 50 };
constexpr std::size_t kJournalRequests = 20000;
/** Time after which an announcement expires unless it is repeated. */
constexpr Millis kAnnouncementTimeout{ 3000 };
/** Time for which heartbeats with the state "leaving" are sent before the
 * process ends. */
constexpr Millis kLeavingPeriod{ 1000 };
/** Time after the stop timeout to send the answers for abandoned attempts. */
constexpr Millis kFinalAnswerTimeout{ 1000 };
/** Time without messages from entries that must pass before a stopping side
 * ends. */
constexpr Millis kIdleBeforeStop{ 200 };

/** JSON body of an upstream's announcement. */
struct AnnouncementBody
{
  std::string service_;
  Labels labels_;
  std::string address_;
  std::uint16_t port_ = 0;
  std::uint16_t slots_ = 0;
  std::uint64_t incarnation_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("service", service_),
       cereal::make_nvp("labels", labels_),
       cereal::make_nvp("address", address_),
       cereal::make_nvp("port", port_),
       cereal::make_nvp("slots", slots_),
       cereal::make_nvp("incarnation", incarnation_));
  }
};

/** JSON body of an upstream's goodbye; optional. */
struct GoodbyeBody
{
  std::uint64_t incarnation_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("incarnation", incarnation_));
  }
};

/** Returns whether a header is hop-by-hop and must not be forwarded. */
bool
IsHopHeader(std::string_view aName)
{
  static const std::set<std::string, std::less<>> kHop{
    "connection", "keep-alive",        "host",
    "upgrade",    "transfer-encoding", "content-length",
    "te",         "trailer",           "proxy-authorization",
  };
  std::string lower(aName);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return kHop.contains(lower);
}

HeaderList
EndToEnd(const HeaderList& aHeaders)
{
  HeaderList kept;
  std::copy_if(aHeaders.begin(),
               aHeaders.end(),
               std::back_inserter(kept),
               [](const auto& aHeader) { return !IsHopHeader(aHeader.first); });
  return kept;
}

/** Entry to which heartbeats are sent. */
struct KnownEntry
{
  SocketAddress address_;
  /** Whether the settings list the entry; such an entry is never removed. */
  bool fromSettings_ = false;
  /** Time of the latest message from the entry, or of the latest message of
   * another entry that lists it. */
  Instant lastSeenAt_;
};

/** Time without a message after which an entry is removed, because entries
 * join and leave with their hosts. */
constexpr Millis kEntryRemovalTimeout{ 60000 };
constexpr std::size_t kMaxEntries = 256;

}

class SideProcess::Private : public QObject
{
public:
  explicit Private(const SideSettings& aSettings)
    : settings_(aSettings)
    , incarnation_(static_cast<std::uint64_t>(ReadWallClock()))
    , journal_("side/" + aSettings.name_, kJournalRequests)
    , core_(SideCore::Limits{
        static_cast<std::size_t>(aSettings.maxQueued_),
        Millis(200),
      })
  {
    if (!aSettings.store_.empty()) {
      store_ = std::make_unique<TableClient>("http://" +
                                             aSettings.store_.front().Text());
      SegmentPlan plan;
      plan.slotLength_ = kSideSlot;
      plan.mergesFirst_ = true;
      plan.name_ = [name = aSettings.name_](std::uint64_t aSlot) {
        return SideSegmentName(name, aSlot);
      };
      journalStore_ =
        std::make_unique<JournalStore>(journal_, *store_, std::move(plan));
    }
    for (const SocketAddress& entry : aSettings.entries_) {
      entries_[entry.Text()] = { entry, true, Instant() };
    }
  }

  Result<bool> Open();
  void OnAnnounceRequest(const HttpExchange& aExchange);
  void OnConnection();
  void OnMessage(LinkId aLink, const WireMessage& aMessage);
  void ApplyConfiguration(const std::string& aText);
  void AddOrRefreshEntry(const std::string& aEntry, Instant aNow);
  void OnDatagram();
  void OnTick();
  void SendHeartbeat();
  void Run(const std::vector<SideAction>& aActions);
  void Do(const CallUpstream& aAction);
  void Do(const SendAnswer& aAction);
  void Do(const RecordStep& aAction);
  void CheckStopped();

  SideSettings settings_;
  std::uint64_t incarnation_;
  Journal journal_;
  std::string class_;
  RequestMeter meter_{ Metrics::OfProcess() };
  /** Null if the settings specify no object store. */
  std::unique_ptr<TableClient> store_;
  std::unique_ptr<JournalStore> journalStore_;
  SideCore core_;
  HttpCaller caller_;
  std::unique_ptr<HttpFront> announceFront_;
  QTcpServer server_;
  QUdpSocket datagrams_;
  QTimer tick_;
  QTimer heartbeat_;
  std::map<std::string, KnownEntry> entries_;
  ConfigurationHolder configuration_;
  std::map<LinkId, SideLink*> links_;
  LinkId nextLink_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t badDatagrams_ = 0;
  /** Number of connections closed because of invalid messages. */
  std::uint64_t badLinks_ = 0;
  SideState loggedState_ = SideState::NoUpstream;
  bool stopping_ = false;
  Instant stopEarliest_;
  /** Time of the latest message from an entry. */
  Instant lastEntryMessageAt_;
  Instant stopDeadline_;
  /** Whether the stop timed out, possibly with unfinished attempts. */
  bool stopTimedOut_ = false;
  bool hasUnfinishedAttempts_ = false;
  std::function<void()> stopped_;
};

Result<bool>
SideProcess::Private::Open()
{
  const QHostAddress address(QString::fromStdString(settings_.listen_.ip_));
  if (!server_.listen(address, settings_.listen_.port_)) {
    return NotRun(FailureKind::Unreachable,
                  "Can't listen on " + settings_.listen_.Text() + ": " +
                    server_.errorString().toStdString() + ".");
  }
  if (!datagrams_.bind(address, 0)) {
    return NotRun(FailureKind::Unreachable,
                  "Can't open a datagram socket on " + settings_.listen_.ip_ +
                    ".");
  }
  Result<std::unique_ptr<HttpFront>> front = HttpFront::Listen(
    settings_.announce_.ip_,
    settings_.announce_.port_,
    HttpLimits{},
    [this](const HttpExchange& aExchange) { OnAnnounceRequest(aExchange); });
  if (const auto* failure = std::get_if<Failure>(&front)) {
    return *failure;
  }
  announceFront_ = std::move(std::get<std::unique_ptr<HttpFront>>(front));
  connect(
    &server_, &QTcpServer::newConnection, this, [this] { OnConnection(); });
  connect(&datagrams_, &QUdpSocket::readyRead, this, [this] { OnDatagram(); });
  connect(&tick_, &QTimer::timeout, this, [this] { OnTick(); });
  connect(&heartbeat_, &QTimer::timeout, this, [this] { SendHeartbeat(); });
  tick_.start(kTickInterval);
  if (journalStore_ != nullptr) {
    journalStore_->Start();
  }
  heartbeat_.start(Millis(settings_.heartbeatMs_));
  return true;
}

void
SideProcess::Private::OnAnnounceRequest(const HttpExchange& aExchange)
{
  HttpAnswer answer;
  const Instant now = ReadMonotonicClock();
  if (aExchange.Method() == "POST" && aExchange.Path() == "/v1/announce") {
    const Result<AnnouncementBody> parsed =
      FromJson<AnnouncementBody>(aExchange.Body());
    if (const auto* failure = std::get_if<Failure>(&parsed)) {
      answer.status_ = 400;
      answer.body_ = failure->message_ + "\n";
      aExchange.Answer(answer);
      return;
    }
    const auto& body = std::get<AnnouncementBody>(parsed);
    Announcement announcement;
    announcement.service_ = body.service_;
    announcement.labels_ = body.labels_;
    class_ = ClassOf(body.labels_);
    announcement.address_ = body.address_;
    announcement.port_ = body.port_;
    announcement.slots_ = body.slots_;
    announcement.incarnation_ = body.incarnation_;
    announcement.deadline_ = now + kAnnouncementTimeout;
    Run(core_.OnAnnounce(announcement, now));
    answer.body_ =
      "{\"repeatWithinMs\":" + std::to_string(kAnnouncementTimeout.count()) +
      "}\n";
  } else if (aExchange.Method() == "POST" &&
             aExchange.Path() == "/v1/goodbye") {
    const Result<GoodbyeBody> parsed = FromJson<GoodbyeBody>(aExchange.Body());
    const auto* body = std::get_if<GoodbyeBody>(&parsed);
    Run(core_.OnGoodbye(body == nullptr ? 0 : body->incarnation_, now));
    answer.body_ = "{}\n";
  } else if (aExchange.Method() == "GET" && aExchange.Path() == "/metrics") {
    answer = MetricsAnswer(aExchange);
  } else if (aExchange.Method() == "GET" &&
             aExchange.Path() == "/v1/counters") {
    answer.body_ = "{\"badDatagrams\":" + std::to_string(badDatagrams_) +
                   ",\"badLinks\":" + std::to_string(badLinks_) + "}\n";
  } else {
    answer.status_ = 404;
    answer.body_ = "Use POST /v1/announce, POST /v1/goodbye or GET "
                   "/v1/counters.\n";
  }
  aExchange.Answer(answer);
  SendHeartbeat();
}

void
SideProcess::Private::OnConnection()
{
  while (QTcpSocket* socket = server_.nextPendingConnection()) {
    const LinkId id = nextLink_++;
    auto* link = new SideLink(socket, this);
    links_[id] = link;
    connect(
      link, &SideLink::Received, this, [this, id](const WireMessage& aMessage) {
        OnMessage(id, aMessage);
      });
    connect(link, &SideLink::Lost, this, [this, id, link] {
      links_.erase(id);
      badLinks_ += link->Broken() ? 1 : 0;
      link->deleteLater();
      Run(core_.OnLinkLost(id, ReadMonotonicClock()));
    });
  }
}

void
SideProcess::Private::OnMessage(LinkId aLink, const WireMessage& aMessage)
{
  const Instant now = ReadMonotonicClock();
  lastEntryMessageAt_ = now;
  if (const auto* dispatch = std::get_if<DispatchMessage>(&aMessage)) {
    meter_.Begin(dispatch->attemptId_, dispatch->tenant_, class_, now);
    Run(core_.OnDispatch(aLink, *dispatch, now));
  } else if (const auto* cancel = std::get_if<CancelMessage>(&aMessage)) {
    Run(core_.OnCancel(aLink, *cancel, now));
  } else if (const auto* recall =
               std::get_if<HistoryRequestMessage>(&aMessage)) {
    HistoryResponseMessage recollection;
    recollection.question_ = recall->question_;
    for (const RequestStep& step : journal_.Recall(recall->requestId_)) {
      recollection.steps_.push_back(ToJson(step));
    }
    links_.at(aLink)->Send(recollection);
  } else if (const auto* offered = std::get_if<ConfigMessage>(&aMessage)) {
    ApplyConfiguration(offered->text_);
  } else if (std::holds_alternative<ConfigRequestMessage>(aMessage)) {
    const std::shared_ptr<const Configuration> held = configuration_.Current();
    links_.at(aLink)->Send(
      ConfigMessage{ held->version_, ConfigurationText(*held) });
  }
}

/** Applies a valid configuration with a higher version. Entries are a side's
 * only source of configurations. */
void
SideProcess::Private::ApplyConfiguration(const std::string& aText)
{
  const Result<Configuration> parsed = ParseConfiguration(aText);
  const auto* offered = std::get_if<Configuration>(&parsed);
  if (offered != nullptr &&
      configuration_.Offer(std::make_shared<Configuration>(*offered))) {
    LogChange("configuration",
              { { "version", std::to_string(offered->version_) },
                { "source", "entry" } });
    SendHeartbeat();
  }
}

void
SideProcess::Private::AddOrRefreshEntry(const std::string& aEntry, Instant aNow)
{
  const Result<SocketAddress> parsed = ParseSocketAddress(aEntry);
  const auto* address = std::get_if<SocketAddress>(&parsed);
  const auto found = entries_.find(aEntry);
  if (found != entries_.end()) {
    found->second.lastSeenAt_ = aNow;
  } else if (address != nullptr && entries_.size() < kMaxEntries) {
    entries_[aEntry] = { *address, false, aNow };
  }
}

void
SideProcess::Private::OnDatagram()
{
  while (datagrams_.hasPendingDatagrams()) {
    QByteArray bytes(kMaxDatagramBytes + 1, Qt::Uninitialized);
    const qint64 size = datagrams_.readDatagram(bytes.data(), bytes.size());
    if (size < 0 || size > static_cast<qint64>(kMaxDatagramBytes)) {
      ++badDatagrams_;
      continue;
    }
    const Result<WireMessage> message =
      DecodeDatagram({ bytes.constData(), static_cast<std::size_t>(size) });
    const auto* decoded = std::get_if<WireMessage>(&message);
    const auto* ack =
      decoded == nullptr ? nullptr : std::get_if<HeartbeatAckMessage>(decoded);
    if (ack == nullptr) {
      ++badDatagrams_;
      continue;
    }
    for (const std::string& entry : ack->entries_) {
      AddOrRefreshEntry(entry, ReadMonotonicClock());
    }
  }
}

void
SideProcess::Private::SendHeartbeat()
{
  HeartbeatMessage heartbeat = core_.Heartbeat(ReadMonotonicClock());
  if (heartbeat.state_ != loggedState_) {
    loggedState_ = heartbeat.state_;
    LogChange("upstream-state",
              { { "state", std::to_string(static_cast<int>(loggedState_)) },
                { "service", heartbeat.service_ } });
  }
  heartbeat.sideId_ = settings_.name_;
  heartbeat.sideIncarnation_ = incarnation_;
  heartbeat.sequence_ = ++sequence_;
  heartbeat.dataCentre_ = settings_.dataCentre_;
  heartbeat.address_ = settings_.listen_.ip_;
  heartbeat.port_ = server_.serverPort();
  heartbeat.configVersion_ = configuration_.Current()->version_;
  const std::string frame = EncodeDatagram(heartbeat);
  const Instant now = ReadMonotonicClock();
  std::erase_if(entries_, [now](const auto& aEntry) {
    return !aEntry.second.fromSettings_ &&
           aEntry.second.lastSeenAt_ + kEntryRemovalTimeout < now;
  });
  for (const auto& [text, known] : entries_) {
    const SocketAddress& entry = known.address_;
    datagrams_.writeDatagram(frame.data(),
                             static_cast<qint64>(frame.size()),
                             QHostAddress(QString::fromStdString(entry.ip_)),
                             entry.port_);
  }
}

void
SideProcess::Private::OnTick()
{
  Run(core_.OnTick(ReadMonotonicClock()));
  CheckStopped();
}

void
SideProcess::Private::Run(const std::vector<SideAction>& aActions)
{
  for (const SideAction& action : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, action);
  }
}

void
SideProcess::Private::Do(const CallUpstream& aAction)
{
  HttpCall call;
  call.method_ = aAction.dispatch_.method_;
  call.url_ = aAction.url_;
  call.headers_ = EndToEnd(aAction.dispatch_.headers_);
  call.headers_.emplace_back("X-Request-Id", aAction.dispatch_.requestId_);
  call.body_ = aAction.dispatch_.body_;
  call.deadline_ = aAction.deadline_;
  const std::string attemptId = aAction.attemptId_;
  caller_.Start(
    std::move(call), [this, attemptId](const Result<HttpReply>& aResult) {
      const Instant now = ReadMonotonicClock();
      if (const auto* failure = std::get_if<Failure>(&aResult)) {
        Run(core_.OnUpstreamFailure(attemptId, *failure, now));
        return;
      }
      const auto& reply = std::get<HttpReply>(aResult);
      Run(core_.OnUpstreamAnswer(
        attemptId, reply.status_, EndToEnd(reply.headers_), reply.body_, now));
    });
}

void
SideProcess::Private::Do(const SendAnswer& aAction)
{
  const AnswerMessage& answer = aAction.answer_;
  meter_.Attempt(answer.attemptId_, answer);
  meter_.End(answer.attemptId_, answer.verdict_, ReadMonotonicClock());
  const auto found = links_.find(aAction.link_);
  if (found != links_.end()) {
    found->second->Send(aAction.answer_);
  }
}

void
SideProcess::Private::Do(const RecordStep& aAction)
{
  journal_.Add(aAction.step_);
}

void
SideProcess::Private::CheckStopped()
{
  if (!stopping_ || !stopped_) {
    return;
  }
  const Instant now = ReadMonotonicClock();
  // Wait until the buffers are flushed and entries send no more messages: an
  // answer in this process's buffers is lost when the process ends, and an
  // answer in flight is lost if the connection is reset because a late dispatch
  // was not read.
  const bool quiet = now >= lastEntryMessageAt_ + kIdleBeforeStop;
  const bool flushed =
    std::all_of(links_.begin(), links_.end(), [](const auto& aLink) {
      return aLink.second->Flushed();
    });
  const bool served = core_.Idle() && flushed && quiet && now >= stopEarliest_;
  if (served && journalStore_ != nullptr) {
    journalStore_->WriteAll();
  }
  const bool finished =
    served && (journalStore_ == nullptr || journalStore_->Idle());
  if (!finished && now >= stopDeadline_ && !stopTimedOut_) {
    stopTimedOut_ = true;
    hasUnfinishedAttempts_ = !core_.Idle();
    stopDeadline_ = now + kFinalAnswerTimeout;
    Run(core_.OnStopTimeout(now));
    return;
  }
  if (finished || now >= stopDeadline_) {
    LogChange("stopped",
              { { "in-flight-left", hasUnfinishedAttempts_ ? "yes" : "no" } });
    std::exchange(stopped_, nullptr)();
  }
}

SideProcess::SideProcess(std::unique_ptr<Private> aPrivate)
  : private_(std::move(aPrivate))
{
}

SideProcess::~SideProcess() = default;

Result<std::unique_ptr<SideProcess>>
SideProcess::Start(const SideSettings& aSettings)
{
  auto self = std::make_unique<Private>(aSettings);
  const Result<bool> opened = self->Open();
  if (const auto* failure = std::get_if<Failure>(&opened)) {
    return *failure;
  }
  return std::unique_ptr<SideProcess>(new SideProcess(std::move(self)));
}

void
SideProcess::Stop(std::function<void()> aDone)
{
  const Instant now = ReadMonotonicClock();
  private_->stopping_ = true;
  private_->stopEarliest_ = now + kLeavingPeriod;
  private_->stopDeadline_ = now + Millis(private_->settings_.stopBoundMs_);
  private_->stopped_ = std::move(aDone);
  LogChange("stopping", {});
  private_->Run(private_->core_.OnStop(now));
  private_->SendHeartbeat();
}

std::string
SideProcess::Describe() const
{
  return "link=" + private_->settings_.listen_.ip_ + ":" +
         std::to_string(private_->server_.serverPort()) +
         " announce=" + private_->settings_.announce_.ip_ + ":" +
         std::to_string(private_->announceFront_->Port());
}

}
