#include "Version/FairShare.h"

#include <algorithm>

namespace cactusrail {

FairShare::Tenant&
FairShare::TenantNamed(std::string_view aTenant)
{
  const auto found = tenants_.find(aTenant);
  if (found != tenants_.end()) {
    return found->second;
  }
  return tenants_[std::string(aTenant)];
}

void
FairShare::SetTenant(std::string_view aTenant,
                     std::uint32_t aShare,
                     std::int64_t aQuotaMilliCpus)
{
  Tenant& tenant = TenantNamed(aTenant);
  tenant.share_ = std::max<std::uint32_t>(1, aShare);
  tenant.quotaMilliCpus_ = aQuotaMilliCpus;
}

void
FairShare::OnPlaced(std::string_view aTenant, std::int64_t aMilliCpus)
{
  TenantNamed(aTenant).allocatedMilliCpus_ += aMilliCpus;
}

void
FairShare::OnEnded(std::string_view aTenant, std::int64_t aMilliCpus)
{
  Tenant& tenant = TenantNamed(aTenant);
  tenant.allocatedMilliCpus_ =
    std::max<std::int64_t>(0, tenant.allocatedMilliCpus_ - aMilliCpus);
}

bool
FairShare::IsWithinQuota(std::string_view aTenant,
                         std::int64_t aMilliCpus) const
{
  const auto found = tenants_.find(aTenant);
  if (found == tenants_.end() || found->second.quotaMilliCpus_ == 0) {
    return true;
  }
  return found->second.allocatedMilliCpus_ + aMilliCpus <=
         found->second.quotaMilliCpus_;
}

double
FairShare::AllocatedPerShare(std::string_view aTenant) const
{
  const auto found = tenants_.find(aTenant);
  return found == tenants_.end()
           ? 0
           : static_cast<double>(found->second.allocatedMilliCpus_) /
               found->second.share_;
}

std::optional<std::size_t>
FairShare::Next(std::span<const Waiting> aWaiting) const
{
  std::optional<std::size_t> best;
  double lowest = 0;
  for (std::size_t index = 0; index < aWaiting.size(); ++index) {
    const Waiting& waiting = aWaiting[index];
    if (!IsWithinQuota(waiting.tenant_, waiting.milliCpus_)) {
      continue;
    }
    const double held = AllocatedPerShare(waiting.tenant_);
    if (!best.has_value() || held < lowest) {
      best = index;
      lowest = held;
    }
  }
  return best;
}

}
