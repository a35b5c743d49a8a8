#pragma once

#include <cstdint>
#include <string_view>

namespace cactusrail {

/**
 * Where log lines go: a descriptor that may stop taking them. Owned by the
 * process's log, which calls it under a lock.
 *
 * If the reader of standard output stops, the pipe fills, and a line that waits
 * for it blocks the only thread. So a line is written only if the descriptor
 * takes it whole now; else it is counted, and the count is written as a line
 * once there is room again.
 */
class LogOutput
{
public:
  /** The descriptor stays its owner's. */
  explicit LogOutput(int aDescriptor);

  /** A line without its end; true if it was written. */
  bool Write(std::string_view aLine);

  /** Lines dropped since the last one that said so. */
  std::uint64_t Dropped() const { return dropped_; }

private:
  bool TakesALine() const;
  bool WriteWhole(std::string_view aLine);

  int descriptor_;
  std::uint64_t dropped_ = 0;
};

}
