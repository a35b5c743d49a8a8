#pragma once

#include "Version/Instant.h"

namespace cactusrail {

/**
 * Clock of the time for which the process was running: the monotonic clock less
 * the time in which the process was stalled. Heartbeat timeouts use this clock.
 *
 * After a stall (a busy or suspended host), messages received meanwhile are
 * still unread in the sockets, and all sides appear to send no heartbeat. On
 * this clock a stall counts as one tick of kMaxTick, whatever its length,
 * so a side times out only if its heartbeats are missing while the process is
 * able to receive them.
 *
 * Performs no I/O: OnTick reports each tick of the event loop. Owned by an
 * EntryCore.
 */
class AwakeClock
{
public:
  /** The loop ticks every 10 to 100 ms; a gap above this limit is a stall. */
  static constexpr Millis kMaxTick{ 300 };

  void OnTick(Instant aNow);

  /** Converts a monotonic time, which may precede the latest tick, to awake
   * time. The result is never later than aTime. */
  Instant At(Instant aTime) const;

private:
  Instant lastTick_;
  /** The latest stall: the last tick before it and the first tick after it. */
  Instant stalledAt_;
  Instant resumedAt_;
  /** Total stalled time that this clock excludes. */
  Micros excluded_{ 0 };
};

}
