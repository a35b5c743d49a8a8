#pragma once

#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace cactusrail {

/** The protocol's version; a frame of another one is refused, not guessed. */
constexpr std::uint16_t kProtocolVersion = 1;

/** The largest frame on a connection, in bytes, header included. */
constexpr std::size_t kMaxFrameBytes = 8U << 20U;

/** The largest datagram with its tag, in bytes: one Ethernet frame. */
constexpr std::size_t kMaxDatagramBytes = 1432;

/** Length (4), version (2), type (2): little endian, before each payload. */
constexpr std::size_t kFrameHeaderBytes = 8;

/** One message as a frame: header and payload. */
std::string
EncodeFrame(const WireMessage& aMessage);

/** The message in a whole frame, or why it can't be one. */
Result<WireMessage>
DecodeFrame(std::span<const char> aFrame);

/**
 * How long the frame is that starts here: 0 while its header is incomplete.
 * Fails if the header states another version or more than kMaxFrameBytes.
 */
Result<std::size_t>
FrameLength(std::span<const char> aBytes);

}
