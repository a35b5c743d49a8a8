#pragma once

#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cactusrail {

/** A frame as it arrived; valid until the reader's next call. */
struct RawFrame
{
  std::span<const char> frame_;
  /** The bytes after it that authenticate it; empty without keys. */
  std::span<const char> tag_;
};

/**
 * Cuts the bytes of one connection into messages. Owned by the connection; a
 * reader that failed once stays failed, since the next frame's start is lost.
 */
class FrameReader
{
public:
  /** Takes the bytes that arrived; returns the messages that they complete. */
  Result<std::vector<WireMessage>> Take(std::span<const char> aBytes);

  /** Takes the bytes that arrived, for Next(). */
  void Append(std::span<const char> aBytes);

  /**
   * The next frame that is there whole with aTagBytes after it. Fails as soon
   * as the header states more than aMaxFrame bytes.
   */
  Result<std::optional<RawFrame>> Next(std::size_t aTagBytes,
                                       std::size_t aMaxFrame);

private:
  std::string pending_;
  /** Where the next frame starts in pending_. */
  std::size_t start_ = 0;
};

}
