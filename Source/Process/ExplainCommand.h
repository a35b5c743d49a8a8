#pragma once

namespace cactusrail {

class CommandTable;

/** Adds the commands explain (the history of a request or task) and list
 * sides. */
void
AddExplainCommands(CommandTable& aTable);

}
