#include "Connection/SideLink.h"

#include "Connection/Codec.h"

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
{
  Connect();
  QTimer::singleShot(kConnectTimeout, this, [this] {
    if (!connected_) {
      OnEnd(QStringLiteral("The connection was not made in time."));
    }
  });
  socket_->connectToHost(QHostAddress(QString::fromStdString(aAddress)), aPort);
}

SideLink::SideLink(QTcpSocket* aSocket, QObject* aParent)
  : QObject(aParent)
  , socket_(aSocket)
  , connected_(true)
{
  socket_->setParent(this);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  Connect();
}

void
SideLink::Connect()
{
  connect(socket_, &QTcpSocket::connected, this, [this] {
    connected_ = true;
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    for (const std::string& frame : waiting_) {
      socket_->write(frame.data(), static_cast<qint64>(frame.size()));
    }
    waiting_.clear();
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
  socket_->write(frame.data(), static_cast<qint64>(frame.size()));
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
  const Result<std::vector<WireMessage>> messages =
    reader_.Take({ bytes.constData(), static_cast<std::size_t>(bytes.size()) });
  if (const auto* failure = std::get_if<Failure>(&messages)) {
    broken_ = true;
    OnEnd(QString::fromStdString(failure->message_));
    return;
  }
  for (const WireMessage& message :
       std::get<std::vector<WireMessage>>(messages)) {
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
