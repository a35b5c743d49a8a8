#include "Process/Lane.h"

#include "Connection/HttpFront.h"
#include "Connection/SideLink.h"
#include "Connection/TableClient.h"
#include "Process/Log.h"
#include "Process/RequestMeter.h"
#include "Process/StepSegments.h"
#include "Request/ClaimBatcher.h"
#include "Request/ClaimTransaction.h"
#include "Request/EntryCore.h"
#include "Version/JsonText.h"

#include <QCryptographicHash>
#include <QThread>
#include <QTimer>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <map>
#include <unordered_map>

namespace cactusrail {

namespace {

/** Tick interval with requests in progress. */
constexpr Millis kTick{ 10 };
/** Tick interval without requests: there are no deadlines to check, and each
 * wake-up costs CPU time. */
constexpr Millis kIdleTick{ 100 };
constexpr std::size_t kMaxClaimsPerBatch = 64;
/** No minimum interval: a claim is sent immediately if no transaction is in
 * flight. */
constexpr Millis kClaimsInterval{ 0 };
/** Time without an answer after which the next transaction may start; the
 * unanswered one stays in flight until its own deadline. */
constexpr Millis kClaimsAnswerTimeout{ 50 };
constexpr std::string_view kServicePrefix = "/s/";
constexpr std::string_view kBearer = "Bearer ";

std::string
Sha256Hex(std::string_view aText)
{
  return QCryptographicHash::hash(
           QByteArrayView(aText.data(), static_cast<qsizetype>(aText.size())),
           QCryptographicHash::Sha256)
    .toHex()
    .toStdString();
}

std::string
JsonEscaped(std::string_view aText)
{
  std::string escaped;
  for (const char character : aText) {
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
  }
  return escaped;
}

/** Converts the entry's own answer or the upstream's to HTTP. */
HttpAnswer
ToHttp(const AnswerCaller& aAnswer)
{
  HttpAnswer answer;
  answer.status_ = aAnswer.status_;
  answer.headers_.emplace_back("X-Request-Id", aAnswer.requestId_);
  answer.headers_.emplace_back("X-Verdict", VerdictText(aAnswer.verdict_));
  if (aAnswer.retryAfter_.count() > 0) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aAnswer.retryAfter_);
    answer.headers_.emplace_back("Retry-After",
                                 std::to_string(seconds.count()));
  }
  if (!aAnswer.reason_.empty()) {
    answer.body_ =
      "{\"requestId\":\"" + aAnswer.requestId_ + "\",\"verdict\":\"" +
      std::string(VerdictText(aAnswer.verdict_)) + "\",\"message\":\"" +
      JsonEscaped(aAnswer.reason_) +
      "\",\"retryAfterMs\":" + std::to_string(aAnswer.retryAfter_.count()) +
      "}\n";
    return answer;
  }
  answer.body_ = aAnswer.body_;
  answer.contentType_ = "application/octet-stream";
  for (const auto& [name, value] : aAnswer.headers_) {
    const QByteArray lower = QByteArray::fromStdString(name).toLower();
    if (lower == "content-type") {
      answer.contentType_ = value;
    } else {
      answer.headers_.emplace_back(name, value);
    }
  }
  return answer;
}

}

class Lane::Private : public QObject
{
public:
  Private(const EntrySettings& aSettings,
          std::uint16_t aPort,
          RequestOrigin aOrigin,
          std::int64_t aLaneNumber,
          ConfigurationHolder& aConfiguration,
          Journal& aJournal)
    : settings_(aSettings)
    , port_(aPort)
    , origin_(std::move(aOrigin))
    , laneNumber_(aLaneNumber)
    , configuration_(aConfiguration)
    , journal_(aJournal)
  {
  }

  Result<bool> Open();
  void Close();
  void OnHttp(const HttpExchange& aExchange);
  static void AnswerError(const HttpExchange& aExchange,
                          int aStatus,
                          const std::string& aMessage);
  SideLink* LinkTo(const std::string& aSideId);
  void Run(const std::vector<EntryAction>& aActions);
  void Do(const SendDispatch& aAction);
  void Do(const SendCancel& aAction);
  void Do(const AnswerCaller& aAction);
  void Do(const WriteClaim& aAction);
  void Do(const RecordEntryStep& aAction);
  void SendClaims();
  void SendClaims(const ClaimBatcher::Batch& aBatch);
  void OnClaimsEnded(const std::vector<ClaimBatcher::Ended>& aEnded);

  EntrySettings settings_;
  std::uint16_t port_;
  /** Origin of request ids, which are unique across entries, restarts and
   * lanes. */
  RequestOrigin origin_;
  std::int64_t laneNumber_;
  ConfigurationHolder& configuration_;
  Journal& journal_;
  QThread thread_;
  std::uint64_t nextRequest_ = 1;
  std::atomic<std::size_t> inProgress_{ 0 };
  std::atomic<bool> drained_{ false };

  // Created and destroyed in the lane's thread.
  std::unique_ptr<EntryCore> core_;
  std::unique_ptr<HttpFront> front_;
  std::unique_ptr<TableClient> table_;
  ClaimBatcher claims_{
    { kMaxClaimsPerBatch, kClaimsInterval, kClaimsAnswerTimeout }
  };
  std::unique_ptr<QTimer> tick_;
  RequestMeter meter_{ Metrics::OfProcess() };
  std::map<std::string, SideLink*> links_;
  std::unordered_map<std::string, HttpExchange> exchanges_;
};

Result<bool>
Lane::Private::Open()
{
  EntryCore::Limits limits;
  limits.dataCentre_ = settings_.dataCentre_;
  limits.seed_ =
    std::hash<std::string>{}(MakeRequestId(origin_, laneNumber_, 0));
  core_ = std::make_unique<EntryCore>(limits);
  table_ = std::make_unique<TableClient>("http://" + settings_.table_.Text());
  HttpLimits httpLimits;
  httpLimits.maxBodyBytes_ = static_cast<std::size_t>(settings_.maxBodyBytes_);
  httpLimits.receiveTimeout_ = Millis(settings_.receiveTimeoutMs_);
  Result<std::unique_ptr<HttpFront>> front = HttpFront::Listen(
    settings_.listen_.ip_,
    port_,
    httpLimits,
    [this](const HttpExchange& aExchange) { OnHttp(aExchange); });
  if (const auto* failure = std::get_if<Failure>(&front)) {
    return *failure;
  }
  front_ = std::move(std::get<std::unique_ptr<HttpFront>>(front));
  port_ = front_->Port();
  tick_ = std::make_unique<QTimer>();
  connect(tick_.get(), &QTimer::timeout, this, [this] {
    const Instant now = ReadMonotonicClock();
    OnClaimsEnded(claims_.OnTick(now));
    Run(core_->OnTick(now));
    inProgress_ = exchanges_.size() + core_->UnwrittenOutcomes();
    meter_.Publish(front_->Counts());
    drained_ = !front_->Listening() && front_->Connections() == 0 &&
               exchanges_.empty() && table_->InFlight() == 0 &&
               claims_.Waiting() == 0 && core_->UnwrittenOutcomes() == 0;
    const bool idle = inProgress_ == 0 && claims_.Waiting() == 0;
    if (idle && tick_->intervalAsDuration() != kIdleTick) {
      tick_->start(kIdleTick);
    }
  });
  tick_->start(kIdleTick);
  return true;
}

void
Lane::Private::Close()
{
  tick_.reset();
  exchanges_.clear();
  front_.reset();
  for (const auto& [id, link] : links_) {
    delete link;
  }
  links_.clear();
  table_.reset();
  core_.reset();
}

void
Lane::Private::AnswerError(const HttpExchange& aExchange,
                           int aStatus,
                           const std::string& aMessage)
{
  HttpAnswer answer;
  answer.status_ = aStatus;
  answer.headers_.emplace_back("X-Verdict", VerdictText(Verdict::DidNotRun));
  answer.body_ = "{\"verdict\":\"did not run\",\"message\":\"" +
                 JsonEscaped(aMessage) + "\"}\n";
  aExchange.Answer(answer);
}

void
Lane::Private::OnHttp(const HttpExchange& aExchange)
{
  const std::string& path = aExchange.Path();
  if (!path.starts_with(kServicePrefix)) {
    AnswerError(aExchange, 404, "Use /s/SERVICE/PATH to call a service.");
    return;
  }
  const std::shared_ptr<const Configuration> configuration =
    configuration_.Current();
  const std::string authorization = aExchange.Header("Authorization");
  const TenantConfig* tenant =
    authorization.starts_with(kBearer)
      ? configuration->FindTenantByKey(
          Sha256Hex(std::string_view(authorization).substr(kBearer.size())))
      : nullptr;
  if (tenant == nullptr) {
    AnswerError(
      aExchange, 401, "Send a tenant's key as 'Authorization: Bearer KEY'.");
    return;
  }
  const std::size_t nameEnd = path.find('/', kServicePrefix.size());
  const std::string name =
    path.substr(kServicePrefix.size(),
                nameEnd == std::string::npos ? std::string::npos
                                             : nameEnd - kServicePrefix.size());
  const ServiceConfig* service = configuration->FindService(name);
  if (service == nullptr) {
    AnswerError(aExchange, 404, "There is no service named '" + name + "'.");
    return;
  }
  const Instant now = ReadMonotonicClock();
  RequestFacts facts;
  origin_.slot_ = SlotOf(ReadWallClock(), origin_.incarnation_, kEntrySlot);
  facts.requestId_ = MakeRequestId(origin_, laneNumber_, nextRequest_++);
  facts.tenant_ = tenant->name_;
  facts.service_ = name;
  facts.method_ = aExchange.Method();
  facts.idempotent_ =
    service->idempotent_ || facts.method_ == "GET" || facts.method_ == "HEAD";
  const std::string key = aExchange.Header("Idempotency-Key");
  facts.key_ = key.empty() ? facts.requestId_ : key;
  const std::size_t prefix = kServicePrefix.size() + name.size();
  facts.target_ = aExchange.Target().substr(prefix);
  if (!facts.target_.starts_with('/')) {
    facts.target_.insert(0, "/");
  }
  for (const auto& header : aExchange.Headers()) {
    if (QByteArray::fromStdString(header.first).toLower() != "authorization") {
      facts.headers_.push_back(header);
    }
  }
  facts.body_ = aExchange.Body();
  facts.deadline_ = now + Millis(service->timeoutMs_);
  const std::string id = facts.requestId_;
  exchanges_.emplace(id, aExchange);
  if (tick_->intervalAsDuration() != kTick) {
    tick_->start(kTick);
  }
  meter_.Begin(id, facts.tenant_, ClassOf(*service), now);
  aExchange.OnDisconnected(
    [this, id] { Run(core_->OnCallerDisconnected(id, ReadMonotonicClock())); });
  Run(core_->OnRequest(facts, now));
}

SideLink*
Lane::Private::LinkTo(const std::string& aSideId)
{
  const auto found = links_.find(aSideId);
  if (found != links_.end()) {
    return found->second;
  }
  const std::optional<SideView> side = core_->Membership().Find(aSideId);
  if (!side.has_value()) {
    return nullptr;
  }
  auto* link =
    new SideLink(side->heartbeat_.address_, side->heartbeat_.port_, this);
  links_[aSideId] = link;
  connect(link,
          &SideLink::Received,
          this,
          [this, aSideId](const WireMessage& aMessage) {
            if (const auto* answer = std::get_if<AnswerMessage>(&aMessage)) {
              meter_.Attempt(answer->requestId_, *answer);
              Run(core_->OnAnswer(aSideId, *answer, ReadMonotonicClock()));
            }
          });
  connect(
    link,
    &SideLink::Lost,
    this,
    [this, aSideId, link](bool aNeverConnected) {
      links_.erase(aSideId);
      link->deleteLater();
      Run(core_->OnSideLost(aSideId, aNeverConnected, ReadMonotonicClock()));
    },
    Qt::QueuedConnection);
  return link;
}

void
Lane::Private::Run(const std::vector<EntryAction>& aActions)
{
  for (const EntryAction& action : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, action);
  }
  SendClaims();
}

void
Lane::Private::Do(const SendDispatch& aAction)
{
  SideLink* link = LinkTo(aAction.sideId_);
  if (link != nullptr) {
    link->Send(aAction.dispatch_);
  }
}

void
Lane::Private::Do(const SendCancel& aAction)
{
  const auto found = links_.find(aAction.sideId_);
  if (found != links_.end()) {
    found->second->Send(aAction.cancel_);
  }
}

void
Lane::Private::Do(const AnswerCaller& aAction)
{
  meter_.End(aAction.requestId_, aAction.verdict_, ReadMonotonicClock());
  const auto found = exchanges_.find(aAction.requestId_);
  if (found == exchanges_.end()) {
    return;
  }
  found->second.Answer(ToHttp(aAction));
  exchanges_.erase(found);
}

void
Lane::Private::Do(const WriteClaim& aAction)
{
  claims_.Add(aAction);
}

void
Lane::Private::SendClaims()
{
  const Instant now = ReadMonotonicClock();
  while (const std::optional<ClaimBatcher::Batch> batch = claims_.Begin(now)) {
    SendClaims(*batch);
  }
}

void
Lane::Private::SendClaims(const ClaimBatcher::Batch& aBatch)
{
  ClaimTransaction claimTransaction(aBatch);
  const TableTransaction transaction = claimTransaction.Transaction();
  table_->Transact(transaction,
                   aBatch.deadline_,
                   [this, claimTransaction = std::move(claimTransaction)](
                     const Result<TableOutcome>& aResult) {
                     OnClaimsEnded(claimTransaction.Read(aResult, claims_));
                   });
}

void
Lane::Private::OnClaimsEnded(const std::vector<ClaimBatcher::Ended>& aEnded)
{
  const Instant now = ReadMonotonicClock();
  // Collects the actions of all claims first, so that their next writes form
  // one batch.
  std::vector<EntryAction> actions;
  for (const ClaimBatcher::Ended& ended : aEnded) {
    std::vector<EntryAction> next = core_->OnClaimWritten(
      ended.write_.requestId_, ended.write_.writeId_, ended.result_, now);
    std::move(next.begin(), next.end(), std::back_inserter(actions));
  }
  Run(actions);
}

void
Lane::Private::Do(const RecordEntryStep& aAction)
{
  journal_.Add(aAction.step_);
}

Lane::Lane(std::unique_ptr<Private> aPrivate)
  : private_(std::move(aPrivate))
{
}

Result<std::unique_ptr<Lane>>
Lane::Start(const EntrySettings& aSettings,
            std::uint16_t aPort,
            std::uint64_t aIncarnation,
            std::int64_t aLaneNumber,
            ConfigurationHolder& aConfiguration,
            Journal& aJournal)
{
  auto self =
    std::make_unique<Private>(aSettings,
                              aPort,
                              RequestOrigin{ aSettings.name_, aIncarnation, 0 },
                              aLaneNumber,
                              aConfiguration,
                              aJournal);
  Private* raw = self.get();
  raw->moveToThread(&raw->thread_);
  raw->thread_.start();
  Result<bool> opened = true;
  QMetaObject::invokeMethod(
    raw,
    [raw, &opened] { opened = raw->Open(); },
    Qt::BlockingQueuedConnection);
  std::unique_ptr<Lane> lane(new Lane(std::move(self)));
  if (const auto* failure = std::get_if<Failure>(&opened)) {
    return *failure;
  }
  return lane;
}

Lane::~Lane()
{
  Private* raw = private_.get();
  QMetaObject::invokeMethod(
    raw, [raw] { raw->Close(); }, Qt::BlockingQueuedConnection);
  raw->thread_.quit();
  raw->thread_.wait();
}

std::uint16_t
Lane::Port() const
{
  return private_->port_;
}

void
Lane::Observe(const HeartbeatMessage& aHeartbeat, Instant aReceivedAt)
{
  Private* raw = private_.get();
  QMetaObject::invokeMethod(
    raw,
    [raw, aHeartbeat, aReceivedAt] {
      raw->core_->OnHeartbeat(aHeartbeat, aReceivedAt);
    },
    Qt::QueuedConnection);
}

void
Lane::StopListening()
{
  Private* raw = private_.get();
  QMetaObject::invokeMethod(
    raw, [raw] { raw->front_->StopListening(); }, Qt::QueuedConnection);
}

void
Lane::CloseAfterAnswers()
{
  Private* raw = private_.get();
  QMetaObject::invokeMethod(
    raw, [raw] { raw->front_->CloseAfterAnswers(); }, Qt::QueuedConnection);
}

void
Lane::AnswerOpenRequests()
{
  Private* raw = private_.get();
  QMetaObject::invokeMethod(
    raw,
    [raw] { raw->Run(raw->core_->OnStopTimeout(ReadMonotonicClock())); },
    Qt::QueuedConnection);
}

bool
Lane::Drained() const
{
  return private_->drained_;
}

std::size_t
Lane::InProgress() const
{
  return private_->inProgress_;
}

}
