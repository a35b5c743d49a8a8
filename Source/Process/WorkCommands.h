#pragma once

#include <optional>
#include <span>
#include <string>

namespace cactusrail {

/** What the commands on work take; a part of the usage text. */
extern const char* const kWorkCommandsUsage;

/**
 * Runs an operator's command on work and returns the exit code; none if the
 * words are no such command.
 */
std::optional<int>
RunWorkCommand(std::span<const std::string> aWords);

}
