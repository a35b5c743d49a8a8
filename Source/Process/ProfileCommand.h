#pragma once

namespace cactusrail {

class CommandTable;

/** Adds the command profile, which summarises the logs of a fleet. */
void
AddProfileCommand(CommandTable& aTable);

}
