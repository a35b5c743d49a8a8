#pragma once

#include <cstdint>
#include <string_view>

namespace cactusrail {

/**
 * Whether a request or a task may have run. Every hop passes it on; a hop that
 * is in doubt says MayHaveRun, never DidNotRun.
 */
enum class Verdict : std::uint8_t
{
  DidNotRun = 0,
  Ran = 1,
  MayHaveRun = 2,
};

/** The words that callers and operators read: "did not run" and so on. */
std::string_view
VerdictText(Verdict aVerdict);

/**
 * The verdict of a request after two attempts at it. Ran wins over doubt, and
 * doubt wins over DidNotRun: only if no attempt can have run, none did.
 */
Verdict
CombineVerdicts(Verdict aFirst, Verdict aSecond);

}
