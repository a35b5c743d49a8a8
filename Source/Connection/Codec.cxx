#include "Connection/Codec.h"

#include "Connection/BoundedInputArchive.h"

#include <cereal/archives/portable_binary.hpp>

#include <QtEndian>

#include <algorithm>
#include <array>
#include <sstream>

namespace cactusrail {

namespace {

constexpr std::size_t kVersionOffset = 4;
constexpr std::size_t kTypeOffset = 6;

Failure
BadFrame(std::string aMessage)
{
  return NotRun(FailureKind::BadInput, std::move(aMessage));
}

template<typename Report>
bool
ReportsUnknown(const Report& aReport)
{
  const auto isUnknownEnd = [](const RunEndReport& aEnd) {
    return aEnd.kind_ > EndKind::Alone;
  };
  const auto isUnknownRefusal = [](const RejectedRun& aRun) {
    return aRun.why_ > StartRejection::Expired;
  };
  return std::any_of(
           aReport.ends_.begin(), aReport.ends_.end(), isUnknownEnd) ||
         std::any_of(
           aReport.refused_.begin(), aReport.refused_.end(), isUnknownRefusal);
}

/** Detects enumerators that this version does not define, so that they are not
 * taken for others. */
bool
HasUnknownEnumerator(const WireMessage& aMessage)
{
  if (const auto* answer = std::get_if<AnswerMessage>(&aMessage)) {
    return answer->verdict_ > Verdict::MayHaveRun;
  }
  if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&aMessage)) {
    return heartbeat->state_ > SideState::Leaving;
  }
  if (const auto* report = std::get_if<FleetReport>(&aMessage)) {
    return ReportsUnknown(*report);
  }
  if (const auto* change = std::get_if<FleetReportChange>(&aMessage)) {
    return ReportsUnknown(*change);
  }
  if (const auto* ask = std::get_if<FleetRequestMessage>(&aMessage)) {
    return ask->question_ > FleetRequestKind::Load;
  }
  if (const auto* answer = std::get_if<FleetResponseMessage>(&aMessage)) {
    return answer->outcome_ > FleetOutcome::TakeOver;
  }
  return false;
}

template<std::size_t kIndex>
WireMessage
DecodeAlternative(BoundedInputArchive& aArchive)
{
  std::variant_alternative_t<kIndex, WireMessage> message;
  aArchive(message);
  return message;
}

using Decoder = WireMessage (*)(BoundedInputArchive&);

template<std::size_t... kIndexes>
constexpr std::array<Decoder, sizeof...(kIndexes)>
MakeDecoders(std::index_sequence<kIndexes...>)
{
  return { &DecodeAlternative<kIndexes>... };
}

constexpr auto kDecoders =
  MakeDecoders(std::make_index_sequence<std::variant_size_v<WireMessage>>());

}

std::string
EncodeFrame(const WireMessage& aMessage)
{
  std::ostringstream stream;
  const std::array<char, kFrameHeaderBytes> placeholder{};
  stream.write(placeholder.data(), placeholder.size());
  {
    using Output = cereal::PortableBinaryOutputArchive;
    Output archive(stream, Output::Options::LittleEndian());
    std::visit([&archive](const auto& aPayload) { archive(aPayload); },
               aMessage);
  }
  std::string frame = std::move(stream).str();
  qToLittleEndian(static_cast<std::uint32_t>(frame.size()), frame.data());
  qToLittleEndian(kProtocolVersion, frame.data() + kVersionOffset);
  qToLittleEndian(static_cast<std::uint16_t>(aMessage.index()),
                  frame.data() + kTypeOffset);
  return frame;
}

Result<std::size_t>
FrameLength(std::span<const char> aBytes)
{
  if (aBytes.size() < kFrameHeaderBytes) {
    return std::size_t(0);
  }
  const auto length = qFromLittleEndian<std::uint32_t>(aBytes.data());
  const auto version =
    qFromLittleEndian<std::uint16_t>(aBytes.data() + kVersionOffset);
  if (version != kProtocolVersion) {
    return BadFrame("The peer uses version " + std::to_string(version) +
                    " of the protocol; this process uses version " +
                    std::to_string(kProtocolVersion) + ".");
  }
  if (length < kFrameHeaderBytes || length > kMaxFrameBytes) {
    return BadFrame("The peer sent a frame of " + std::to_string(length) +
                    " bytes; at most " + std::to_string(kMaxFrameBytes) +
                    " are allowed.");
  }
  return static_cast<std::size_t>(length);
}

Result<WireMessage>
DecodeFrame(std::span<const char> aFrame)
{
  const Result<std::size_t> length = FrameLength(aFrame);
  if (const auto* failure = std::get_if<Failure>(&length)) {
    return *failure;
  }
  // For an empty datagram without a header FrameLength() also returns 0.
  if (aFrame.size() < kFrameHeaderBytes ||
      std::get<std::size_t>(length) != aFrame.size()) {
    return BadFrame("The frame is truncated.");
  }
  const auto type =
    qFromLittleEndian<std::uint16_t>(aFrame.data() + kTypeOffset);
  if (type >= kDecoders.size()) {
    return BadFrame("The frame has the unknown type " + std::to_string(type) +
                    ".");
  }
  try {
    BoundedInputArchive archive(aFrame.subspan(kFrameHeaderBytes));
    WireMessage message = kDecoders.at(type)(archive);
    if (archive.BytesLeft() != 0) {
      return BadFrame("The frame contains data after its last field.");
    }
    if (HasUnknownEnumerator(message)) {
      return BadFrame("The frame contains a verdict, state or kind that this "
                      "version does not define.");
    }
    return message;
  } catch (const std::exception& error) {
    return BadFrame(std::string("The frame can't be decoded: ") + error.what());
  }
}

}
