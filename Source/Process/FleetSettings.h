#pragma once

#include "Process/FleetScheduler.h"
#include "Process/SettingsFile.h"

#include <cstdint>
#include <span>
#include <string>

namespace cactusrail {

/** What both roles of the fleet are told by their settings file. */
struct FleetSettings
{
  std::string name_;
  std::string dataCentre_;
  /** Where links of our own processes arrive. */
  SocketAddress links_;
  /** Where the metrics page is served. */
  SocketAddress metrics_;
  /** The platform's table service. */
  SocketAddress store_;
  std::string logLevel_;
  /** A planned stop must be over by then. */
  Millis stopBound_{ 0 };
};

/** The settings of an entry of the fleet. */
struct FleetEntrySettings
{
  FleetSettings fleet_;
  /** Where callers' requests arrive. */
  SocketAddress callers_;
  /** Where the balancer asks whether callers may come. */
  SocketAddress readiness_;
  FleetBounds bounds_;
  /** Processors of this host, or the share of one that it has. */
  double processors_ = 1;

  static std::span<const SettingSpec> Specs();
  static Result<FleetEntrySettings> Load(const std::string& aPath);
};

/** The settings of a side of the fleet. */
struct FleetSideSettings
{
  FleetSettings fleet_;
  /** Where the worker on this host announces itself. */
  SocketAddress announcements_;
  /** Where that worker takes orders. */
  SocketAddress worker_;
  /** The longest lease that the worker grants. */
  Millis maxLease_{ 0 };
  /** A worker stops a run within this. */
  Millis stopTimeout_{ 0 };

  static std::span<const SettingSpec> Specs();
  static Result<FleetSideSettings> Load(const std::string& aPath);
};

}
