#pragma once

#include "Request/Failure.h"

#include <cstdint>

namespace cactusrail {

/** What the program ends with, for scripts. Numbers are part of the interface.
 */
enum class ExitCode : std::uint8_t
{
  Done = 0,
  Other = 1,
  /** The command line, a settings file or a configuration is wrong. */
  Usage = 2,
  NotFound = 3,
  Conflict = 4,
  /** Not allowed, overloaded, or not confirmed. */
  Refused = 5,
  /** No entry, or not the table service behind it, could be reached. */
  Unreachable = 6,
};

/** The exit code for an entry's HTTP status; 2xx is Done. */
ExitCode
ExitCodeOfStatus(int aStatus);

/** The exit code for a failure of our own. */
ExitCode
ExitCodeOfFailure(const Failure& aFailure);

}
