#pragma once

namespace cactusrail {

class CommandTable;

/** Adds the command top, which shows an entry's metrics in a terminal. */
void
AddTopCommand(CommandTable& aTable);

}
