#pragma once

namespace cactusrail {

class CommandTable;

/** Adds the verbs on batch jobs, watchers and services on workers. */
void
AddWorkCommands(CommandTable& aTable);

}
