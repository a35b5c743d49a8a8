#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cactusrail {

/** Size of a tag in bytes: an untruncated HMAC-SHA256. */
constexpr std::size_t kTagBytes = 32;

/** Size of a nonce in bytes. */
constexpr std::size_t kNonceBytes = 16;

/** Returns the HMAC-SHA256 of a message, kTagBytes long. */
std::string
MakeTag(std::string_view aSecret, std::string_view aMessage);

/**
 * Compares two tags in a time that depends only on their lengths, which
 * prevents timing attacks that find a tag byte by byte.
 */
bool
SameTag(std::string_view aLeft, std::string_view aRight);

/** Returns kNonceBytes random bytes from the system's generator. */
std::string
MakeNonce();

/** Direction of a frame on a link. */
enum class FrameDirection : std::uint8_t
{
  FromOpener = 1,
  FromAcceptor = 2,
};

/**
 * Computes the tags of the frames in one direction of one link. The tag covers
 * the direction and the frame's number, so a frame that is replayed, dropped,
 * reordered, reflected or copied from another link fails verification.
 */
class FrameSigner
{
public:
  FrameSigner(std::string aSessionKey, FrameDirection aDirection);

  /** Returns the tag of the next frame; each call increments its number. */
  std::string NextTag(std::string_view aFrame);

private:
  std::string sessionKey_;
  FrameDirection direction_;
  std::uint64_t number_ = 0;
};

}
