#pragma once

#include "Process/CommonSettings.h"
#include "Process/SettingsFile.h"

#include <string>
#include <vector>

namespace cactusrail {

/** What a side process is told by its settings file. */
struct SideSettings
{
  std::string name_;
  std::string dataCentre_;
  /** Where entries connect to. */
  SocketAddress listen_;
  /** Where the upstream announces itself; of this host only. */
  SocketAddress announce_;
  /** Membership addresses of entries to start with. */
  std::vector<SocketAddress> entries_;
  std::int64_t heartbeatMs_ = 0;
  std::int64_t maxQueued_ = 0;
  std::int64_t stopBoundMs_ = 0;

  CommonSettings common_;

  static std::span<const SettingSpec> Specs();
  static Result<SideSettings> Load(const std::string& aPath);
};

}
