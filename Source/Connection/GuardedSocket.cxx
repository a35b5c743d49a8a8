#include "Connection/GuardedSocket.h"

#include "Connection/HttpFraming.h"

#include <QHostAddress>
#include <QTimer>

#include <algorithm>
#include <string>
#include <sys/socket.h>

namespace cactusrail {

namespace {

/** Size in bytes of the read buffer of a caller's socket. While a request is
 * handled and the buffer is full, TCP flow control slows the caller down. */
constexpr qint64 kReadBufferBytes = 65536;
/** Time during which data from a rejected caller is still read. */
constexpr Millis kRejectionLinger{ 1000 };
constexpr std::string_view kHeadEnd = "\r\n\r\n";

QByteArray
RefusalText(const char* aStatusLine, const std::string& aReason)
{
  const QByteArray body = "{\"verdict\":\"did not run\",\"message\":\"" +
                          QByteArray::fromStdString(aReason) + "\"}\n";
  return QByteArray("HTTP/1.1 ") + aStatusLine +
         "\r\nContent-Type: application/json\r\nConnection: close\r\n"
         "Content-Length: " +
         QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

}

class GuardedSocket::Private
{
public:
  Private(GuardedSocket* aOwner,
          const HttpLimits& aLimits,
          HttpGuardCounts* aCounts)
    : owner_(aOwner)
    , limits_(aLimits)
    , counts_(aCounts)
    , socket_(aOwner)
    , timer_(aOwner)
  {
  }

  void OnReadyRead();
  void OnSocketDisconnected();
  void OnTimer();
  void Refuse(const char* aStatusLine, const std::string& aReason);
  void ReleaseIfComplete();
  void EndConnection();
  bool HasUnprocessedData() const;

  GuardedSocket* owner_;
  HttpLimits limits_;
  HttpGuardCounts* counts_;
  QTcpSocket socket_;
  QTimer timer_;
  std::string incoming_;
  std::string released_;
  std::size_t releasedRead_ = 0;
  HttpRequestBounds bounds_;
  bool headParsed_ = false;
  bool busy_ = false;
  /** The caller requested that the connection close after this response. */
  bool closing_ = false;
  /** Graceful shutdown: the connection closes once all received requests have
   * been answered. */
  bool stopping_ = false;
  bool refused_ = false;
  bool callerDisconnected_ = false;
  bool ended_ = false;
};

void
GuardedSocket::Private::OnReadyRead()
{
  if (refused_) {
    socket_.readAll();
    return;
  }
  if (busy_) {
    // The bytes of a pipelined request stay in the socket. Its read buffer is
    // bounded, so TCP flow control slows the caller down.
    return;
  }
  if (incoming_.empty() && socket_.bytesAvailable() > 0) {
    timer_.start(limits_.receiveTimeout_);
  }
  const QByteArray bytes = socket_.readAll();
  incoming_.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
  ReleaseIfComplete();
}

void
GuardedSocket::Private::ReleaseIfComplete()
{
  if (busy_ || refused_ || incoming_.empty()) {
    return;
  }
  if (!headParsed_) {
    const std::size_t end = incoming_.find(kHeadEnd);
    const std::size_t headBytes =
      end == std::string::npos ? incoming_.size() : end + kHeadEnd.size();
    if (headBytes > limits_.maxHeadBytes_) {
      ++counts_->headTooLarge_;
      Refuse("431 Request Header Fields Too Large",
             "The request head is over the size limit; send fewer or shorter "
             "headers.");
      return;
    }
    if (end == std::string::npos) {
      return;
    }
    const Result<HttpRequestBounds> bounds =
      ReadHttpBounds(std::string_view(incoming_).substr(0, headBytes));
    if (const auto* failure = std::get_if<Failure>(&bounds)) {
      ++counts_->malformed_;
      Refuse("400 Bad Request", failure->message_);
      return;
    }
    bounds_ = std::get<HttpRequestBounds>(bounds);
    if (bounds_.bodyBytes_ > limits_.maxBodyBytes_) {
      ++counts_->bodyTooLarge_;
      Refuse("413 Payload Too Large",
             "The request body is over the size limit; send a smaller body.");
      return;
    }
    headParsed_ = true;
  }
  const std::size_t whole = bounds_.headBytes_ + bounds_.bodyBytes_;
  if (incoming_.size() < whole) {
    return;
  }
  timer_.stop();
  released_.assign(incoming_, 0, whole);
  releasedRead_ = 0;
  incoming_.erase(0, whole);
  headParsed_ = false;
  busy_ = true;
  closing_ = closing_ || bounds_.lastOnConnection_;
  Q_EMIT owner_->readyRead();
}

/**
 * Rejects the request and closes the connection. Closing while the caller still
 * sends resets the connection, and the reset discards the response before the
 * caller reads it. Therefore only the sending direction is shut down, and
 * received data is discarded until the caller closes or kRejectionLinger ends.
 */
void
GuardedSocket::Private::Refuse(const char* aStatusLine,
                               const std::string& aReason)
{
  refused_ = true;
  incoming_.clear();
  incoming_.shrink_to_fit();
  timer_.start(kRejectionLinger);
  socket_.write(RefusalText(aStatusLine, aReason));
  socket_.flush();
  ::shutdown(static_cast<int>(socket_.socketDescriptor()), SHUT_WR);
}

void
GuardedSocket::Private::OnSocketDisconnected()
{
  if (busy_) {
    callerDisconnected_ = true;
    ++counts_->callersDisconnected_;
    Q_EMIT owner_->CallerDisconnected();
    return;
  }
  EndConnection();
}

/**
 * Returns whether unprocessed data has been received. Includes the kernel's
 * buffer: closing a connection with unread bytes resets it, and the reset may
 * overtake the response that was just written.
 */
bool
GuardedSocket::Private::HasUnprocessedData() const
{
  if (!incoming_.empty() || socket_.bytesAvailable() > 0) {
    return true;
  }
  char byte = 0;
  const auto descriptor = static_cast<int>(socket_.socketDescriptor());
  return descriptor >= 0 &&
         ::recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

void
GuardedSocket::Private::EndConnection()
{
  if (ended_) {
    return;
  }
  ended_ = true;
  timer_.stop();
  owner_->setSocketState(QAbstractSocket::UnconnectedState);
  Q_EMIT owner_->disconnected();
}

void
GuardedSocket::Private::OnTimer()
{
  if (busy_) {
    return;
  }
  if (refused_ || incoming_.empty()) {
    socket_.abort();
    return;
  }
  ++counts_->timedOutRequests_;
  Refuse("408 Request Timeout",
         "The request did not arrive completely within the time limit.");
}

GuardedSocket::GuardedSocket(qintptr aDescriptor,
                             const HttpLimits& aLimits,
                             HttpGuardCounts* aCounts,
                             QObject* aParent)
  : QTcpSocket(aParent)
  , private_(std::make_unique<Private>(this, aLimits, aCounts))
{
  Private* self = private_.get();
  self->socket_.setSocketDescriptor(aDescriptor);
  self->socket_.setReadBufferSize(kReadBufferBytes);
  self->socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  setOpenMode(QIODevice::ReadWrite | QIODevice::Unbuffered);
  setSocketState(QAbstractSocket::ConnectedState);
  setPeerAddress(self->socket_.peerAddress());
  setPeerPort(self->socket_.peerPort());
  self->timer_.setSingleShot(true);
  connect(&self->socket_, &QTcpSocket::readyRead, this, [self] {
    self->OnReadyRead();
  });
  connect(&self->socket_, &QTcpSocket::disconnected, this, [self] {
    self->OnSocketDisconnected();
  });
  connect(&self->timer_, &QTimer::timeout, this, [self] { self->OnTimer(); });
  self->timer_.start(aLimits.idleTimeout_);
}

GuardedSocket::~GuardedSocket()
{
  private_->socket_.disconnect(this);
  private_->timer_.disconnect(this);
}

void
GuardedSocket::FinishRequest()
{
  if (!private_->busy_) {
    return;
  }
  private_->busy_ = false;
  if (private_->callerDisconnected_) {
    // Queued, because the library still uses this socket on its stack.
    QMetaObject::invokeMethod(
      this, [this] { private_->EndConnection(); }, Qt::QueuedConnection);
    return;
  }
  if (IsNextAnswerLast()) {
    private_->socket_.disconnectFromHost();
    return;
  }
  private_->timer_.start(private_->limits_.idleTimeout_);
  QMetaObject::invokeMethod(
    this,
    [this] {
      if (!private_->incoming_.empty()) {
        private_->timer_.start(private_->limits_.receiveTimeout_);
      }
      private_->ReleaseIfComplete();
      private_->OnReadyRead();
    },
    Qt::QueuedConnection);
}

void
GuardedSocket::CloseAfterAnswer()
{
  private_->stopping_ = true;
}

void
GuardedSocket::CloseWhenIdle()
{
  private_->stopping_ = true;
  if (!private_->busy_ && !private_->HasUnprocessedData()) {
    private_->socket_.disconnectFromHost();
  }
}

bool
GuardedSocket::IsNextAnswerLast() const
{
  return private_->closing_ ||
         (private_->stopping_ && !private_->HasUnprocessedData());
}

bool
GuardedSocket::IsCallerDisconnected() const
{
  return private_->callerDisconnected_;
}

bool
GuardedSocket::Busy() const
{
  return private_->busy_ || !private_->incoming_.empty();
}

qint64
GuardedSocket::bytesAvailable() const
{
  const std::size_t held = private_->released_.size() - private_->releasedRead_;
  return QTcpSocket::bytesAvailable() + static_cast<qint64>(held);
}

bool
GuardedSocket::canReadLine() const
{
  return private_->released_.find('\n', private_->releasedRead_) !=
           std::string::npos ||
         QTcpSocket::canReadLine();
}

qint64
GuardedSocket::bytesToWrite() const
{
  return private_->socket_.bytesToWrite();
}

void
GuardedSocket::close()
{
  disconnectFromHost();
}

void
GuardedSocket::disconnectFromHost()
{
  private_->busy_ = false;
  private_->socket_.disconnectFromHost();
}

qint64
GuardedSocket::readData(char* aData, qint64 aMaxSize)
{
  const std::size_t held = private_->released_.size() - private_->releasedRead_;
  const std::size_t size =
    std::min(held, static_cast<std::size_t>(std::max<qint64>(aMaxSize, 0)));
  private_->released_.copy(aData, size, private_->releasedRead_);
  private_->releasedRead_ += size;
  return static_cast<qint64>(size);
}

qint64
GuardedSocket::writeData(const char* aData, qint64 aSize)
{
  if (private_->callerDisconnected_) {
    return aSize;
  }
  return private_->socket_.write(aData, aSize);
}

}
