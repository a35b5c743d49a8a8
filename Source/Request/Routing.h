#pragma once

#include "Version/Instant.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>

namespace cactusrail {

/** Slot usage of a runner, as reported by its heartbeat. */
struct RunnerReport
{
  std::uint32_t slots_ = 0;
  std::uint32_t busy_ = 0;
  std::uint32_t queued_ = 0;
  /** Time of the measurement, as estimated by the receiver. */
  Instant measuredAt_;
};

/**
 * Chooses the runner for an urgent request. Performs no I/O: the caller passes
 * the time and a random number. One router serves one service in one lane of an
 * entry; it counts its own attempts exactly and gets the load of others only
 * from delayed reports.
 *
 * Each choice compares a few randomly sampled runners. Comparing all of them
 * would make every entry choose the same runner until the next report.
 */
class Router
{
public:
  struct Rules
  {
    /** Number of runners that are sampled and compared in one choice. */
    std::size_t sampleSize_ = 4;
    /** Round-trip cost of a runner in another data centre. */
    Micros crossDataCentreCost_{ 2000 };
    /** Assumed mean latency of the fleet before the first answer. */
    Micros expectedLatency_{ 20000 };
  };

  /** Index of a runner, returned by Add and valid until Remove. */
  using Runner = std::uint32_t;

  explicit Router(const Rules& aRules);
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  ~Router();

  Runner Add(bool aSameDataCentre, std::uint32_t aSlots);
  void Remove(Runner aRunner);

  void OnReport(Runner aRunner, const RunnerReport& aReport, Instant aNow);

  /**
   * Returns no runner if every runner is excluded or ejected. With a random
   * number of 0 ties go to the lowest index, for replayed sessions.
   */
  std::optional<Runner> Choose(std::span<const Runner> aExcluded,
                               std::uint64_t aRandom,
                               Instant aNow) const;

  /** An attempt is sent; exactly one of the three calls below must end it. */
  void OnSent(Runner aRunner, Instant aNow);
  void OnAnswer(Runner aRunner, Micros aLatency, Instant aNow);
  /** The attempt failed or the runner refused it. */
  void OnFailure(Runner aRunner, Instant aNow);
  /** The attempt was cancelled; the statistics of the runner don't change. */
  void OnCancelled(Runner aRunner, Instant aNow);

  /** Estimated number of slots in use, for tests and the operators' view. */
  double EstimatedLoad(Runner aRunner, Instant aNow) const;

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
