#pragma once

namespace cactusrail {

class CommandTable;

/** Adds explain (what became of one request) and sides. */
void
AddExplainCommands(CommandTable& aTable);

}
