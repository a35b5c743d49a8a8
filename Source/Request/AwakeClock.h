#pragma once

#include "Process/Instant.h"

namespace cactusrail {

/**
 * The time for which a process was awake: the monotonic clock, less what the
 * process stood still. By it the silence of others is judged.
 *
 * After a standstill of a process (a busy or suspended host) what others sent
 * meanwhile lies unread in its sockets, and all sides seem silent. By this
 * clock they are not, until they have been silent while the process could hear
 * them: a standstill counts as one long tick, however long it was.
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
