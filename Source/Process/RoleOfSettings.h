#pragma once

#include "Request/Failure.h"

#include <string>

namespace cactusrail {

/**
 * Validates a settings file of any role; the sections of the file determine the
 * role. Returns "entry" or "side".
 */
Result<std::string>
CheckSettings(const std::string& aPath);

}
