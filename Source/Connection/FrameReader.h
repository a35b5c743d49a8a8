#pragma once

#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cactusrail {

/** An undecoded frame; valid until the next call on the reader. */
struct RawFrame
{
  std::span<const char> frame_;
  /** Authentication tag that follows the frame; empty without keys. */
  std::span<const char> tag_;
};

/**
 * Splits the byte stream of one connection into messages. Owned by the
 * connection. A reader that failed once keeps failing, since the start of the
 * next frame is unknown.
 */
class FrameReader
{
public:
  /** Appends received bytes and returns the messages that they complete. */
  Result<std::vector<WireMessage>> Take(std::span<const char> aBytes);

  /** Appends received bytes to the buffer that Next() reads. */
  void Append(std::span<const char> aBytes);

  /**
   * Returns the next frame once it and the aTagBytes after it are complete.
   * Fails as soon as the header states more than aMaxFrame bytes.
   */
  Result<std::optional<RawFrame>> Next(std::size_t aTagBytes,
                                       std::size_t aMaxFrame);

private:
  std::string pending_;
  /** Offset of the next frame in pending_. */
  std::size_t start_ = 0;
};

}
