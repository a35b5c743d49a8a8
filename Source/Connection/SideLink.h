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
 * A connection, opened or accepted, between two processes of the system. Used
 * from a single thread. Frames sent before the link is established are queued;
 * the link is established once both ends have proved possession of a key, see
 * LinkSession.
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

  /** Closes the connection after all sent frames have been written. */
  void Close();

  /** Whether all sent frames have been written to the system. */
  bool Flushed() const;

  /** Whether the link was closed because of invalid input from the peer. */
  bool Broken() const { return broken_; }

Q_SIGNALS:
  void Received(const cactusrail::WireMessage& aMessage);
  /** Emitted once, when the link ends. aNeverConnected: no sent frame can have
   * arrived. */
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
  /** The connection is open and both ends have proved possession of a key. */
  bool connected_ = false;
  bool ended_ = false;
  bool broken_ = false;
};

}
