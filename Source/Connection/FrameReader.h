#pragma once

#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <span>
#include <string>
#include <vector>

namespace cactusrail {

/**
 * Cuts the bytes of one connection into messages. Owned by the connection; a
 * reader that failed once stays failed, since the next frame's start is lost.
 */
class FrameReader
{
public:
  /** Takes the bytes that arrived; returns the messages that they complete. */
  Result<std::vector<WireMessage>> Take(std::span<const char> aBytes);

private:
  std::string pending_;
};

}
