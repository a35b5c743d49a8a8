#pragma once

#include <cstdlib>
#include <utility>

namespace cactusrail {

/** Seeds of a test with random worlds. In a run by hand:
 * CACTUSRAIL_SEEDS=FIRST-LAST, with --verbose. */
inline std::pair<unsigned, unsigned>
SeedsOrUpTo(unsigned aLast)
{
  const char* given = std::getenv("CACTUSRAIL_SEEDS");
  if (given == nullptr) {
    return { 1, aLast };
  }
  char* end = nullptr;
  const auto first = static_cast<unsigned>(std::strtoul(given, &end, 10));
  const auto last = *end == '-'
                      ? static_cast<unsigned>(std::strtoul(end + 1, &end, 10))
                      : first;
  return { first, last };
}

}
