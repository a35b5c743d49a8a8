#include "Process/SideSettings.h"

#include <array>

namespace cactusrail {

namespace {

constexpr std::array<SettingSpec, 8> kSpecs{ {
  { "side.name", SettingKind::Text, {}, 0, 0, "this side's unique name" },
  { "side.data-centre", SettingKind::Text, {}, 0, 0, "the data centre's name" },
  { "side.listen",
    SettingKind::Address,
    {},
    0,
    0,
    "IP:PORT that entries connect to" },
  { "side.announce",
    SettingKind::Address,
    {},
    0,
    0,
    "IP:PORT that the upstream announces itself at" },
  { "side.entries",
    SettingKind::AddressList,
    {},
    0,
    0,
    "IP:PORT,... of some entries' membership sockets" },
  { "side.heartbeat-ms",
    SettingKind::Number,
    "500",
    50,
    1000,
    "milliseconds between heartbeats" },
  { "side.max-queued",
    SettingKind::Number,
    "16",
    0,
    1024,
    "attempts that may wait for a slot" },
  { "side.stop-bound-ms",
    SettingKind::Number,
    "30000",
    0,
    600000,
    "milliseconds that a planned stop may take" },
} };

}

std::span<const SettingSpec>
SideSettings::Specs()
{
  return kSpecs;
}

Result<SideSettings>
SideSettings::Load(const std::string& aPath)
{
  const Result<SettingsFile> loaded = SettingsFile::Load(aPath, kSpecs);
  if (const auto* failure = std::get_if<Failure>(&loaded)) {
    return *failure;
  }
  const auto& file = std::get<SettingsFile>(loaded);
  SideSettings settings;
  settings.name_ = file.Text("side.name");
  settings.dataCentre_ = file.Text("side.data-centre");
  settings.listen_ = file.Address("side.listen");
  settings.announce_ = file.Address("side.announce");
  settings.entries_ = file.AddressList("side.entries");
  settings.heartbeatMs_ = file.Number("side.heartbeat-ms");
  settings.maxQueued_ = file.Number("side.max-queued");
  settings.stopBoundMs_ = file.Number("side.stop-bound-ms");
  return settings;
}

}
