#include "RawCaller.h"

#include "Child.h"

#include <QHostAddress>

RawCaller::RawCaller(const std::string& aAddress)
{
  QObject::connect(&socket_, &QTcpSocket::readyRead, &socket_, [this] {
    received_ += socket_.readAll().toStdString();
  });
  const std::size_t colon = aAddress.rfind(':');
  const int port = std::stoi(aAddress.substr(colon + 1));
  socket_.connectToHost(
    QHostAddress(QString::fromStdString(aAddress.substr(0, colon))),
    static_cast<quint16>(port));
  WaitUntil(
    [this] { return socket_.state() == QAbstractSocket::ConnectedState; },
    "a connection to " + aAddress);
}

void
RawCaller::Send(std::string_view aBytes)
{
  socket_.write(aBytes.data(), static_cast<qint64>(aBytes.size()));
  socket_.flush();
}

void
RawCaller::WaitFor(const std::string& aText)
{
  WaitUntil(
    [this, &aText] { return received_.find(aText) != std::string::npos; },
    "the bytes '" + aText + "'");
}

void
RawCaller::WaitForClose()
{
  WaitUntil([this] { return Closed(); }, "the connection's end");
}

bool
RawCaller::Closed() const
{
  return socket_.state() == QAbstractSocket::UnconnectedState;
}

void
RawCaller::Abort()
{
  socket_.abort();
}
