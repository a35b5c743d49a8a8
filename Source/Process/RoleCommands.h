#pragma once

namespace cactusrail {

class CommandTable;

/** Adds the commands entry and side, which run a role until it is stopped. */
void
AddRoleCommands(CommandTable& aTable);

}
