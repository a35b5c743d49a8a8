#pragma once

#include <string>

namespace cactusrail {

class CommandTable;

/** Generates the bash completion script from the command table. */
std::string
BashCompletion(const CommandTable& aTable);

}
