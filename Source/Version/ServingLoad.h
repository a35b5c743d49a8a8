#pragma once

#include "Version/Instant.h"

namespace cactusrail {

/** A learned value and the variance of its estimate. */
struct ScalarEstimate
{
  double mean_ = 0;
  double variance_ = 0;
  Instant updatedAt_;

  /** Performs one update of a scalar Kalman filter with the given gain. */
  void Correct(double aError, double aGain, double aWeight)
  {
    mean_ += aGain * aError;
    variance_ *= 1 - aGain * aWeight;
  }
};

/**
 * Estimates the load that a job's own requests put on each of its serving
 * tasks, as a share of the capacity of one task. The load changes within
 * seconds and equally for all tasks of a job, because requests are spread over
 * them. A task without neighbours therefore shows the load of a task next to
 * backfill. Owned by ContentionModel. Does no I/O and reads no clock.
 */
class ServingLoad
{
public:
  explicit ServingLoad(Instant aNow);

  /** Increases the variance and lowers the peak in proportion to the time since
   * the last measurement. */
  void Advance(Instant aNow);
  /** Corrects the load by the error of a measurement with the given gain. */
  void Correct(double aError, double aGain);

  /** Returns the load at the last measurement, with its variance. */
  const ScalarEstimate& Estimate() const { return load_; }
  /** Returns the upper limit of the load within this time from the last
   * measurement. */
  double MaxWithin(Millis aAhead) const;

private:
  ScalarEstimate load_;
  /** Highest load observed, decaying slowly. */
  double peak_;
};

}
