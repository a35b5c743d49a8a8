#include "Connection/DatagramCodec.h"

#include "Connection/Codec.h"
#include "Connection/FrameSigner.h"
#include "Process/Metrics.h"

#include <algorithm>

namespace cactusrail {

namespace {

/** Prefix of the tagged text, so that a datagram's tag is invalid in any other
 * context. */
constexpr std::string_view kPurpose = "cactusrail datagram 1:";

std::string
TagOf(std::string_view aFrame, const SharedKey& aKey)
{
  return MakeTag(aKey.secret_, std::string(kPurpose).append(aFrame));
}

}

std::string
EncodeDatagram(const WireMessage& aMessage, const KeyRing& aRing)
{
  std::string frame = EncodeFrame(aMessage);
  if (!aRing.Empty()) {
    frame += TagOf(frame, aRing.Signer());
  }
  return frame;
}

Result<WireMessage>
DecodeDatagram(std::span<const char> aBytes, const KeyRing& aRing)
{
  if (aRing.Empty()) {
    return DecodeFrame(aBytes);
  }
  if (aBytes.size() < kTagBytes) {
    return NotRun(
      FailureKind::Refused,
      "The datagram has no tag. Configure the same keys on both hosts.");
  }
  const std::span<const char> frame = aBytes.first(aBytes.size() - kTagBytes);
  const std::span<const char> tag = aBytes.last(kTagBytes);
  const std::string_view frameText(frame.data(), frame.size());
  const std::string_view tagText(tag.data(), tag.size());
  const std::span<const SharedKey> keys = aRing.Keys();
  const bool known =
    std::any_of(keys.begin(), keys.end(), [&](const auto& aKey) {
      return SameTag(TagOf(frameText, aKey), tagText);
    });
  if (!known) {
    return NotRun(FailureKind::Refused,
                  "The datagram's tag matches no key of this process.");
  }
  return DecodeFrame(frame);
}

std::string
EncodeDatagram(const WireMessage& aMessage)
{
  return EncodeDatagram(aMessage, *KeyHolder::OfProcess().Current());
}

Result<WireMessage>
DecodeDatagram(std::span<const char> aBytes)
{
  Result<WireMessage> opened =
    DecodeDatagram(aBytes, *KeyHolder::OfProcess().Current());
  if (const auto* failure = std::get_if<Failure>(&opened)) {
    Metrics::OfProcess().Count(failure->kind_ == FailureKind::Refused
                                 ? Counter::UnauthenticDatagrams
                                 : Counter::BadDatagrams);
  }
  return opened;
}

}
