#pragma once

namespace cactusrail {

class CommandTable;

/** Adds config check, keys, get and set, create tenant and create service. */
void
AddConfigCommands(CommandTable& aTable);

}
