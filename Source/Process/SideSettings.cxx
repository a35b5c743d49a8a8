#include "Process/SideSettings.h"

#include <array>

namespace cactusrail {

namespace {

constexpr std::array<SettingSpec, 9> kSpecs{ {
  RequiredSetting("side.name", SettingKind::Text, "this side's unique name"),
  RequiredSetting("side.data-centre",
                  SettingKind::Text,
                  "the name of its data centre"),
  RequiredSetting("side.listen",
                  SettingKind::Address,
                  "IP:PORT that entries connect to"),
  RequiredSetting("side.announce",
                  SettingKind::Address,
                  "IP:PORT that the upstream announces itself at"),
  RequiredSetting("side.entries",
                  SettingKind::AddressList,
                  "IP:PORT,... of some entries' membership sockets"),
  NumberSetting("side.heartbeat-ms",
                "500",
                50,
                1000,
                "ms",
                "time between heartbeats"),
  NumberSetting("side.max-queued",
                "256",
                0,
                1024,
                "attempts",
                "attempts that may wait for a slot, if one would be free in "
                "time"),
  NumberSetting("side.stop-bound-ms",
                "30000",
                0,
                600000,
                "ms",
                "time that a planned stop may take"),
  SettingSpec{ "platform.table",
               SettingKind::AddressList,
               "",
               0,
               0,
               "IP:PORT of the platform's service, where steps for explain "
               "are kept; empty to keep them in memory alone" },
} };

}

std::span<const SettingSpec>
SideSettings::Specs()
{
  static const std::vector<SettingSpec> kAll =
    CommonSettings::JoinedWith(kSpecs);
  return kAll;
}

Result<SideSettings>
SideSettings::Load(const std::string& aPath)
{
  const Result<SettingsFile> loaded = SettingsFile::Load(aPath, Specs());
  if (const auto* failure = std::get_if<Failure>(&loaded)) {
    return *failure;
  }
  const auto& file = std::get<SettingsFile>(loaded);
  const Result<CommonSettings> common =
    CommonSettings::From(aPath, file, Specs());
  if (const auto* failure = std::get_if<Failure>(&common)) {
    return *failure;
  }
  SideSettings settings;
  settings.common_ = std::get<CommonSettings>(common);
  settings.name_ = file.Text("side.name");
  settings.dataCentre_ = file.Text("side.data-centre");
  settings.listen_ = file.Address("side.listen");
  settings.announce_ = file.Address("side.announce");
  settings.entries_ = file.AddressList("side.entries");
  settings.store_ = file.AddressList("platform.table");
  settings.heartbeatMs_ = file.Number("side.heartbeat-ms");
  settings.maxQueued_ = file.Number("side.max-queued");
  settings.stopBoundMs_ = file.Number("side.stop-bound-ms");
  return settings;
}

}
