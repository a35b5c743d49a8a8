#include "Connection/HttpFront.h"

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpServer>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>

#include <algorithm>
#include <array>
#include <linux/filter.h>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

namespace cactusrail {

namespace {

constexpr int kBacklog = 512;
/** Time within which handshakes in flight complete; the latency to callers is
 * 3 ms. */
constexpr Millis kHandshakeTimeout{ 250 };
constexpr Millis kAcceptCheckInterval{ 10 };

std::string_view
MethodText(QHttpServerRequest::Method aMethod)
{
  switch (aMethod) {
    case QHttpServerRequest::Method::Get:
      return "GET";
    case QHttpServerRequest::Method::Put:
      return "PUT";
    case QHttpServerRequest::Method::Delete:
      return "DELETE";
    case QHttpServerRequest::Method::Post:
      return "POST";
    case QHttpServerRequest::Method::Head:
      return "HEAD";
    case QHttpServerRequest::Method::Options:
      return "OPTIONS";
    case QHttpServerRequest::Method::Patch:
      return "PATCH";
    default:
      return "UNKNOWN";
  }
}

bool
EqualHeaderNames(std::string_view aFirst, std::string_view aSecond)
{
  return std::equal(aFirst.begin(),
                    aFirst.end(),
                    aSecond.begin(),
                    aSecond.end(),
                    [](unsigned char aLeft, unsigned char aRight) {
                      return std::tolower(aLeft) == std::tolower(aRight);
                    });
}

/** Wraps accepted descriptors in guarded sockets. */
class GuardedServer : public QTcpServer
{
public:
  GuardedServer(const HttpLimits& aLimits, HttpGuardCounts* aCounts)
    : limits_(aLimits)
    , counts_(aCounts)
  {
  }

  const std::set<GuardedSocket*>& Sockets() const { return sockets_; }

  void CloseAfterAnswers()
  {
    stopping_ = true;
    for (GuardedSocket* socket : sockets_) {
      socket->CloseAfterAnswer();
    }
  }

protected:
  // NOLINTNEXTLINE(readability-identifier-naming): name defined by Qt.
  void incomingConnection(qintptr aDescriptor) override
  {
    auto* socket = new GuardedSocket(aDescriptor, limits_, counts_, this);
    sockets_.insert(socket);
    if (stopping_) {
      socket->CloseAfterAnswer();
    }
    connect(socket, &QObject::destroyed, this, [this, socket] {
      sockets_.erase(socket);
    });
    addPendingConnection(socket);
  }

private:
  HttpLimits limits_;
  HttpGuardCounts* counts_;
  bool stopping_ = false;
  std::set<GuardedSocket*> sockets_;
};

/**
 * Returns a listening descriptor whose port other threads of this process may
 * share (SO_REUSEPORT), or -1 on failure.
 */
int
ListenShared(const QHostAddress& aAddress, std::uint16_t aPort)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return -1;
  }
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(aAddress.toIPv4Address());
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (::bind(descriptor, generic, sizeof(address)) != 0 ||
      ::listen(descriptor, kBacklog) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

/**
 * Drops further connection requests (SYN) at a listening socket.
 *
 * Closing a listening socket resets the connections in its accept queue, and
 * callers that have already sent a request on one of them lose it. With SYNs
 * dropped no new connection enters the queue, so the queue stays empty once the
 * handshakes in flight have completed. A caller whose SYN was dropped has sent
 * no request; its next attempt is refused or reaches another process.
 */
void
DropConnectionRequests(int aDescriptor)
{
  // Offset of the flags in the TCP header, in bytes.
  constexpr std::uint32_t kFlagsOffset = 13;
  constexpr std::uint32_t kSynAndAck = 0x12;
  constexpr std::uint32_t kSyn = 0x02;
  constexpr std::uint32_t kWholePacket = 0xffffffff;
  std::array<sock_filter, 5> program{ {
    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
    BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSynAndAck),
    BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
    BPF_STMT(BPF_RET | BPF_K, 0),
    BPF_STMT(BPF_RET | BPF_K, kWholePacket),
  } };
  const sock_fprog filter{ program.size(), program.data() };
  // If the filter can't be attached, the accept queue is still drained before
  // the socket is closed, but a connection established between the two steps
  // may be lost.
  ::setsockopt(
    aDescriptor, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

bool
HasPendingConnection(int aDescriptor)
{
  pollfd listening{ aDescriptor, POLLIN, 0 };
  return ::poll(&listening, 1, 0) > 0;
}

}

class HttpExchange::Private
{
public:
  Private(GuardedSocket* aSocket, QHttpServerResponder aResponder)
    : socket_(aSocket)
    , responder_(std::move(aResponder))
  {
  }

  ~Private()
  {
    HttpAnswer answer;
    answer.status_ = 500;
    answer.body_ = "{\"verdict\":\"may have run\",\"message\":\"The request "
                   "was dropped by this process without a response.\"}\n";
    Write(answer);
  }

  Private(const Private&) = delete;
  Private& operator=(const Private&) = delete;

  void Write(const HttpAnswer& aAnswer);

  QPointer<GuardedSocket> socket_;
  QHttpServerResponder responder_;
  std::string method_;
  std::string path_;
  std::string target_;
  QUrlQuery query_;
  HeaderList headers_;
  std::string body_;
  bool answered_ = false;
};

void
HttpExchange::Private::Write(const HttpAnswer& aAnswer)
{
  if (answered_) {
    return;
  }
  answered_ = true;
  if (socket_.isNull()) {
    return;
  }
  responder_.writeStatusLine(
    static_cast<QHttpServerResponder::StatusCode>(aAnswer.status_));
  responder_.writeHeader("Content-Type",
                         QByteArray::fromStdString(aAnswer.contentType_));
  responder_.writeHeader("Content-Length",
                         QByteArray::number(aAnswer.body_.size()));
  if (socket_->IsNextAnswerLast()) {
    responder_.writeHeader("Connection", "close");
  }
  for (const auto& [name, value] : aAnswer.headers_) {
    responder_.writeHeader(QByteArray::fromStdString(name),
                           QByteArray::fromStdString(value));
  }
  // Writing the body also ends the header section, so that a HEAD request
  // writes an empty body.
  const bool headOnly = method_ == "HEAD";
  responder_.writeBody(aAnswer.body_.data(),
                       headOnly ? 0
                                : static_cast<qint64>(aAnswer.body_.size()));
  socket_->FinishRequest();
}

HttpExchange::HttpExchange(std::shared_ptr<Private> aPrivate)
  : private_(std::move(aPrivate))
{
}

const std::string&
HttpExchange::Method() const
{
  return private_->method_;
}

const std::string&
HttpExchange::Path() const
{
  return private_->path_;
}

const std::string&
HttpExchange::Target() const
{
  return private_->target_;
}

std::string
HttpExchange::Query(std::string_view aKey) const
{
  const QString key = QString::fromStdString(std::string(aKey));
  return private_->query_.queryItemValue(key, QUrl::FullyDecoded).toStdString();
}

std::string
HttpExchange::Header(std::string_view aName) const
{
  for (const auto& [name, value] : private_->headers_) {
    if (EqualHeaderNames(name, aName)) {
      return value;
    }
  }
  return {};
}

const HeaderList&
HttpExchange::Headers() const
{
  return private_->headers_;
}

const std::string&
HttpExchange::Body() const
{
  return private_->body_;
}

void
HttpExchange::Answer(const HttpAnswer& aAnswer) const
{
  private_->Write(aAnswer);
}

void
HttpExchange::OnDisconnected(std::function<void()> aCallback) const
{
  if (private_->socket_.isNull()) {
    aCallback();
    return;
  }
  QObject::connect(private_->socket_,
                   &GuardedSocket::CallerDisconnected,
                   private_->socket_,
                   std::move(aCallback),
                   Qt::SingleShotConnection);
}

class HttpFront::Private : public QAbstractHttpServer
{
public:
  Private(const HttpLimits& aLimits, Handler aHandler)
    : server_(aLimits, &counts_)
    , handler_(std::move(aHandler))
  {
  }

  void CloseOnceAccepted();

  HttpGuardCounts counts_;
  GuardedServer server_;
  Handler handler_;

protected:
  // NOLINTBEGIN(readability-identifier-naming): names defined by Qt.
  bool handleRequest(const QHttpServerRequest& aRequest,
                     QTcpSocket* aSocket) override;
  void missingHandler(const QHttpServerRequest& aRequest,
                      QTcpSocket* aSocket) override;
  // NOLINTEND(readability-identifier-naming)
};

bool
HttpFront::Private::handleRequest(const QHttpServerRequest& aRequest,
                                  QTcpSocket* aSocket)
{
  auto* socket = static_cast<GuardedSocket*>(aSocket);
  auto exchange = std::make_shared<HttpExchange::Private>(
    socket, makeResponder(aRequest, aSocket));
  exchange->method_ = MethodText(aRequest.method());
  const QUrl url = aRequest.url();
  exchange->path_ = url.path(QUrl::FullyEncoded).toStdString();
  exchange->target_ = exchange->path_;
  if (url.hasQuery()) {
    exchange->target_ += "?" + url.query(QUrl::FullyEncoded).toStdString();
  }
  exchange->query_ = QUrlQuery(url);
  const auto headers = aRequest.headers();
  for (const auto& [name, value] : headers) {
    exchange->headers_.emplace_back(name.toStdString(), value.toStdString());
  }
  exchange->body_ = aRequest.body().toStdString();
  handler_(HttpExchange(std::move(exchange)));
  return true;
}

void
HttpFront::Private::missingHandler(const QHttpServerRequest&, QTcpSocket*)
{
}

void
HttpFront::Private::CloseOnceAccepted()
{
  if (HasPendingConnection(static_cast<int>(server_.socketDescriptor()))) {
    QTimer::singleShot(
      kAcceptCheckInterval, this, [this] { CloseOnceAccepted(); });
    return;
  }
  server_.close();
  const std::set<GuardedSocket*> sockets = server_.Sockets();
  for (GuardedSocket* socket : sockets) {
    socket->CloseWhenIdle();
  }
}

HttpFront::HttpFront(std::unique_ptr<Private> aPrivate)
  : private_(std::move(aPrivate))
{
}

HttpFront::~HttpFront() = default;

Result<std::unique_ptr<HttpFront>>
HttpFront::Listen(std::string_view aAddress,
                  std::uint16_t aPort,
                  const HttpLimits& aLimits,
                  Handler aHandler)
{
  const std::string endpoint =
    std::string(aAddress) + ":" + std::to_string(aPort);
  const QHostAddress address(QString::fromStdString(std::string(aAddress)));
  if (address.protocol() != QAbstractSocket::IPv4Protocol) {
    return NotRun(FailureKind::BadInput,
                  "Can't listen on " + endpoint +
                    ": the address is not a numeric IPv4 address.");
  }
  auto self = std::make_unique<Private>(aLimits, std::move(aHandler));
  const int descriptor = ListenShared(address, aPort);
  if (descriptor < 0 || !self->server_.setSocketDescriptor(descriptor)) {
    return NotRun(
      FailureKind::Unreachable,
      "Can't listen on " + endpoint +
        ": the address does not belong to this host or the port is in "
        "use.");
  }
  self->bind(&self->server_);
  return std::unique_ptr<HttpFront>(new HttpFront(std::move(self)));
}

std::uint16_t
HttpFront::Port() const
{
  return private_->server_.serverPort();
}

const HttpGuardCounts&
HttpFront::Counts() const
{
  return private_->counts_;
}

void
HttpFront::StopListening()
{
  CloseAfterAnswers();
  DropConnectionRequests(
    static_cast<int>(private_->server_.socketDescriptor()));
  Private* self = private_.get();
  QTimer::singleShot(
    kHandshakeTimeout, self, [self] { self->CloseOnceAccepted(); });
}

void
HttpFront::CloseAfterAnswers()
{
  private_->server_.CloseAfterAnswers();
}

bool
HttpFront::Listening() const
{
  return private_->server_.isListening();
}

std::size_t
HttpFront::Connections() const
{
  return private_->server_.Sockets().size();
}

std::size_t
HttpFront::Unanswered() const
{
  const auto& sockets = private_->server_.Sockets();
  return static_cast<std::size_t>(
    std::count_if(sockets.begin(), sockets.end(), [](const auto* aSocket) {
      return aSocket->Busy();
    }));
}

}
