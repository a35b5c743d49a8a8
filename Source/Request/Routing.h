#pragma once

#include "Process/Instant.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>

namespace cactusrail {

/** What a runner's heartbeat says about its slots. */
struct RunnerReport
{
  std::uint32_t slots_ = 0;
  std::uint32_t busy_ = 0;
  std::uint32_t queued_ = 0;
  /** When it was measured, as near as the receiver can tell. */
  Instant measuredAt_;
};

/**
 * Chooses the runner for an urgent request. Pure: the caller brings the time
 * and a random number. One router serves one service in one lane of an entry;
 * it knows its own sends exactly and those of others only by late reports.
 *
 * A choice compares a few runners drawn by the random number. Comparing all
 * would send every entry to the same runner until the next report.
 */
class Router
{
public:
  struct Rules
  {
    /** Runners compared in one choice. */
    std::size_t drawn_ = 4;
    /** Cost of another data centre, there and back. */
    Micros crossing_{ 2000 };
    /** What the fleet's mean latency is taken to be before any answer. */
    Micros expectedLatency_{ 20000 };
  };

  /** A runner's number, given by Add and valid until Remove. */
  using Runner = std::uint32_t;

  explicit Router(const Rules& aRules);
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  ~Router();

  Runner Add(bool aSameDataCentre, std::uint32_t aSlots);
  void Remove(Runner aRunner);

  void OnReport(Runner aRunner, const RunnerReport& aReport, Instant aNow);

  /**
   * None if every runner is excluded or set aside. With a random number of 0
   * ties go to the lowest runner, for sessions that are replayed.
   */
  std::optional<Runner> Choose(std::span<const Runner> aExcluded,
                               std::uint64_t aRandom,
                               Instant aNow) const;

  /** An attempt goes there; each is ended by exactly one of the three below. */
  void OnSent(Runner aRunner, Instant aNow);
  void OnAnswer(Runner aRunner, Micros aLatency, Instant aNow);
  /** The attempt failed or the runner refused it. */
  void OnFailure(Runner aRunner, Instant aNow);
  /** Nobody waits for the attempt any more; says nothing of the runner. */
  void OnCancelled(Runner aRunner, Instant aNow);

  /** Slots thought to be taken there now, for tests and the operators' view. */
  double EstimatedLoad(Runner aRunner, Instant aNow) const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
