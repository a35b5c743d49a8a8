#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace cactusrail {

/**
 * Monotonic clock for decisions. Decision modules never read it: they receive
 * an Instant as an argument, so that tests can use a virtual clock. Instants of
 * different processes must not be compared.
 */
struct MonotonicClock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
  // The standard requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

using Instant = MonotonicClock::time_point;
using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;

/**
 * Reads the monotonic clock; only the I/O layer calls it.
 *
 * Uses CLOCK_BOOTTIME instead of std::chrono::steady_clock, which stops while
 * the host is suspended: after a resume, a lease would still appear valid here
 * although it has expired for all other processes.
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

/** Reads the clock that stops while the host is suspended. */
inline Instant
ReadSteadyClock()
{
  return Instant(std::chrono::duration_cast<Micros>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

/** Reads the wall clock, in microseconds since 1970, for output and logs. */
inline std::int64_t
ReadWallClock()
{
  return std::chrono::duration_cast<Micros>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** Returns the microseconds left until a deadline; 0 if it has passed. */
inline std::uint64_t
MicrosUntil(Instant aDeadline, Instant aNow)
{
  return aDeadline <= aNow
           ? 0
           : static_cast<std::uint64_t>((aDeadline - aNow).count());
}

}
