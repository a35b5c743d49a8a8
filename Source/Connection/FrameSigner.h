#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cactusrail {

/** Bytes of a tag: HMAC-SHA256, whole. */
constexpr std::size_t kTagBytes = 32;

/** Bytes of a nonce. */
constexpr std::size_t kNonceBytes = 16;

/** The HMAC-SHA256 of a message, kTagBytes long. */
std::string
MakeTag(std::string_view aSecret, std::string_view aMessage);

/**
 * Compares two tags in a time that depends on their lengths only, so that a
 * stranger can't find a tag byte by byte from how soon he is refused.
 */
bool
SameTag(std::string_view aLeft, std::string_view aRight);

/** Fresh random bytes, from the system's generator. */
std::string
MakeNonce();

/** Which way a frame goes on a link. */
enum class FrameDirection : std::uint8_t
{
  FromOpener = 1,
  FromAcceptor = 2,
};

/**
 * Tags the frames of one direction of one link. The tag covers the direction
 * and the frame's number, so that a frame that is repeated, left out, moved,
 * sent back or brought from another link has a wrong tag.
 */
class FrameSigner
{
public:
  FrameSigner(std::string aSessionKey, FrameDirection aDirection);

  /** The tag of the next frame; each call counts on. */
  std::string NextTag(std::string_view aFrame);

private:
  std::string sessionKey_;
  FrameDirection direction_;
  std::uint64_t number_ = 0;
};

}
