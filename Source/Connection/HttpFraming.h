#pragma once

#include "Request/Failure.h"

#include <cstddef>
#include <string_view>

namespace cactusrail {

/**
 * Sizes of the first request in a byte stream. The HTTP library parses the
 * request; these are the sizes that the library does not check.
 */
struct HttpRequestBounds
{
  /** Size in bytes of the request line, the headers and the empty line. */
  std::size_t headBytes_ = 0;
  std::size_t bodyBytes_ = 0;
  /** Whether the connection closes after the response, as the caller asked. */
  bool lastOnConnection_ = false;
};

/** Reads the bounds from a complete head, including the empty line. */
Result<HttpRequestBounds>
ReadHttpBounds(std::string_view aHead);

}
