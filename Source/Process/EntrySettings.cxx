#include "Process/EntrySettings.h"

#include <array>

namespace cactusrail {

namespace {

constexpr std::array<SettingSpec, 11> kSpecs{ {
  RequiredSetting("entry.name", SettingKind::Text, "this entry's unique name"),
  RequiredSetting("entry.data-centre",
                  SettingKind::Text,
                  "the name of its data centre"),
  RequiredSetting("entry.listen",
                  SettingKind::Address,
                  "IP:PORT that callers' requests arrive at"),
  RequiredSetting("entry.operators",
                  SettingKind::Address,
                  "IP:PORT that operators and other entries ask"),
  RequiredSetting("entry.membership",
                  SettingKind::Address,
                  "IP:PORT that sides' heartbeats arrive at"),
  RequiredSetting("platform.table",
                  SettingKind::Address,
                  "IP:PORT of the platform's table service"),
  NumberSetting("entry.lanes",
                "2",
                1,
                64,
                "threads",
                "threads that serve callers"),
  NumberSetting("entry.stop-bound-ms",
                "30000",
                0,
                600000,
                "ms",
                "time that a planned stop may take"),
  NumberSetting("entry.journal-requests",
                "50000",
                100,
                10000000,
                "requests",
                "requests whose steps are remembered"),
  NumberSetting("entry.max-body-bytes",
                "1048576",
                0,
                6291456,
                "bytes",
                "bytes of a request's body"),
  NumberSetting("entry.receive-timeout-ms",
                "10000",
                100,
                600000,
                "ms",
                "time for a request to arrive whole"),
} };

}

std::span<const SettingSpec>
EntrySettings::Specs()
{
  static const std::vector<SettingSpec> kAll =
    CommonSettings::JoinedWith(kSpecs);
  return kAll;
}

Result<EntrySettings>
EntrySettings::Load(const std::string& aPath)
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
  EntrySettings settings;
  settings.common_ = std::get<CommonSettings>(common);
  settings.name_ = file.Text("entry.name");
  settings.dataCentre_ = file.Text("entry.data-centre");
  settings.listen_ = file.Address("entry.listen");
  settings.operators_ = file.Address("entry.operators");
  settings.membership_ = file.Address("entry.membership");
  settings.table_ = file.Address("platform.table");
  settings.lanes_ = file.Number("entry.lanes");
  settings.stopBoundMs_ = file.Number("entry.stop-bound-ms");
  settings.journalRequests_ = file.Number("entry.journal-requests");
  settings.maxBodyBytes_ = file.Number("entry.max-body-bytes");
  settings.receiveTimeoutMs_ = file.Number("entry.receive-timeout-ms");
  return settings;
}

}
