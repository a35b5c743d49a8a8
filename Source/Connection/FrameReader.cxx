#include "Connection/FrameReader.h"

#include "Connection/Codec.h"

namespace cactusrail {

Result<std::vector<WireMessage>>
FrameReader::Take(std::span<const char> aBytes)
{
  pending_.append(aBytes.data(), aBytes.size());
  std::vector<WireMessage> messages;
  std::size_t start = 0;
  for (;;) {
    const std::span<const char> rest(pending_.data() + start,
                                     pending_.size() - start);
    const Result<std::size_t> length = FrameLength(rest);
    if (const auto* failure = std::get_if<Failure>(&length)) {
      return *failure;
    }
    const std::size_t size = std::get<std::size_t>(length);
    if (size == 0 || size > rest.size()) {
      break;
    }
    Result<WireMessage> message = DecodeFrame(rest.first(size));
    if (const auto* failure = std::get_if<Failure>(&message)) {
      return *failure;
    }
    messages.push_back(std::move(std::get<WireMessage>(message)));
    start += size;
  }
  pending_.erase(0, start);
  return messages;
}

}
