#include "Connection/SideLink.h"

#include "Connection/Codec.h"
#include "Process/Metrics.h"

#include <QHostAddress>
#include <QTimer>

#include <chrono>

namespace cactusrail {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{ 1000 };

}

SideLink::SideLink(const std::string& aAddress,
                   std::uint16_t aPort,
                   QObject* aParent)
  : QObject(aParent)
  , socket_(new QTcpSocket(this))
  , session_(FrameDirection::FromOpener,
             KeyHolder::OfProcess().Current(),
             MakeNonce())
{
  Connect();
  socket_->connectToHost(QHostAddress(QString::fromStdString(aAddress)), aPort);
}

SideLink::SideLink(QTcpSocket* aSocket, QObject* aParent)
  : QObject(aParent)
  , socket_(aSocket)
  , session_(FrameDirection::FromAcceptor,
             KeyHolder::OfProcess().Current(),
             MakeNonce())
  , connected_(session_.Established())
{
  socket_->setParent(this);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  Connect();
}

void
SideLink::Connect()
{
  // Also applies to accepted links, so that an unauthenticated peer can't keep
  // a connection open indefinitely.
  QTimer::singleShot(kConnectTimeout, this, [this] {
    if (!connected_) {
      OnEnd(QStringLiteral("The link was not established before the timeout."));
    }
  });
  connect(socket_, &QTcpSocket::connected, this, [this] {
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    Write(session_.Start());
    OnEstablished();
  });
  connect(socket_, &QTcpSocket::readyRead, this, [this] { OnReadyRead(); });
  connect(socket_, &QTcpSocket::disconnected, this, [this] {
    OnEnd(QStringLiteral("The peer closed the connection."));
  });
  connect(socket_, &QTcpSocket::errorOccurred, this, [this] {
    OnEnd(socket_->errorString());
  });
}

void
SideLink::Write(const std::string& aBytes)
{
  socket_->write(aBytes.data(), static_cast<qint64>(aBytes.size()));
}

void
SideLink::OnEstablished()
{
  if (connected_ || !session_.Established()) {
    return;
  }
  connected_ = true;
  for (std::string& frame : waiting_) {
    Write(session_.Seal(std::move(frame)));
  }
  waiting_.clear();
}

void
SideLink::Send(const WireMessage& aMessage)
{
  if (ended_) {
    return;
  }
  std::string frame = EncodeFrame(aMessage);
  if (!connected_) {
    waiting_.push_back(std::move(frame));
    return;
  }
  Write(session_.Seal(std::move(frame)));
}

void
SideLink::Close()
{
  socket_->disconnectFromHost();
}

bool
SideLink::Flushed() const
{
  return waiting_.empty() && socket_->bytesToWrite() == 0;
}

void
SideLink::OnReadyRead()
{
  const QByteArray bytes = socket_->readAll();
  const Result<LinkInput> taken = session_.Take(
    { bytes.constData(), static_cast<std::size_t>(bytes.size()) });
  if (const auto* failure = std::get_if<Failure>(&taken)) {
    Metrics::OfProcess().Count(failure->kind_ == FailureKind::Refused
                                 ? Counter::UnauthenticLinks
                                 : Counter::BadFrames);
    broken_ = true;
    OnEnd(QString::fromStdString(failure->message_));
    return;
  }
  const auto& input = std::get<LinkInput>(taken);
  Write(input.reply_);
  OnEstablished();
  for (const WireMessage& message : input.messages_) {
    if (ended_) {
      return;
    }
    Q_EMIT Received(message);
  }
}

void
SideLink::OnEnd(const QString& aReason)
{
  if (ended_) {
    return;
  }
  ended_ = true;
  socket_->abort();
  Q_EMIT Lost(!connected_, aReason);
}

}
