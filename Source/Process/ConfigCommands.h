#pragma once

namespace cactusrail {

class CommandTable;

/** Adds the commands config check, config keys, config get, config set, create
 * tenant and create service. */
void
AddConfigCommands(CommandTable& aTable);

}
