#pragma once

#include "Policy.h"
#include "World.h"

#include <memory>
#include <string>
#include <vector>

namespace cactusrail::measure {

/** Returns the names that MakePolicy accepts, in the order of the table. */
const std::vector<std::string>&
PolicyNames();

std::unique_ptr<Policy>
MakePolicy(const std::string& aName,
           const Deployment& aDeployment,
           std::uint64_t aSeed,
           World& aWorld);

}
