#include "Version/Configuration.h"

#include "Version/JsonText.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cactusrail {

namespace {

constexpr std::size_t kSha256HexLength = 64;
constexpr std::size_t kMaxNameLength = 64;

Failure
Invalid(std::string aMessage)
{
  return NotRun(FailureKind::BadInput, std::move(aMessage));
}

bool
IsName(std::string_view aName)
{
  constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz"
                                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "0123456789-_.";
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         aName.find_first_not_of(kAllowed) == std::string_view::npos;
}

bool
IsWeight(double aWeight)
{
  return std::isfinite(aWeight) && aWeight >= 0.0;
}

/** Returns the first validation error; empty if the configuration is valid. */
std::string
FindValidationError(const Configuration& aConfiguration)
{
  std::set<std::string_view> tenants;
  for (const TenantConfig& tenant : aConfiguration.tenants_) {
    if (!IsName(tenant.name_) || !tenants.insert(tenant.name_).second) {
      return "The tenant name '" + tenant.name_ +
             "' is repeated or is not a name of letters, digits, '-', '_' "
             "and '.'.";
    }
    if (tenant.keySha256_.size() != kSha256HexLength) {
      return "The tenant '" + tenant.name_ +
             "' needs keySha256, the SHA-256 of its key as 64 hex digits.";
    }
    if (tenant.share_ == 0) {
      return "The tenant '" + tenant.name_ + "' needs a share of at least 1.";
    }
  }
  std::set<std::string_view> services;
  for (const ServiceConfig& service : aConfiguration.services_) {
    if (!IsName(service.name_) || !services.insert(service.name_).second) {
      return "The service name '" + service.name_ +
             "' is repeated or is not a name of letters, digits, '-', '_' "
             "and '.'.";
    }
    if (service.timeoutMs_ == 0) {
      return "The service '" + service.name_ +
             "' needs a timeoutMs of at least 1.";
    }
  }
  const PolicyWeights& weights = aConfiguration.weights_;
  if (!IsWeight(weights.tailLatency_) || !IsWeight(weights.batchThroughput_) ||
      !IsWeight(weights.evictions_)) {
    return "The policy weights must be finite numbers that are not negative.";
  }
  return {};
}

}

const ServiceConfig*
Configuration::FindService(std::string_view aName) const
{
  const auto found = std::find_if(
    services_.begin(), services_.end(), [aName](const ServiceConfig& aService) {
      return aService.name_ == aName;
    });
  return found == services_.end() ? nullptr : &*found;
}

const TenantConfig*
Configuration::FindTenantByKey(std::string_view aKeySha256) const
{
  const auto found = std::find_if(tenants_.begin(),
                                  tenants_.end(),
                                  [aKeySha256](const TenantConfig& aTenant) {
                                    return aTenant.keySha256_ == aKeySha256;
                                  });
  return found == tenants_.end() ? nullptr : &*found;
}

Result<Configuration>
ParseConfiguration(std::string_view aText)
{
  Result<Configuration> parsed = FromJson<Configuration>(aText);
  const auto* configuration = std::get_if<Configuration>(&parsed);
  if (configuration == nullptr) {
    return parsed;
  }
  std::string error = FindValidationError(*configuration);
  if (!error.empty()) {
    return Invalid(std::move(error));
  }
  return parsed;
}

std::string
ConfigurationText(const Configuration& aConfiguration)
{
  return ToJson(aConfiguration);
}

}
