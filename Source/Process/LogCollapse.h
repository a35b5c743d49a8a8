#pragma once

#include "Process/Instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** A cause whose lines were only counted. */
struct CollapsedLines
{
  std::string cause_;
  std::uint64_t count_ = 0;
};

/**
 * Decides which log lines are written. Pure. Of one cause the first lines of a
 * window are; later ones are counted, and the count comes out with the first
 * line after the window, or from Expire(). The number of causes is bounded.
 */
class LogCollapse
{
public:
  struct Limits
  {
    std::uint64_t linesAWindow_ = 10;
    Millis window_{ 10000 };
    std::size_t maxCauses_ = 1000;
  };

  explicit LogCollapse(const Limits& aLimits);

  /** Whether a line of this cause is written now. */
  bool Admit(std::string_view aCause, Instant aNow);

  /** The counts of windows that have ended; each comes out once. */
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
