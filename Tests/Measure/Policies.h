#pragma once

#include "Policy.h"
#include "World.h"

#include <memory>
#include <string>
#include <vector>

namespace cactusrail::measure {

/** The names that MakePolicy knows, in the order of the table. */
const std::vector<std::string>&
PolicyNames();

std::unique_ptr<Policy>
MakePolicy(const std::string& aName,
           const Deployment& aDeployment,
           std::uint64_t aSeed,
           World& aWorld);

}
