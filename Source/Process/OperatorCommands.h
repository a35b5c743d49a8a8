#pragma once

#include <span>

namespace cactusrail {

/**
 * Runs one operator's verb against an entry and returns the exit code. Needs a
 * QCoreApplication. aArguments begins with the verb.
 */
int
RunOperatorCommand(std::span<char*> aArguments);

}
