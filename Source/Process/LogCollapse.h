#pragma once

#include "Version/Instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** Number of lines of one cause that were counted instead of written. */
struct CollapsedLines
{
  std::string cause_;
  std::uint64_t count_ = 0;
};

/**
 * Rate limiter that decides which log lines are written. Performs no I/O. The
 * first lines of each cause in a time window are written; further lines are
 * only counted, and Expire() returns the counts of windows that have ended. The
 * number of tracked causes is bounded.
 */
class LogCollapse
{
public:
  struct Limits
  {
    std::uint64_t linesPerWindow_ = 10;
    Millis window_{ 10000 };
    std::size_t maxCauses_ = 1000;
  };

  explicit LogCollapse(const Limits& aLimits);

  /** Counts a line of this cause; returns whether to write it. */
  bool Admit(std::string_view aCause, Instant aNow);

  /** Returns and removes the counts of windows that have ended. */
  std::vector<CollapsedLines> Expire(Instant aNow);

private:
  struct Window
  {
    Instant end_;
    std::uint64_t lines_ = 0;
  };

  Limits limits_;
  std::map<std::string, Window, std::less<>> windows_;
};

}
