#pragma once

#include <string>

namespace cactusrail {

class CommandTable;

/** The completion script for bash, made from the table of commands. */
std::string
BashCompletion(const CommandTable& aTable);

}
