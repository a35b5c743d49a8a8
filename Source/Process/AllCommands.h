#pragma once

#include "Process/CommandTable.h"

namespace cactusrail {

/** Returns all commands of the program, including those that run a role. */
CommandTable
AllCommands();

}
