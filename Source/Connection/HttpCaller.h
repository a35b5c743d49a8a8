#pragma once

#include "Connection/WireMessages.h"
#include "Process/Instant.h"
#include "Request/Failure.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cactusrail {

/** A request that this process makes of the platform, a worker or an upstream.
 */
struct HttpCall
{
  std::string method_;
  /** "http://IP:PORT/path?query". */
  std::string url_;
  HeaderList headers_;
  std::string body_;
  Instant deadline_;
};

/** What the server answered, whole. */
struct HttpReply
{
  int status_ = 0;
  HeaderList headers_;
  std::string body_;
};

/**
 * Makes HTTP calls through Qt, in the thread that created it.
 *
 * Works around these faults of QNetworkAccessManager 6.4.2:
 * - it sends a POST a second time by itself when the connection ends without an
 *   answer: bodies come from a device that can't be rewound, so the library
 *   fails the call instead;
 * - it queues calls beyond six to one host unseen: calls are spread over
 *   managers, one call at a time each, and the caller of this class bounds
 * them;
 * - an answer that ends before its Content-Length must not pass as whole.
 */
class HttpCaller
{
public:
  using Callback = std::function<void(Result<HttpReply>)>;

  HttpCaller();
  ~HttpCaller();

  /**
   * Starts a call; the callback comes once, from the event loop. A Failure says
   * DidNotRun only if the connection was never made.
   */
  std::uint64_t Start(HttpCall aCall, Callback aCallback);

  /** Ends a call; its callback comes with MayHaveRun. */
  void Abort(std::uint64_t aCallId);

  std::size_t InFlight() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
