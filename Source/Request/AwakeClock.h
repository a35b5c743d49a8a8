#pragma once

#include "Process/Instant.h"

namespace cactusrail {

/**
 * The time for which a process was awake: the monotonic clock, less what the
 * process stood still. By it the silence of others is judged.
 *
 * Failure guarded against: a process stands still for seconds (a busy host, a
 * moved one). What others sent meanwhile lies unread in its sockets, and what
 * is read first is often a caller's request: it was turned away, or a running
 * one given up, because all sides seemed silent. By this clock they are not,
 * until they have been silent while the process could hear them. That holds
 * because a standstill counts as one long tick, however long it was; a process
 * that is held up again and again still sees who is gone, a little later.
 *
 * Pure: told of each tick of the loop. Owned by an EntryCore.
 */
class AwakeClock
{
public:
  /** The loop ticks every 10 to 100 ms; a longer pause is a standstill. */
  static constexpr Millis kLongestTick{ 300 };

  void OnTick(Instant aNow);

  /** The awake time at a time, which may lie before the newest tick. Never
   * later than the time itself. */
  Instant At(Instant aTime) const;

private:
  Instant lastTick_;
  /** The newest standstill: its last tick before, and its first one after. */
  Instant stoodStillAt_;
  Instant wokeAt_;
  /** The time of all standstills that does not count. */
  Micros lost_{ 0 };
};

}
