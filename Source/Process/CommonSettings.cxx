#include "Process/CommonSettings.h"

#include <array>

namespace cactusrail {

namespace {

constexpr std::array<SettingSpec, 4> kSpecs{ {
  { "log.format",
    SettingKind::Choice,
    "line",
    0,
    0,
    "how a log line is written",
    {},
    "line,json" },
  { "log.level",
    SettingKind::Choice,
    "info",
    0,
    0,
    "the least important lines that are written",
    {},
    "info,warning" },
  { "security.keys",
    SettingKind::Keys,
    "",
    0,
    0,
    "shared keys ID:HEX,ID:HEX of at least 64 hex digits; the first one signs, "
    "all are accepted; empty on loopback only",
    {},
    {},
    true },
  { "security.collector-sha256",
    SettingKind::Sha256,
    "",
    0,
    0,
    "SHA-256 of the bearer key with which a collector may read /metrics; "
    "empty: none may",
    {},
    {},
    false },
} };

}

std::span<const SettingSpec>
CommonSettings::Specs()
{
  return kSpecs;
}

std::vector<SettingSpec>
CommonSettings::JoinedWith(std::span<const SettingSpec> aRoleSpecs)
{
  std::vector<SettingSpec> joined(aRoleSpecs.begin(), aRoleSpecs.end());
  joined.insert(joined.end(), kSpecs.begin(), kSpecs.end());
  return joined;
}

Result<CommonSettings>
CommonSettings::From(const std::string& aPath,
                     const SettingsFile& aFile,
                     std::span<const SettingSpec> aSpecs)
{
  CommonSettings settings;
  settings.logFormat_ = aFile.Text("log.format");
  settings.logLevel_ = aFile.Text("log.level");
  settings.keys_ =
    std::get<KeyRing>(KeyRing::Parse(aFile.Text("security.keys")));
  settings.collectorSha256_ = aFile.Text("security.collector-sha256");
  if (!settings.keys_.Empty()) {
    return settings;
  }
  for (const SocketAddress& address : aFile.AllAddresses(aSpecs)) {
    if (!address.IsLoopback()) {
      return NotRun(FailureKind::BadInput,
                    aPath + ": [security] keys: is empty although " +
                      address.Text() +
                      " can be reached from other hosts; expected at least "
                      "one shared key ID:HEX.");
    }
  }
  return settings;
}

}
