#pragma once

#include "Connection/GuardedSocket.h"
#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <QObject>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactusrail {

/** An HTTP answer that is ready to be written. */
struct HttpAnswer
{
  int status_ = 200;
  HeaderList headers_;
  std::string contentType_ = "application/json";
  std::string body_;
};

/**
 * One HTTP request and the right to answer it once. Copies share that right;
 * an exchange that is dropped unanswered answers 500, so no caller waits for
 * nothing.
 */
class HttpExchange
{
public:
  class Private;

  explicit HttpExchange(std::shared_ptr<Private> aPrivate);

  const std::string& Method() const;
  /** The path alone, without the query. */
  const std::string& Path() const;
  /** Path and query as the caller sent them. */
  const std::string& Target() const;
  /** The query's value for a key; empty if there is none. */
  std::string Query(std::string_view aKey) const;
  /** The first header of that name, in any case; empty if there is none. */
  std::string Header(std::string_view aName) const;
  const HeaderList& Headers() const;
  const std::string& Body() const;

  /** Writes the answer; a second one is ignored. */
  void Answer(const HttpAnswer& aAnswer) const;

  /** Calls back if the caller hangs up before its answer. */
  void OnCallerHungUp(std::function<void()> aCallback) const;

private:
  std::shared_ptr<Private> private_;
};

/**
 * Takes HTTP requests on one address, in the thread that created it. Several
 * fronts, each in a thread of its own, may share one port.
 */
class HttpFront : public QObject
{
  Q_OBJECT

public:
  using Handler = std::function<void(HttpExchange)>;

  /** Listens on an IP number; port 0 takes a free one. */
  static Result<std::unique_ptr<HttpFront>> Listen(std::string_view aAddress,
                                                   std::uint16_t aPort,
                                                   const HttpLimits& aLimits,
                                                   Handler aHandler);
  ~HttpFront() override;

  std::uint16_t Port() const;
  const HttpGuardCounts& Counts() const;

  /** Every connection closes after its next answer; all are still taken. */
  void CloseAfterAnswers();

  /**
   * Takes no further connection, but loses none that was made: see
   * RefuseHandshakes() in the source. Idle connections close, busy ones after
   * answering. Listening() is true until the last has been accepted.
   */
  void StopListening();
  bool Listening() const;

  /** Connections on which a request, or part of one, has no answer yet. */
  std::size_t Unanswered() const;

  /** Open connections, those that still write an answer included. */
  std::size_t Connections() const;

private:
  class Private;
  explicit HttpFront(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> private_;
};

}
