#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cactusrail {

/**
 * Selects the tenant whose batch work is placed next: the one with the lowest
 * ratio of allocated processors to its share, among those below their quota.
 * Only current allocations count, not past usage, so a tenant that was idle
 * accumulates no credit with which it could displace the others. Does no I/O
 * and reads no clock.
 */
class FairShare
{
public:
  /** The next task of one tenant. */
  struct Waiting
  {
    std::string_view tenant_;
    std::int64_t milliCpus_ = 0;
  };

  /** Sets the share and the quota of a tenant; aQuotaMilliCpus of 0 means no
   * quota. */
  void SetTenant(std::string_view aTenant,
                 std::uint32_t aShare,
                 std::int64_t aQuotaMilliCpus);
  void OnPlaced(std::string_view aTenant, std::int64_t aMilliCpus);
  void OnEnded(std::string_view aTenant, std::int64_t aMilliCpus);

  /** Returns the index of the task to place next. aWaiting holds one task per
   * tenant. */
  std::optional<std::size_t> Next(std::span<const Waiting> aWaiting) const;
  /** Returns whether an additional allocation stays within the tenant's quota.
   */
  bool IsWithinQuota(std::string_view aTenant, std::int64_t aMilliCpus) const;
  /** Returns the ratio of a tenant's allocation to its share. */
  double AllocatedPerShare(std::string_view aTenant) const;

private:
  struct Tenant
  {
    double share_ = 1;
    std::int64_t quotaMilliCpus_ = 0;
    std::int64_t allocatedMilliCpus_ = 0;
  };
  struct NameHash
  {
    // NOLINTNEXTLINE(readability-identifier-naming): required by the standard.
    using is_transparent = void;
    std::size_t operator()(std::string_view aName) const
    {
      return std::hash<std::string_view>()(aName);
    }
  };

  Tenant& TenantNamed(std::string_view aTenant);

  std::unordered_map<std::string, Tenant, NameHash, std::equal_to<>> tenants_;
};

}
