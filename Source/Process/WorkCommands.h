#pragma once

namespace cactusrail {

class CommandTable;

/**
 * Adds the commands for jobs: create job, list jobs, inspect job, and pause,
 * resume, drain, stop and cancel by selector.
 */
void
AddWorkCommands(CommandTable& aTable);

}
