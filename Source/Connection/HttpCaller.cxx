#include "Connection/HttpCaller.h"

#include <QBuffer>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QPointer>
#include <QTimer>
#include <QUrl>

#include <algorithm>
#include <cstring>
#include <map>
#include <vector>

namespace cactusrail {

namespace {

/** A request body that can be read only once; see HttpCaller. */
class OneShotBody : public QIODevice
{
public:
  OneShotBody(std::string aBytes, QObject* aParent)
    : QIODevice(aParent)
    , bytes_(std::move(aBytes))
  {
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
  }

  // NOLINTBEGIN(readability-identifier-naming): names defined by Qt.
  bool isSequential() const override { return true; }
  bool reset() override { return false; }
  bool atEnd() const override { return read_ == bytes_.size(); }
  qint64 bytesAvailable() const override
  {
    return static_cast<qint64>(bytes_.size() - read_);
  }

protected:
  qint64 readData(char* aData, qint64 aMaxSize) override
  {
    if (read_ == bytes_.size()) {
      return -1;
    }
    const std::size_t size =
      std::min(bytes_.size() - read_, static_cast<std::size_t>(aMaxSize));
    bytes_.copy(aData, size, read_);
    read_ += size;
    return static_cast<qint64>(size);
  }
  qint64 writeData(const char*, qint64) override { return -1; }
  // NOLINTEND(readability-identifier-naming)

private:
  std::string bytes_;
  std::size_t read_ = 0;
};

/** Whether the error implies that no byte of the request reached a server. */
bool
NeverConnected(QNetworkReply::NetworkError aError)
{
  return aError == QNetworkReply::ConnectionRefusedError ||
         aError == QNetworkReply::HostNotFoundError;
}

QNetworkRequest
MakeRequest(const HttpCall& aCall)
{
  QNetworkRequest request(QUrl(QString::fromStdString(aCall.url_)));
  for (const auto& [name, value] : aCall.headers_) {
    request.setRawHeader(QByteArray::fromStdString(name),
                         QByteArray::fromStdString(value));
  }
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  // Prevents compression, so that the length of the body can be compared with
  // Content-Length.
  request.setRawHeader("Accept-Encoding", "identity");
  return request;
}

}

class HttpCaller::Private : public QObject
{
public:
  struct Running
  {
    QPointer<QNetworkReply> reply_;
    QNetworkAccessManager* manager_ = nullptr;
    Callback callback_;
    std::string url_;
    bool timedOut_ = false;
  };

  QNetworkAccessManager* AcquireManager();
  QNetworkReply* Send(QNetworkAccessManager& aManager, HttpCall& aCall);
  void DropConnections(QNetworkAccessManager* aManager);
  void Finish(std::uint64_t aCallId);
  static Result<HttpReply> Read(const Running& aRunning);

  std::uint64_t nextCall_ = 1;
  std::map<std::uint64_t, Running> running_;
  std::vector<QNetworkAccessManager*> idle_;
};

QNetworkAccessManager*
HttpCaller::Private::AcquireManager()
{
  if (idle_.empty()) {
    auto* manager = new QNetworkAccessManager(this);
    manager->setAutoDeleteReplies(false);
    return manager;
  }
  QNetworkAccessManager* manager = idle_.back();
  idle_.pop_back();
  return manager;
}

QNetworkReply*
HttpCaller::Private::Send(QNetworkAccessManager& aManager, HttpCall& aCall)
{
  QNetworkRequest request = MakeRequest(aCall);
  const QByteArray verb = QByteArray::fromStdString(aCall.method_);
  if (aCall.method_ == "GET" || aCall.method_ == "HEAD") {
    return aManager.sendCustomRequest(request, verb);
  }
  request.setHeader(QNetworkRequest::ContentLengthHeader,
                    static_cast<qint64>(aCall.body_.size()));
  request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  if (!request.hasRawHeader("Content-Type")) {
    request.setRawHeader("Content-Type", "application/octet-stream");
  }
  auto* body = new OneShotBody(std::move(aCall.body_), nullptr);
  QNetworkReply* reply = aManager.sendCustomRequest(request, verb, body);
  body->setParent(reply);
  return reply;
}

Result<HttpReply>
HttpCaller::Private::Read(const Running& aRunning)
{
  QNetworkReply* reply = aRunning.reply_;
  const QVariant status =
    reply->attribute(QNetworkRequest::HttpStatusCodeAttribute);
  const QNetworkReply::NetworkError error = reply->error();
  if (aRunning.timedOut_) {
    return Failure{ FailureKind::TimedOut,
                    Verdict::MayHaveRun,
                    "The answer of " + aRunning.url_ +
                      " did not arrive before the deadline.",
                    Millis(0) };
  }
  if (!status.isValid() || (error > QNetworkReply::NoError &&
                            error < QNetworkReply::ContentAccessDenied)) {
    const Verdict verdict =
      NeverConnected(error) ? Verdict::DidNotRun : Verdict::MayHaveRun;
    return Failure{ FailureKind::Unreachable,
                    verdict,
                    "The call to " + aRunning.url_ +
                      " failed: " + reply->errorString().toStdString() + ".",
                    Millis(0) };
  }
  HttpReply answer;
  answer.status_ = status.toInt();
  const auto pairs = reply->rawHeaderPairs();
  for (const auto& [name, value] : pairs) {
    answer.headers_.emplace_back(name.toStdString(), value.toStdString());
  }
  answer.body_ = reply->readAll().toStdString();
  const bool hasBody =
    reply->operation() != QNetworkAccessManager::HeadOperation;
  const bool chunked =
    reply->rawHeader("Transfer-Encoding").toLower().contains("chunked");
  const QVariant length = reply->header(QNetworkRequest::ContentLengthHeader);
  const bool statusWithoutBody = answer.status_ == 204 || answer.status_ == 304;
  if (hasBody && !statusWithoutBody && !chunked &&
      (!length.isValid() || length.toULongLong() != answer.body_.size())) {
    return Failure{ FailureKind::Broken,
                    Verdict::MayHaveRun,
                    "The answer of " + aRunning.url_ +
                      " is truncated or does not state its length.",
                    Millis(0) };
  }
  return answer;
}

/**
 * Discards connections after a call that timed out.
 *
 * After a network partition, or with a peer that hangs, an established
 * connection stays unresponsive indefinitely, and one that is being established
 * waits for TCP's next retransmission. The library keeps such a connection when
 * its call is aborted and reuses it for the next call. The other idle
 * connections lead to the same server and may be unusable as well.
 */
void
HttpCaller::Private::DropConnections(QNetworkAccessManager* aManager)
{
  aManager->deleteLater();
  for (QNetworkAccessManager* manager : idle_) {
    manager->deleteLater();
  }
  idle_.clear();
}

void
HttpCaller::Private::Finish(std::uint64_t aCallId)
{
  const auto found = running_.find(aCallId);
  if (found == running_.end()) {
    return;
  }
  Running running = std::move(found->second);
  running_.erase(found);
  Result<HttpReply> result = Read(running);
  running.reply_->deleteLater();
  if (running.timedOut_) {
    DropConnections(running.manager_);
  } else {
    idle_.push_back(running.manager_);
  }
  running.callback_(std::move(result));
}

HttpCaller::HttpCaller()
  : private_(std::make_unique<Private>())
{
}

HttpCaller::~HttpCaller()
{
  for (auto& [id, running] : private_->running_) {
    if (!running.reply_.isNull()) {
      running.reply_->disconnect();
    }
  }
}

std::uint64_t
HttpCaller::Start(HttpCall aCall, Callback aCallback)
{
  Private* self = private_.get();
  const std::uint64_t id = self->nextCall_++;
  Private::Running& running = self->running_[id];
  running.manager_ = self->AcquireManager();
  running.callback_ = std::move(aCallback);
  running.url_ = aCall.url_;
  const Instant deadline = aCall.deadline_;
  QNetworkReply* reply = self->Send(*running.manager_, aCall);
  running.reply_ = reply;
  QObject::connect(
    reply,
    &QNetworkReply::finished,
    self,
    [self, id] { self->Finish(id); },
    Qt::QueuedConnection);
  const Instant now = ReadMonotonicClock();
  const auto left =
    std::chrono::ceil<Millis>(Micros(MicrosUntil(deadline, now)));
  QTimer::singleShot(left, reply, [self, id] {
    const auto found = self->running_.find(id);
    if (found == self->running_.end() || found->second.reply_->isFinished()) {
      return;
    }
    found->second.timedOut_ = true;
    found->second.reply_->abort();
  });
  return id;
}

void
HttpCaller::Abort(std::uint64_t aCallId)
{
  const auto found = private_->running_.find(aCallId);
  if (found != private_->running_.end()) {
    found->second.reply_->abort();
  }
}

std::size_t
HttpCaller::InFlight() const
{
  return private_->running_.size();
}

}
