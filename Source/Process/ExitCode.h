#pragma once

#include "Request/Failure.h"

#include <cstdint>

namespace cactusrail {

/** Exit codes of the program. The numbers are part of the interface for
 * scripts.
 */
enum class ExitCode : std::uint8_t
{
  Done = 0,
  Other = 1,
  /** Invalid command line, settings file or configuration. */
  Usage = 2,
  NotFound = 3,
  Conflict = 4,
  /** Not allowed, overloaded, or not confirmed. */
  Refused = 5,
  /** No entry, or the table service behind it, could not be reached. */
  Unreachable = 6,
};

/** Returns the exit code for an entry's HTTP status; Done for 2xx. */
ExitCode
ExitCodeOfStatus(int aStatus);

/** Returns the exit code for a failure of this process. */
ExitCode
ExitCodeOfFailure(const Failure& aFailure);

}
