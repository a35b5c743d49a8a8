#pragma once

#include <cstdint>
#include <string_view>

namespace cactusrail {

/**
 * Whether a request or a task ran. Every hop passes the verdict on; a hop that
 * can't determine it reports MayHaveRun, never DidNotRun.
 */
enum class Verdict : std::uint8_t
{
  DidNotRun = 0,
  Ran = 1,
  MayHaveRun = 2,
};

/** Text of a verdict for callers and operators, such as "did not run". */
std::string_view
VerdictText(Verdict aVerdict);

/**
 * Combines the verdicts of two attempts at a request. Ran takes precedence over
 * MayHaveRun, and MayHaveRun over DidNotRun: the request did not run only if
 * neither attempt ran.
 */
Verdict
CombineVerdicts(Verdict aFirst, Verdict aSecond);

}
