#pragma once

#include "Connection/KeyRing.h"
#include "Process/SettingsFile.h"

#include <span>
#include <string>
#include <vector>

namespace cactusrail {

/** Settings that all roles have in common: log and keys. */
struct CommonSettings
{
  /** "line" or "json". */
  std::string logFormat_ = "line";
  /** "info" or "warning". */
  std::string logLevel_ = "info";
  /** If empty, the process accepts unauthenticated requests; allowed only if
   * all addresses are loopback addresses. */
  KeyRing keys_;
  /** SHA-256 of the bearer key with which a collector reads /metrics. */
  std::string collectorSha256_;

  static std::span<const SettingSpec> Specs();

  /** Returns a role's own specs followed by the common ones. */
  static std::vector<SettingSpec> JoinedWith(
    std::span<const SettingSpec> aRoleSpecs);

  /**
   * Reads the settings from a validated file. Fails if there is no key although
   * an address in the file is reachable from other hosts.
   */
  static Result<CommonSettings> From(const std::string& aPath,
                                     const SettingsFile& aFile,
                                     std::span<const SettingSpec> aSpecs);
};

}
