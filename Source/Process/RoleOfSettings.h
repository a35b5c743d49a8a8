#pragma once

#include "Request/Failure.h"

#include <string>

namespace cactusrail {

/**
 * Checks a settings file of any role; the role is the one whose section the
 * file has. Returns "entry" or "side".
 */
Result<std::string>
CheckSettings(const std::string& aPath);

}
