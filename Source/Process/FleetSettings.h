#pragma once

#include "Process/FleetScheduler.h"
#include "Process/SettingsFile.h"

#include <cstdint>
#include <span>
#include <string>

namespace cactusrail {

/** Settings that both roles of the fleet have in common. */
struct FleetSettings
{
  std::string name_;
  std::string dataCentre_;
  /** Address that accepts links of other processes of the fleet. */
  SocketAddress links_;
  /** Address that serves the metrics page. */
  SocketAddress metrics_;
  /** Address of the platform's table service. */
  SocketAddress store_;
  std::string logLevel_;
  /** Maximum duration of a planned stop. */
  Millis stopBound_{ 0 };
};

/** The settings of an entry of the fleet. */
struct FleetEntrySettings
{
  FleetSettings fleet_;
  /** Address that accepts requests of callers. */
  SocketAddress callers_;
  /** Address at which the load balancer queries readiness. */
  SocketAddress readiness_;
  FleetBounds bounds_;
  /** Number of processors of this host, or its share of one processor. */
  double processors_ = 1;
  /** Bandwidth of this host, in Mbit/s; 0 if it is not known. */
  double linkMbps_ = 0;

  static std::span<const SettingSpec> Specs();
  static Result<FleetEntrySettings> Load(const std::string& aPath);
};

/** The settings of a side of the fleet. */
struct FleetSideSettings
{
  FleetSettings fleet_;
  /** Address that accepts announcements of the worker on this host. */
  SocketAddress announcements_;
  /** Address at which that worker accepts calls. */
  SocketAddress worker_;
  /** Maximum lease that the worker grants. */
  Millis maxLease_{ 0 };
  /** Maximum time that a worker takes to stop a run. */
  Millis stopTimeout_{ 0 };
  FleetFeatures features_;

  static std::span<const SettingSpec> Specs();
  static Result<FleetSideSettings> Load(const std::string& aPath);
};

}
