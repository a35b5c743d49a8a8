#pragma once

#include "Version/Instant.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace cactusrail {

/** Pace of a run without a limit, in percent of its full speed. */
constexpr std::uint32_t kUncappedPace = 100;

/** Reading of the serving tasks of one worker. */
struct PressureReading
{
  Instant at_;
  /** Highest ratio of tail latency to objective; 0 if no task serves. */
  double pressure_ = 0;
  /** Highest pace in force among the backfill runs. */
  std::uint32_t highestPace_ = kUncappedPace;
};

/**
 * Decides whether a side caps the pace of the backfill on its worker, and to
 * which value. Pure: reads no clock and does no I/O.
 *
 * The cap is in force while the leader is absent or unresponsive. It remains
 * in force until the leader has answered, in time, a report that shows the
 * paces in force: before that the leader can't know what its worker does, and
 * its orders may be seconds old.
 */
class LocalPacing
{
public:
  // Facts.
  void OnReading(const PressureReading& aReading);
  void OnLinked();
  void OnLinkLost() { linked_ = false; }
  /** aShowsPaces: the report shows all paces of backfill as they are meant to
   * be, with none still to be applied. */
  void OnReportSent(Instant aNow, bool aShowsPaces);
  /** Handles orders that answer the report sent at aEcho. */
  void OnOrders(Instant aEcho, Instant aNow);
  /** Handles the passage of time: the cap comes into force if the leader has
   * become unresponsive. */
  void OnTime(Instant aNow);

  // Decisions.
  bool InForce() const { return inForce_; }
  /** Returns the highest pace of backfill; kUncappedPace for no cap. */
  std::uint32_t Cap() const { return cap_; }
  /** Number of times that the cap was lowered. */
  std::uint64_t Reductions() const { return reductions_; }

private:
  bool IsUnresponsive(Instant aNow) const;
  void Lower(const PressureReading& aReading);
  void Raise(Instant aNow);

  bool linked_ = false;
  bool inForce_ = false;
  std::optional<Instant> lastOrdersAt_;
  /** Times of the reports without an answer. While the cap is in force, only
   * those that show the paces in force and are not too old to be answered in
   * time. */
  std::deque<Instant> unanswered_;
  std::uint32_t cap_ = kUncappedPace;
  std::uint64_t reductions_ = 0;
  std::optional<Instant> changedAt_;
  std::optional<Instant> readAt_;
  /** Start of the current period with a pressure above 1. */
  std::optional<Instant> overloadedSince_;
  /** Start of the current period with a pressure below kRecoveredPressure. */
  std::optional<Instant> recoveredSince_;
};

}
