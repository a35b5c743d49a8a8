// Entry point for coverage-guided fuzzing: built with clang++ and
// -DCACTUSRAIL_FUZZ=ON. The environment variable FUZZ_TARGET names the target.

#include "FuzzTargets.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

// NOLINTNEXTLINE(readability-identifier-naming): name required by libFuzzer.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const char* name = std::getenv("FUZZ_TARGET");
  const std::string_view wanted = name == nullptr ? "frame" : name;
  const std::string_view input(reinterpret_cast<const char*>(aData), aSize);
  for (const auto& target : cactusrail::fuzz::Targets()) {
    if (target.name_ == wanted) {
      target.run_(input);
    }
  }
  return 0;
}
