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

/** An HTTP response that is ready to be written. */
struct HttpAnswer
{
  int status_ = 200;
  HeaderList headers_;
  std::string contentType_ = "application/json";
  std::string body_;
};

/**
 * One HTTP request and its single response. Copies share the response. If the
 * last copy is destroyed without a response, the caller receives status 500
 * instead of waiting until its timeout.
 */
class HttpExchange
{
public:
  class Private;

  explicit HttpExchange(std::shared_ptr<Private> aPrivate);

  const std::string& Method() const;
  /** Path without the query. */
  const std::string& Path() const;
  /** Path and query, as sent by the caller. */
  const std::string& Target() const;
  /** Returns the value of a query parameter; empty if it is absent. */
  std::string Query(std::string_view aKey) const;
  /** Returns the first header of that name, ignoring case; empty if absent. */
  std::string Header(std::string_view aName) const;
  const HeaderList& Headers() const;
  const std::string& Body() const;

  /** Writes the response; any further call is ignored. */
  void Answer(const HttpAnswer& aAnswer) const;

  /** Sets the callback for a caller that disconnects before its response;
   * invokes it at once if the connection no longer exists. */
  void OnDisconnected(std::function<void()> aCallback) const;

private:
  std::shared_ptr<Private> private_;
};

/**
 * HTTP server on one address, running in the thread that created it. Several
 * instances, each in its own thread, may share one port.
 */
class HttpFront : public QObject
{
  Q_OBJECT

public:
  using Handler = std::function<void(HttpExchange)>;

  /** Listens on a numeric IPv4 address; port 0 selects a free port. */
  static Result<std::unique_ptr<HttpFront>> Listen(std::string_view aAddress,
                                                   std::uint16_t aPort,
                                                   const HttpLimits& aLimits,
                                                   Handler aHandler);
  ~HttpFront() override;

  std::uint16_t Port() const;
  const HttpGuardCounts& Counts() const;

  /** Closes each connection after its next response, or after later ones while
   * further requests have been received; still accepts new connections. */
  void CloseAfterAnswers();

  /**
   * Rejects new connections without losing an established one; see
   * DropConnectionRequests() in the source. Idle connections close once
   * the last established connection has been accepted; Listening() is true
   * until then. Busy connections close after their responses.
   */
  void StopListening();
  bool Listening() const;

  /** Number of connections with a complete or partial unanswered request. */
  std::size_t Unanswered() const;

  /** Number of open connections, including those still writing a response. */
  std::size_t Connections() const;

private:
  class Private;
  explicit HttpFront(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> private_;
};

}
