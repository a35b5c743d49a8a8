#include "Process/FleetSettings.h"

#include <array>
#include <charconv>
#include <optional>
#include <vector>

namespace cactusrail {

namespace {

constexpr std::int64_t kHourMs = 3600000;

/** Makes a setting of the section [features]. */
constexpr SettingSpec
FeatureSetting(std::string_view aName, std::string_view aHelp)
{
  return { aName, SettingKind::Choice, "off", 0, 0, aHelp, {}, "off,on,auto" };
}

constexpr std::array<SettingSpec, 7> kCommon{ {
  RequiredSetting("fleet.name", SettingKind::Text, "this process's name"),
  RequiredSetting("fleet.data-centre",
                  SettingKind::Text,
                  "the name of its data centre"),
  RequiredSetting("fleet.links",
                  SettingKind::Address,
                  "IP:PORT that links of our own processes arrive at"),
  RequiredSetting("fleet.metrics",
                  SettingKind::Address,
                  "IP:PORT that serves the metrics page"),
  RequiredSetting("platform.store",
                  SettingKind::Address,
                  "IP:PORT of the platform's table service"),
  NumberSetting("bounds.stop-s",
                "6",
                1,
                3600,
                "s",
                "time that a planned stop may take"),
  { "log.level",
    SettingKind::Choice,
    "info",
    0,
    0,
    "the least important lines that are written",
    {},
    "info,warning" },
} };

constexpr std::array<SettingSpec, 17> kEntry{ {
  RequiredSetting("fleet.callers",
                  SettingKind::Address,
                  "IP:PORT that callers' requests arrive at"),
  RequiredSetting("fleet.readiness",
                  SettingKind::Address,
                  "IP:PORT that the balancer asks"),
  { "host.processors",
    SettingKind::Text,
    "1",
    0,
    0,
    "processors of this host, or its share of one; the larger ones lead" },
  NumberSetting("bounds.keep-finished-s",
                "120",
                1,
                86400,
                "s",
                "time that a finished job is known"),
  NumberSetting("bounds.cancel-ms",
                "3000",
                1000,
                kHourMs,
                "ms",
                "from a cancellation's answer on, no task of its job starts "
                "later than this"),
  NumberSetting(
    "bounds.evacuate-ms",
    "5000",
    1000,
    kHourMs,
    "ms",
    "from the answer to the evacuation of a data centre on, no task "
    "starts there later than this"),
  NumberSetting("bounds.stop-timeout-ms",
                "1000",
                0,
                kHourMs,
                "ms",
                "time that a worker takes to stop a run"),
  NumberSetting("bounds.restore-ms",
                "250",
                0,
                kHourMs,
                "ms",
                "time that a run takes to resume from a checkpoint"),
  { "bounds.checkpoint-s",
    SettingKind::Text,
    "1",
    0,
    0,
    "seconds of work after which a run has a new checkpoint" },
  { "bounds.far-factor",
    SettingKind::Text,
    "1.5",
    0,
    0,
    "how many times as long a task takes away from its data" },
  { "host.link-mbps",
    SettingKind::Text,
    "0",
    0,
    0,
    "bandwidth of this host in Mbit/s; 0 if unknown; larger ones lead" },
  FeatureSetting("features.early-takeover",
                 "replace a lost leader before its lease expires"),
  FeatureSetting("features.admission",
                 "reject jobs that cannot be completed while their result is "
                 "useful"),
  FeatureSetting("features.store-breaker",
                 "reject requests at once while the table service is "
                 "unavailable"),
  FeatureSetting("features.overload-order",
                 "in an overload, place jobs first that can be completed in "
                 "time"),
  FeatureSetting("features.fair-shares",
                 "share scarce capacity among callers' data centres, queues "
                 "and job sizes"),
  FeatureSetting("features.local-pacing",
                 "sides throttle backfill beside overloaded serving tasks"),
} };

constexpr std::array<SettingSpec, 6> kSide{ {
  NumberSetting("bounds.stop-timeout-ms",
                "1000",
                0,
                kHourMs,
                "ms",
                "time that a worker takes to stop a run"),
  RequiredSetting("fleet.announcements",
                  SettingKind::Address,
                  "IP:PORT that the worker announces itself at"),
  RequiredSetting("fleet.worker",
                  SettingKind::Address,
                  "IP:PORT that the worker takes orders at"),
  NumberSetting("bounds.max-lease-ms",
                "10000",
                1000,
                kHourMs,
                "ms",
                "the longest lease that the worker grants"),
  FeatureSetting("features.early-takeover",
                 "replace a lost leader before its lease expires"),
  FeatureSetting("features.local-pacing",
                 "throttle backfill beside overloaded serving tasks"),
} };

template<std::size_t kCount>
std::vector<SettingSpec>
WithCommon(const std::array<SettingSpec, kCount>& aOwn)
{
  std::vector<SettingSpec> all(kCommon.begin(), kCommon.end());
  all.insert(all.end(), aOwn.begin(), aOwn.end());
  return all;
}

/** Returns std::nullopt unless the whole text is a number. */
std::optional<double>
ParseFraction(const std::string& aText)
{
  double number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

FeatureSwitch
ReadFeature(const SettingsFile& aFile, const char* aName)
{
  // SettingsFile has checked the text against the choices.
  return ParseFeatureSwitch(aFile.Text(aName)).value_or(FeatureSwitch::Off);
}

FleetSettings
ReadCommon(const SettingsFile& aFile)
{
  FleetSettings settings;
  settings.name_ = aFile.Text("fleet.name");
  settings.dataCentre_ = aFile.Text("fleet.data-centre");
  settings.links_ = aFile.Address("fleet.links");
  settings.metrics_ = aFile.Address("fleet.metrics");
  settings.store_ = aFile.Address("platform.store");
  settings.logLevel_ = aFile.Text("log.level");
  settings.stopBound_ = Millis(1000 * aFile.Number("bounds.stop-s"));
  return settings;
}

}

std::span<const SettingSpec>
FleetEntrySettings::Specs()
{
  static const std::vector<SettingSpec> kAll = WithCommon(kEntry);
  return kAll;
}

Result<FleetEntrySettings>
FleetEntrySettings::Load(const std::string& aPath)
{
  const Result<SettingsFile> loaded = SettingsFile::Load(aPath, Specs());
  if (const auto* failure = std::get_if<Failure>(&loaded)) {
    return *failure;
  }
  const auto& file = std::get<SettingsFile>(loaded);
  FleetEntrySettings settings;
  settings.fleet_ = ReadCommon(file);
  settings.callers_ = file.Address("fleet.callers");
  settings.readiness_ = file.Address("fleet.readiness");
  FleetBounds& bounds = settings.bounds_;
  bounds.keepFinished_ = Millis(1000 * file.Number("bounds.keep-finished-s"));
  bounds.cancelBound_ = Millis(file.Number("bounds.cancel-ms"));
  bounds.evacuationBound_ = Millis(file.Number("bounds.evacuate-ms"));
  bounds.stopTime_ = Millis(file.Number("bounds.stop-timeout-ms"));
  bounds.restoreTime_ = Millis(file.Number("bounds.restore-ms"));
  const std::string& interval = file.Text("bounds.checkpoint-s");
  const double checkpointSeconds = ParseFraction(interval).value_or(0);
  if (checkpointSeconds <= 0) {
    return NotRun(FailureKind::BadInput,
                  aPath + ": [bounds] checkpoint-s: is \"" + interval +
                    "\"; expected a number above 0.");
  }
  bounds.checkpointInterval_ =
    Millis(static_cast<std::int64_t>(1000 * checkpointSeconds));
  const std::string& factor = file.Text("bounds.far-factor");
  bounds.farFactor_ = ParseFraction(factor).value_or(0);
  if (bounds.farFactor_ < 1) {
    return NotRun(FailureKind::BadInput,
                  aPath + ": [bounds] far-factor: is \"" + factor +
                    "\"; expected a number of at least 1.");
  }
  const std::string& processors = file.Text("host.processors");
  settings.processors_ = ParseFraction(processors).value_or(0);
  if (settings.processors_ <= 0) {
    return NotRun(FailureKind::BadInput,
                  aPath + ": [host] processors: is \"" + processors +
                    "\"; expected a number above 0.");
  }
  const std::string& bandwidth = file.Text("host.link-mbps");
  settings.linkMbps_ = ParseFraction(bandwidth).value_or(-1);
  if (settings.linkMbps_ < 0) {
    return NotRun(FailureKind::BadInput,
                  aPath + ": [host] link-mbps: is \"" + bandwidth +
                    "\"; expected a number of at least 0.");
  }
  FleetFeatures& features = bounds.features_;
  features.earlyTakeover_ = ReadFeature(file, "features.early-takeover");
  features.admission_ = ReadFeature(file, "features.admission");
  features.storeBreaker_ = ReadFeature(file, "features.store-breaker");
  features.overloadOrder_ = ReadFeature(file, "features.overload-order");
  features.fairShares_ = ReadFeature(file, "features.fair-shares");
  features.localPacing_ = ReadFeature(file, "features.local-pacing");
  return settings;
}

std::span<const SettingSpec>
FleetSideSettings::Specs()
{
  static const std::vector<SettingSpec> kAll = WithCommon(kSide);
  return kAll;
}

Result<FleetSideSettings>
FleetSideSettings::Load(const std::string& aPath)
{
  const Result<SettingsFile> loaded = SettingsFile::Load(aPath, Specs());
  if (const auto* failure = std::get_if<Failure>(&loaded)) {
    return *failure;
  }
  const auto& file = std::get<SettingsFile>(loaded);
  FleetSideSettings settings;
  settings.fleet_ = ReadCommon(file);
  settings.announcements_ = file.Address("fleet.announcements");
  settings.worker_ = file.Address("fleet.worker");
  settings.maxLease_ = Millis(file.Number("bounds.max-lease-ms"));
  settings.stopTimeout_ = Millis(file.Number("bounds.stop-timeout-ms"));
  settings.features_.earlyTakeover_ =
    ReadFeature(file, "features.early-takeover");
  settings.features_.localPacing_ = ReadFeature(file, "features.local-pacing");
  return settings;
}

}
