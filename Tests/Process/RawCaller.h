#pragma once

#include <QTcpSocket>

#include <string>
#include <string_view>

/** A TCP connection that sends whatever bytes a test likes. */
class RawCaller
{
public:
  /** aAddress is "IP:PORT"; returns connected. */
  explicit RawCaller(const std::string& aAddress);

  void Send(std::string_view aBytes);

  /** All bytes received so far. */
  const std::string& Received() const { return received_; }

  /** Waits for the text to arrive. */
  void WaitFor(const std::string& aText);

  /** Waits until the other end has closed. */
  void WaitForClose();

  bool Closed() const;

  /** Hangs up at once. */
  void HangUp();

private:
  QTcpSocket socket_;
  std::string received_;
};
