#include "Process/LogOutput.h"

#include <criterion/criterion.h>

#include <array>
#include <string>
#include <unistd.h>

using namespace cactusrail;

namespace {

/** Pipe that is only read when the test calls for it. */
struct PipeBench
{
  PipeBench() { cr_assert_eq(::pipe(ends_.data()), 0); }
  ~PipeBench()
  {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }

  /** Reads the available data, up to a part of the pipe's capacity. */
  std::string Read()
  {
    std::array<char, 65536> text{};
    const ssize_t size = ::read(ends_[0], text.data(), text.size());
    return { text.data(),
             static_cast<std::size_t>(std::max<ssize_t>(0, size)) };
  }

  std::array<int, 2> ends_{};
};

}

// When the collector that reads standard output hung, the pipe filled, and a
// blocking write hung the only thread of a process that holds leases. A
// blocking write would also hang this test.
Test(LogOutput, StoppedReaderDoesNotBlock, .timeout = 20)
{
  PipeBench pipe;
  LogOutput output(pipe.ends_[1]);
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    output.Write(line);
  }
  cr_assert_gt(output.Dropped(), 0U);
}

// Once the reader continues, the number of dropped lines is logged before the
// next line, so that the gap is not mistaken for a period without events.
Test(LogOutput, DroppedLinesAreReported, .timeout = 20)
{
  PipeBench pipe;
  LogOutput output(pipe.ends_[1]);
  const std::string line(1000, 'x');
  for (int i = 0; i < 200; ++i) {
    output.Write(line);
  }
  const std::uint64_t dropped = output.Dropped();
  pipe.Read();
  cr_assert(output.Write("next"));
  cr_assert_eq(output.Dropped(), 0U);
  const std::string text = pipe.Read();
  const std::string expected = "{\"event\":\"log-lines-dropped\",\"lines\":\"" +
                               std::to_string(dropped) + "\"}\nnext\n";
  cr_assert(text.ends_with(expected));
}

// A line that a pipe might accept only in part is dropped and counted.
Test(LogOutput, LineTooLongForOneWriteIsDropped, .timeout = 20)
{
  PipeBench pipe;
  LogOutput output(pipe.ends_[1]);
  cr_assert_not(output.Write(std::string(100000, 'x')));
  cr_assert_eq(output.Dropped(), 1U);
}
