#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cactusrail {

/** Whether a fleet uses an optional feature. */
enum class FeatureSwitch : std::uint8_t
{
  Off,
  On,
  /** On if the fleet's workers use WorkerProtocol::WithStartTime. Keeps the
   * behavior of a fleet unchanged until its workers are upgraded. */
  Auto,
};

/** Revision of the protocol between workers and sides. */
enum class WorkerProtocol : std::uint8_t
{
  /** A worker is identified by its id alone. */
  IdOnly = 1,
  /** A worker also announces its start time, and may restart under its id. */
  WithStartTime = 2,
};

constexpr bool
IsEnabled(FeatureSwitch aSwitch, WorkerProtocol aProtocol)
{
  return aSwitch == FeatureSwitch::On ||
         (aSwitch == FeatureSwitch::Auto &&
          aProtocol == WorkerProtocol::WithStartTime);
}

/** Parses "off", "on" or "auto"; none for any other text. */
constexpr std::optional<FeatureSwitch>
ParseFeatureSwitch(std::string_view aText)
{
  if (aText == "off") {
    return FeatureSwitch::Off;
  }
  if (aText == "on") {
    return FeatureSwitch::On;
  }
  return aText == "auto" ? std::optional(FeatureSwitch::Auto) : std::nullopt;
}

/** Optional features of the fleet, from the section [features] of the settings
 * files. */
struct FleetFeatures
{
  /** Entries replace a leader that is lost before its lease expires. */
  FeatureSwitch earlyTakeover_ = FeatureSwitch::Off;
  /** Jobs that cannot be completed while their result is useful are rejected.
   */
  FeatureSwitch admission_ = FeatureSwitch::Off;
  /** A circuit breaker rejects requests while the store is unavailable. */
  FeatureSwitch storeBreaker_ = FeatureSwitch::Off;
  /** Jobs that can be completed in time are placed first in an overload. */
  FeatureSwitch overloadOrder_ = FeatureSwitch::Off;
  /** Callers' data centres, queues and job sizes get fair shares. */
  FeatureSwitch fairShares_ = FeatureSwitch::Off;
  /** Sides throttle backfill beside overloaded serving tasks. */
  FeatureSwitch localPacing_ = FeatureSwitch::Off;
};

}
