#include "Process/LogOutput.h"

#include "Process/Metrics.h"

#include <climits>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace cactusrail {

namespace {

/** A pipe that polls as writable accepts this many bytes without blocking. Log
 * lines are shorter, since they contain no bodies. */
constexpr std::size_t kMaxLineBytes = PIPE_BUF - 1;

}

LogOutput::LogOutput(int aDescriptor)
  : descriptor_(aDescriptor)
{
}

bool
LogOutput::CanWriteWithoutBlocking() const
{
  pollfd state{ descriptor_, POLLOUT, 0 };
  return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

bool
LogOutput::TryWriteLine(std::string_view aLine)
{
  if (aLine.size() > kMaxLineBytes || !CanWriteWithoutBlocking()) {
    return false;
  }
  std::string line(aLine);
  line += '\n';
  return ::write(descriptor_, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

bool
LogOutput::Write(std::string_view aLine)
{
  if (dropped_ > 0) {
    const std::string count = "{\"event\":\"log-lines-dropped\",\"lines\":\"" +
                              std::to_string(dropped_) + "\"}";
    if (TryWriteLine(count)) {
      dropped_ = 0;
    }
  }
  if (dropped_ == 0 && TryWriteLine(aLine)) {
    return true;
  }
  ++dropped_;
  Metrics::OfProcess().Count(Counter::LogLinesDropped);
  return false;
}

}
