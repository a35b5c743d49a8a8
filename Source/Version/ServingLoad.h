#pragma once

#include "Process/Instant.h"

namespace cactusrail {

/** A figure that is learned, and the variance of what is known of it. */
struct LearnedFigure
{
  double mean_ = 0;
  double variance_ = 0;
  Instant updatedAt_;

  /** One step of a scalar Kalman filter: takes this part of the error. */
  void Correct(double aError, double aGain, double aWeight)
  {
    mean_ += aGain * aError;
    variance_ *= 1 - aGain * aWeight;
  }
};

/**
 * The load that a job's own users put on each of its serving tasks, as a share
 * of what one task can carry. It moves within seconds, and alike for all tasks
 * of a job, as they share its users: so one that runs beside nothing tells the
 * load of one beside backfill. Owned by ContentionModel. Pure.
 */
class ServingLoad
{
public:
  explicit ServingLoad(Instant aNow);

  /** Time has passed since the last measurement: the load is less sure. */
  void Advance(Instant aNow);
  /** Takes its part of a measurement's error. */
  void Correct(double aError, double aGain);

  const LearnedFigure& Figure() const { return load_; }
  /** The most that it may be within this time from the last measurement. */
  double AtMost(Millis aAhead) const;

private:
  LearnedFigure load_;
  /** Highest load seen, slowly forgotten. */
  double peak_;
};

}
