#pragma once

#include "Process/CommandTable.h"

namespace cactusrail {

/** Every verb of the program, those that run a role included. */
CommandTable
AllCommands();

}
