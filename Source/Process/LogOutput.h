#pragma once

#include <cstdint>
#include <string_view>

namespace cactusrail {

/**
 * Non-blocking writer of log lines to a descriptor. Owned by the process's log,
 * which calls it under a lock.
 *
 * If the reader of standard output stops, the pipe fills, and a blocking write
 * would stall the only thread. A line is therefore written only if the
 * descriptor accepts it whole without blocking. Otherwise the line is dropped
 * and counted, and the count is written as a line once the descriptor accepts
 * data again.
 */
class LogOutput
{
public:
  /** Does not take ownership of the descriptor. */
  explicit LogOutput(int aDescriptor);

  /** Writes a line given without its newline; returns whether it was written.
   */
  bool Write(std::string_view aLine);

  /** Number of lines dropped since the last "log-lines-dropped" line. */
  std::uint64_t Dropped() const { return dropped_; }

private:
  bool CanWriteWithoutBlocking() const;
  bool TryWriteLine(std::string_view aLine);

  int descriptor_;
  std::uint64_t dropped_ = 0;
};

}
