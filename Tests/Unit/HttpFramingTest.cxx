#include "Connection/HttpFraming.h"

#include <criterion/criterion.h>

#include <string>

using namespace cactusrail;

namespace {

Result<HttpRequestBounds>
Read(const std::string& aHeaders)
{
  return ReadHttpBounds("POST /x HTTP/1.1\r\n" + aHeaders + "\r\n");
}

}

Test(HttpFraming, ReadsRequestBounds)
{
  const auto read = Read("Host: x\r\ncontent-length: 12\r\n");
  cr_assert(Succeeded(read));
  const auto& bounds = std::get<HttpRequestBounds>(read);
  cr_assert(bounds.bodyBytes_ == 12);
  cr_assert(!bounds.lastOnConnection_);
  cr_assert(std::get<HttpRequestBounds>(Read("")).bodyBytes_ == 0);
  const auto close = Read("Connection: keep-alive, Close\r\n");
  cr_assert(std::get<HttpRequestBounds>(close).lastOnConnection_);
}

// Guards against request smuggling: if a load balancer and this process
// determine different ends of a request, one caller's bytes are taken for
// another caller's request.
Test(HttpFraming, RejectsAmbiguousFraming)
{
  for (const char* headers : { "Content-Length: 1\r\nContent-Length: 2\r\n",
                               "Content-Length: 1\r\nContent-Length: 1\r\n",
                               "Content-Length: 1, 2\r\n",
                               "Content-Length: +1\r\n",
                               "Content-Length: -1\r\n",
                               "Content-Length: 0x10\r\n",
                               "Content-Length:\r\n",
                               "Content-Length: 18446744073709551616\r\n",
                               "Content-Length : 5\r\n",
                               "Content-Length\t: 5\r\n",
                               "Transfer-Encoding: chunked\r\n",
                               "transfer-encoding: identity\r\n",
                               "X: 1\r\n Content-Length: 5\r\n",
                               "X: 1\nContent-Length: 5\r\n",
                               "X: 1\rContent-Length: 5\r\n",
                               ": empty\r\n",
                               "no colon\r\n" }) {
    cr_assert(!Succeeded(Read(headers)), "accepted: %s", headers);
  }
}

Test(HttpFraming, RejectsMalformedRequestLines)
{
  for (const char* line : { "GET /\r\n\r\n",
                            "GET  / HTTP/1.1\r\n\r\n",
                            " GET / HTTP/1.1\r\n\r\n",
                            "GET / HTTP/2.0\r\n\r\n",
                            "GET / x HTTP/1.1\r\n\r\n",
                            "G\nET / HTTP/1.1\r\n\r\n",
                            "\r\n\r\n" }) {
    cr_assert(!Succeeded(ReadHttpBounds(line)), "accepted: %s", line);
  }
}
