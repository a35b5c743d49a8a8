#include "Connection/FrameReader.h"

#include "Connection/Codec.h"

namespace cactusrail {

Result<std::vector<WireMessage>>
FrameReader::Take(std::span<const char> aBytes)
{
  Append(aBytes);
  std::vector<WireMessage> messages;
  for (;;) {
    const Result<std::optional<RawFrame>> next = Next(0, kMaxFrameBytes);
    if (const auto* failure = std::get_if<Failure>(&next)) {
      return *failure;
    }
    const auto& raw = std::get<std::optional<RawFrame>>(next);
    if (!raw.has_value()) {
      return messages;
    }
    Result<WireMessage> message = DecodeFrame(raw->frame_);
    if (const auto* failure = std::get_if<Failure>(&message)) {
      return *failure;
    }
    messages.push_back(std::move(std::get<WireMessage>(message)));
  }
}

void
FrameReader::Append(std::span<const char> aBytes)
{
  pending_.erase(0, start_);
  start_ = 0;
  pending_.append(aBytes.data(), aBytes.size());
}

Result<std::optional<RawFrame>>
FrameReader::Next(std::size_t aTagBytes, std::size_t aMaxFrame)
{
  const std::span<const char> rest(pending_.data() + start_,
                                   pending_.size() - start_);
  const Result<std::size_t> length = FrameLength(rest);
  if (const auto* failure = std::get_if<Failure>(&length)) {
    return *failure;
  }
  const std::size_t size = std::get<std::size_t>(length);
  if (size > aMaxFrame) {
    return NotRun(FailureKind::BadInput,
                  "The peer sent a frame of " + std::to_string(size) +
                    " bytes where at most " + std::to_string(aMaxFrame) +
                    " are allowed.");
  }
  if (size == 0 || size + aTagBytes > rest.size()) {
    return std::optional<RawFrame>();
  }
  start_ += size + aTagBytes;
  return std::optional<RawFrame>(
    RawFrame{ rest.first(size), rest.subspan(size, aTagBytes) });
}

}
