#pragma once

#include "Connection/LinkSession.h"
#include "Connection/WireMessages.h"

#include <QObject>
#include <QTcpSocket>

#include <functional>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * A connection between two of our own processes, opened or accepted. Lives in
 * one thread. Frames that are sent before the link stands wait for it; it
 * stands once both ends have proved their key, see LinkSession.
 */
class SideLink : public QObject
{
  Q_OBJECT

public:
  /** Opens a connection to a side. */
  SideLink(const std::string& aAddress, std::uint16_t aPort, QObject* aParent);

  /** Takes over an accepted connection. */
  SideLink(QTcpSocket* aSocket, QObject* aParent);

  void Send(const WireMessage& aMessage);

  /** Ends the connection once what was sent has left. */
  void Close();

  /** All that was sent has left this process. */
  bool Flushed() const;

  /** It ended because of what the peer sent. */
  bool Broken() const { return broken_; }

Q_SIGNALS:
  void Received(const cactusrail::WireMessage& aMessage);
  /** Once: the end. aNeverConnected: nothing that was sent can have arrived. */
  void Lost(bool aNeverConnected, const QString& aReason);

private:
  void Connect();
  void Write(const std::string& aBytes);
  void OnEstablished();
  void OnReadyRead();
  void OnEnd(const QString& aReason);

  QTcpSocket* socket_;
  LinkSession session_;
  std::vector<std::string> waiting_;
  /** The link stands: connected, and both ends have proved their key. */
  bool connected_ = false;
  bool ended_ = false;
  bool broken_ = false;
};

}
