#pragma once

#include "Connection/KeyRing.h"
#include "Process/SettingsFile.h"

#include <span>
#include <string>
#include <vector>

namespace cactusrail {

/** The settings that every role has: its log and its keys. */
struct CommonSettings
{
  /** "line" or "json". */
  std::string logFormat_ = "line";
  /** "info" or "warning". */
  std::string logLevel_ = "info";
  /** Empty: the process is open to whoever reaches it, on loopback only. */
  KeyRing keys_;
  /** The SHA-256 of the key with which a collector reads /metrics. */
  std::string collectorSha256_;

  static std::span<const SettingSpec> Specs();

  /** A role's own specs and these. */
  static std::vector<SettingSpec> JoinedWith(
    std::span<const SettingSpec> aRoleSpecs);

  /**
   * Reads them from a checked file. Fails if there is no key although an
   * address of the file can be reached from other hosts.
   */
  static Result<CommonSettings> From(const std::string& aPath,
                                     const SettingsFile& aFile,
                                     std::span<const SettingSpec> aSpecs);
};

}
