#pragma once

#include "Version/Instant.h"

#include <QTcpSocket>

#include <cstddef>
#include <memory>

namespace cactusrail {

/** Limits on a request, enforced before it reaches the HTTP library. */
struct HttpLimits
{
  std::size_t maxHeadBytes_ = 16U << 10U;
  std::size_t maxBodyBytes_ = 1U << 20U;
  /** Maximum time between the first byte of a request and its last. */
  Millis receiveTimeout_{ 10000 };
  /** Time after which a connection without a request is closed. */
  Millis idleTimeout_{ 60000 };
};

/** Numbers of rejected requests and lost callers, for the metrics page. */
struct HttpGuardCounts
{
  std::uint64_t headTooLarge_ = 0;
  std::uint64_t bodyTooLarge_ = 0;
  std::uint64_t malformed_ = 0;
  std::uint64_t timedOutRequests_ = 0;
  std::uint64_t callersDisconnected_ = 0;
};

/**
 * Wraps the socket of a caller's connection for the HTTP library, which owns
 * the wrapper once it has been passed on.
 *
 * Works around these faults of QHttpServer 6.4.2:
 * - If the caller disconnects while its request is handled, writing the
 *   response crashes the process. The disconnect is therefore signalled to the
 *   library only after FinishRequest().
 * - Two pipelined requests are answered out of order. The second is therefore
 *   withheld until the first has been answered.
 * - A body announced as gigabytes is buffered whole, and a request sent byte by
 *   byte never times out. Only a complete request within the size and time
 *   limits is therefore passed on.
 * - Two Content-Length headers are accepted. This class rejects them.
 */
class GuardedSocket : public QTcpSocket
{
  Q_OBJECT

public:
  GuardedSocket(qintptr aDescriptor,
                const HttpLimits& aLimits,
                HttpGuardCounts* aCounts,
                QObject* aParent);
  ~GuardedSocket() override;

  /** Marks the response to the current request as completely written. */
  void FinishRequest();

  /**
   * Closes the connection, for a graceful shutdown, after the responses to all
   * received requests, including one received in part. An idle connection
   * stays open for now.
   */
  void CloseAfterAnswer();

  /** Closes the connection as soon as no received request awaits a response. */
  void CloseWhenIdle();

  /** Whether the next response is the last one on the connection. */
  bool IsNextAnswerLast() const;

  /** Whether the caller has disconnected; its response is discarded. */
  bool IsCallerDisconnected() const;

  /** Whether a request, complete or partial, has no response yet. */
  bool Busy() const;

  // Qt defines the names of the overridden functions.
  // NOLINTBEGIN(readability-identifier-naming)
  qint64 bytesAvailable() const override;
  bool canReadLine() const override;
  qint64 bytesToWrite() const override;
  void close() override;
  void disconnectFromHost() override;
  // NOLINTEND(readability-identifier-naming)

Q_SIGNALS:
  /** Emitted when the caller disconnects while its request is handled. */
  void CallerDisconnected();

protected:
  // NOLINTBEGIN(readability-identifier-naming)
  qint64 readData(char* aData, qint64 aMaxSize) override;
  qint64 writeData(const char* aData, qint64 aSize) override;
  // NOLINTEND(readability-identifier-naming)

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
