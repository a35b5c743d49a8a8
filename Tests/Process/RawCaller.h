#pragma once

#include <QTcpSocket>

#include <string>
#include <string_view>

/** A TCP connection that sends arbitrary bytes, also invalid HTTP. */
class RawCaller
{
public:
  /** Connects to aAddress, "IP:PORT", and waits until connected. */
  explicit RawCaller(const std::string& aAddress);

  void Send(std::string_view aBytes);

  /** Returns all bytes received so far. */
  const std::string& Received() const { return received_; }

  /** Waits for the text to arrive. */
  void WaitFor(const std::string& aText);

  /** Waits until the peer has closed the connection. */
  void WaitForClose();

  bool Closed() const;

  /** Aborts the connection immediately. */
  void Abort();

private:
  QTcpSocket socket_;
  std::string received_;
};
