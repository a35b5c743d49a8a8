#pragma once

#include "Process/CommonSettings.h"
#include "Process/SettingsFile.h"

#include <string>
#include <vector>

namespace cactusrail {

/** Settings of a side process, read from its settings file. */
struct SideSettings
{
  std::string name_;
  std::string dataCentre_;
  /** Address that entries connect to. */
  SocketAddress listen_;
  /** Address for the upstream's announcements, on this host only. */
  SocketAddress announce_;
  /** Membership addresses of the initial entries. */
  std::vector<SocketAddress> entries_;
  /** Address of the platform's object store for the journal; at most one. */
  std::vector<SocketAddress> store_;
  std::int64_t heartbeatMs_ = 0;
  std::int64_t maxQueued_ = 0;
  std::int64_t stopBoundMs_ = 0;

  CommonSettings common_;

  static std::span<const SettingSpec> Specs();
  static Result<SideSettings> Load(const std::string& aPath);
};

}
