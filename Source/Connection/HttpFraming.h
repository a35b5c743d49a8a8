#pragma once

#include "Request/Failure.h"

#include <cstddef>
#include <string_view>

namespace cactusrail {

/**
 * Where the request that starts a byte stream ends. This does not parse HTTP,
 * which is the library's work; it finds the bounds that the library does not
 * check.
 */
struct HttpRequestBounds
{
  /** Bytes of the request line, the headers and the empty line. */
  std::size_t headBytes_ = 0;
  std::size_t bodyBytes_ = 0;
  /** The caller asked for the connection to be closed after the answer. */
  bool lastOnConnection_ = false;
};

/** Reads the bounds from a whole head, the empty line included. */
Result<HttpRequestBounds>
ReadHttpBounds(std::string_view aHead);

}
