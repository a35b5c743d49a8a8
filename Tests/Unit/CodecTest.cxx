#include "Connection/Codec.h"
#include "Connection/FrameReader.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

std::string
SampleFrame()
{
  DispatchMessage dispatch;
  dispatch.requestId_ = "r1";
  dispatch.attemptId_ = "r1.1";
  dispatch.headers_ = { { "Accept", "text/plain" } };
  dispatch.body_ = "lot 7";
  return EncodeFrame(dispatch);
}

}

Test(Codec, DecodesEncodedMessage)
{
  const std::string frame = SampleFrame();
  const Result<WireMessage> message = DecodeFrame(frame);
  cr_assert(Succeeded(message));
  const auto& dispatch =
    std::get<DispatchMessage>(std::get<WireMessage>(message));
  cr_assert(dispatch.attemptId_ == "r1.1");
  cr_assert(dispatch.headers_.size() == 1);
  cr_assert(dispatch.body_ == "lot 7");
}

// Guards against crashes and allocations beyond the frame's size when a peer or
// a faulty switch flips one bit of a frame, or when a frame is truncated.
// Decoding must return a message or a Failure.
Test(Codec, HandlesEveryFlippedBitAndEveryTruncation)
{
  const std::string frame = SampleFrame();
  for (std::size_t bit = 0; bit < frame.size() * 8; ++bit) {
    std::string flipped = frame;
    flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
    static_cast<void>(DecodeFrame(flipped));
  }
  for (std::size_t size = 0; size < frame.size(); ++size) {
    cr_assert(!Succeeded(DecodeFrame(std::string_view(frame).substr(0, size))));
  }
}

// Guards against an entry that crashes on an empty datagram: its length reads
// as 0, which equals its size, so it was accepted as complete and the decoder
// read a huge length beyond its end. Found by the fuzz target "frame".
Test(Codec, RejectsEmptyDatagram)
{
  cr_assert(!Succeeded(DecodeFrame(std::string_view())));
}

// Guards against a message of nine bytes that states a string of 2^60 bytes:
// the library would allocate that memory before checking for the bytes.
Test(Codec, RejectsLengthBeyondFrame)
{
  std::string frame = EncodeFrame(CancelMessage{ "abc" });
  const std::size_t lengthAt = kFrameHeaderBytes + 1;
  frame[lengthAt + 7] = 0x10;
  const Result<WireMessage> message = DecodeFrame(frame);
  cr_assert(!Succeeded(message));
}

Test(Codec, RejectsOtherProtocolVersion)
{
  std::string frame = SampleFrame();
  frame[4] = 9;
  cr_assert(!Succeeded(FrameLength(frame)));
}

Test(FrameReader, SplitsFramesReceivedByteByByte)
{
  const std::string bytes = SampleFrame() + SampleFrame();
  FrameReader reader;
  std::size_t messages = 0;
  for (const char byte : bytes) {
    const auto taken = reader.Take({ &byte, 1 });
    cr_assert(Succeeded(taken));
    messages += std::get<std::vector<WireMessage>>(taken).size();
  }
  cr_assert(messages == 2);
}
