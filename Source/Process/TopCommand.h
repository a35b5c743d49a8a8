#pragma once

namespace cactusrail {

class CommandTable;

/** Adds top, which draws an entry's metrics in a terminal. */
void
AddTopCommand(CommandTable& aTable);

}
