#pragma once

#include "Connection/WireMessages.h"
#include "Request/Failure.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace cactusrail {

/** Protocol version; frames of any other version are rejected. */
constexpr std::uint16_t kProtocolVersion = 1;

/** Maximum size of a frame on a connection, in bytes, including the header. */
constexpr std::size_t kMaxFrameBytes = 8U << 20U;

/** Maximum size of a datagram including its tag, in bytes: one Ethernet frame.
 */
constexpr std::size_t kMaxDatagramBytes = 1432;

/** Size of the header before each payload: length (4 bytes), version (2) and
 * type (2), in little endian. */
constexpr std::size_t kFrameHeaderBytes = 8;

/** Encodes a message as a frame of header and payload. */
std::string
EncodeFrame(const WireMessage& aMessage);

/** Decodes the message in a complete frame; fails with the reason if the frame
 * is invalid. */
Result<WireMessage>
DecodeFrame(std::span<const char> aFrame);

/**
 * Returns the size in bytes of the frame at the start of aBytes, or 0 while its
 * header is incomplete. Fails if the header states another version, a size
 * below kFrameHeaderBytes or a size above kMaxFrameBytes.
 */
Result<std::size_t>
FrameLength(std::span<const char> aBytes);

}
