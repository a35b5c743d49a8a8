#pragma once

#include "Connection/WireMessages.h"
#include "Request/Failure.h"
#include "Version/Instant.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cactusrail {

/** An HTTP request to the platform, a worker or an upstream. */
struct HttpCall
{
  std::string method_;
  /** URL in the form "http://IP:PORT/path?query". */
  std::string url_;
  HeaderList headers_;
  std::string body_;
  Instant deadline_;
};

/** The complete response of the server. */
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
 * - It resends a POST when the connection ends without a response. Bodies are
 *   therefore read from a device that can't be rewound, so that the library
 *   fails the call instead.
 * - It silently queues calls beyond six to one host. Calls are therefore
 *   distributed over managers with one call at a time each; the user of this
 *   class limits their number.
 * - It accepts a response that ends before its Content-Length. This class
 *   reports such a response as a failure.
 */
class HttpCaller
{
public:
  using Callback = std::function<void(Result<HttpReply>)>;

  HttpCaller();
  ~HttpCaller();

  /**
   * Starts a call and returns its id. The event loop invokes the callback
   * exactly once. A Failure has the verdict DidNotRun only if the connection
   * was never established.
   */
  std::uint64_t Start(HttpCall aCall, Callback aCallback);

  /** Aborts a call; its callback receives a Failure with MayHaveRun. */
  void Abort(std::uint64_t aCallId);

  std::size_t InFlight() const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
