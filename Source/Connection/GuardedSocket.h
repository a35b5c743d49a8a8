#pragma once

#include "Process/Instant.h"

#include <QTcpSocket>

#include <cstddef>
#include <memory>

namespace cactusrail {

/** What a caller may send before the HTTP library sees any of it. */
struct HttpLimits
{
  std::size_t maxHeadBytes_ = 16U << 10U;
  std::size_t maxBodyBytes_ = 1U << 20U;
  /** A request must be there whole this long after its first byte. */
  Millis receiveTimeout_{ 10000 };
  /** A connection without a request is closed after this long. */
  Millis idleTimeout_{ 60000 };
};

/** Counts of what the guard turned away, for the metrics page. */
struct HttpGuardCounts
{
  std::uint64_t headTooLarge_ = 0;
  std::uint64_t bodyTooLarge_ = 0;
  std::uint64_t malformed_ = 0;
  std::uint64_t tooSlow_ = 0;
  std::uint64_t callersGone_ = 0;
};

/**
 * A caller's connection as the HTTP library sees it. Owned by the library once
 * handed over; the real socket is inside.
 *
 * Works around these faults of QHttpServer 6.4.2:
 * - the caller hangs up while its request is handled, and writing the answer
 *   crashes the process: the library is told of the end only after
 *   FinishRequest();
 * - two pipelined requests are answered out of order: the second is held back
 *   until the first has its answer;
 * - a body announced as gigabytes is buffered whole, and a dripped request is
 *   waited for without end: only a complete request within the limits and the
 *   time allowed is passed on;
 * - two Content-Length headers are accepted: refused here.
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

  /** The answer to the request in progress has been written whole. */
  void FinishRequest();

  /**
   * A planned stop began: the connection closes after the answers to what has
   * arrived, part of a request included. It does not close yet if it is idle.
   */
  void CloseAfterAnswer();

  /** The connection closes now if nothing has arrived that needs an answer. */
  void CloseWhenIdle();

  /** The answer about to be written is the connection's last. */
  bool AnswersLast() const;

  /** The caller has hung up; its answer has nowhere to go. */
  bool CallerGone() const;

  /** A request, or the first part of one, has arrived and has no answer. */
  bool Busy() const;

  // The names of overridden functions are Qt's.
  // NOLINTBEGIN(readability-identifier-naming)
  qint64 bytesAvailable() const override;
  bool canReadLine() const override;
  qint64 bytesToWrite() const override;
  void close() override;
  void disconnectFromHost() override;
  // NOLINTEND(readability-identifier-naming)

Q_SIGNALS:
  /** The caller hung up while its request was being handled. */
  void CallerHungUp();

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
