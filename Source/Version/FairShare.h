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
 * Which tenant's batch work is placed next: the one that holds the least
 * processors beside its share, among those below their quota. Holds what is
 * placed, not what was ever run, so a tenant that was idle gets no arrears with
 * which to push the others out. Pure.
 */
class FairShare
{
public:
  struct Waiting
  {
    std::string_view tenant_;
    std::int64_t milliCpus_ = 0;
  };

  /** aQuotaMilliCpus of 0 means that the tenant has no quota. */
  void SetTenant(std::string_view aTenant,
                 std::uint32_t aShare,
                 std::int64_t aQuotaMilliCpus);
  void OnPlaced(std::string_view aTenant, std::int64_t aMilliCpus);
  void OnEnded(std::string_view aTenant, std::int64_t aMilliCpus);

  /** The index of the task to place next, one waiting task a tenant. */
  std::optional<std::size_t> Next(std::span<const Waiting> aWaiting) const;
  /** Whether the tenant's quota takes that much more. */
  bool IsWithinQuota(std::string_view aTenant, std::int64_t aMilliCpus) const;

private:
  struct Tenant
  {
    double share_ = 1;
    std::int64_t quota_ = 0;
    std::int64_t held_ = 0;
  };
  struct NameHash
  {
    // NOLINTNEXTLINE(readability-identifier-naming): the standard names it so.
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
