#pragma once

#include "Process/CommonSettings.h"
#include "Process/SettingsFile.h"

#include <string>
#include <vector>

namespace cactusrail {

/** Settings of an entry process, read from its settings file. */
struct EntrySettings
{
  std::string name_;
  std::string dataCentre_;
  /** Address for callers' HTTP requests. */
  SocketAddress listen_;
  /** Address for HTTP requests of operators and other entries. */
  SocketAddress operators_;
  /** Address for heartbeats of sides. */
  SocketAddress membership_;
  SocketAddress table_;
  std::int64_t lanes_ = 0;
  std::int64_t stopBoundMs_ = 0;
  std::int64_t journalRequests_ = 0;
  std::int64_t maxBodyBytes_ = 0;
  std::int64_t receiveTimeoutMs_ = 0;

  CommonSettings common_;

  /** Returns the entry's own specs followed by the common ones. */
  static std::span<const SettingSpec> Specs();
  static Result<EntrySettings> Load(const std::string& aPath);
};

}
