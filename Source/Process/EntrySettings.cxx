#include "Process/EntrySettings.h"

#include <array>

namespace cactusrail {

namespace {

constexpr std::array<SettingSpec, 11> kSpecs{ {
  { "entry.name", SettingKind::Text, {}, 0, 0, "this entry's unique name" },
  { "entry.data-centre",
    SettingKind::Text,
    {},
    0,
    0,
    "the data centre's name" },
  { "entry.listen",
    SettingKind::Address,
    {},
    0,
    0,
    "IP:PORT that callers' requests arrive at" },
  { "entry.operators",
    SettingKind::Address,
    {},
    0,
    0,
    "IP:PORT that operators and other entries ask" },
  { "entry.membership",
    SettingKind::Address,
    {},
    0,
    0,
    "IP:PORT that sides' heartbeats arrive at" },
  { "platform.table",
    SettingKind::Address,
    {},
    0,
    0,
    "IP:PORT of the platform's table service" },
  { "entry.lanes",
    SettingKind::Number,
    "2",
    1,
    64,
    "threads that serve callers" },
  { "entry.stop-bound-ms",
    SettingKind::Number,
    "30000",
    0,
    600000,
    "milliseconds that a planned stop may take" },
  { "entry.journal-requests",
    SettingKind::Number,
    "100000",
    100,
    10000000,
    "requests whose steps are remembered" },
  { "entry.max-body-bytes",
    SettingKind::Number,
    "1048576",
    0,
    6291456,
    "bytes of a request's body" },
  { "entry.receive-timeout-ms",
    SettingKind::Number,
    "10000",
    100,
    600000,
    "milliseconds for a request to arrive whole" },
} };

}

std::span<const SettingSpec>
EntrySettings::Specs()
{
  return kSpecs;
}

Result<EntrySettings>
EntrySettings::Load(const std::string& aPath)
{
  const Result<SettingsFile> loaded = SettingsFile::Load(aPath, kSpecs);
  if (const auto* failure = std::get_if<Failure>(&loaded)) {
    return *failure;
  }
  const auto& file = std::get<SettingsFile>(loaded);
  EntrySettings settings;
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
