#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace cactusrail {

/**
 * The clock of decisions: monotonic, of this process only. Decision modules
 * never read it; they are given an Instant, so that tests can drive them on a
 * virtual clock. Instants of two processes can't be compared.
 */
struct MonotonicClock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
  // NOLINTNEXTLINE(readability-identifier-naming): the standard names it so.
  static constexpr bool is_steady = true;
};

using Instant = MonotonicClock::time_point;
using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;

/**
 * Reads the monotonic clock; only the I/O layer calls it.
 *
 * CLOCK_BOOTTIME, not the standard's steady clock: that one stands still while
 * the host is suspended, so a lease would seem to last on waking although
 * everyone else saw it end.
 */
inline Instant
ReadMonotonicClock()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(
    std::chrono::duration_cast<Micros>(std::chrono::seconds(time.tv_sec) +
                                       std::chrono::nanoseconds(time.tv_nsec)));
}

/** Reads the clock that stands still while the host is suspended. */
inline Instant
ReadRunningClock()
{
  return Instant(std::chrono::duration_cast<Micros>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

/** Reads the wall clock, in microseconds since 1970, for people and logs. */
inline std::int64_t
ReadWallClock()
{
  return std::chrono::duration_cast<Micros>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** What is left until a deadline, in whole microseconds, never negative. */
inline std::uint64_t
MicrosUntil(Instant aDeadline, Instant aNow)
{
  return aDeadline <= aNow
           ? 0
           : static_cast<std::uint64_t>((aDeadline - aNow).count());
}

}
