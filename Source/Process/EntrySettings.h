#pragma once

#include "Process/CommonSettings.h"
#include "Process/SettingsFile.h"

#include <string>
#include <vector>

namespace cactusrail {

/** What an entry process is told by its settings file. */
struct EntrySettings
{
  std::string name_;
  std::string dataCentre_;
  /** Where callers' HTTP requests arrive. */
  SocketAddress listen_;
  /** Where operators and other entries ask. */
  SocketAddress operators_;
  /** Where sides' heartbeats arrive. */
  SocketAddress membership_;
  SocketAddress table_;
  std::int64_t lanes_ = 0;
  std::int64_t stopBoundMs_ = 0;
  std::int64_t journalRequests_ = 0;
  std::int64_t maxBodyBytes_ = 0;
  std::int64_t receiveTimeoutMs_ = 0;

  CommonSettings common_;

  static std::span<const SettingSpec> Specs();
  static Result<EntrySettings> Load(const std::string& aPath);
};

}
