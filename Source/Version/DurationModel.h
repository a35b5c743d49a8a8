#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cactusrail {

/**
 * Predicts the duration of a step's tasks from the measured durations and the
 * callers' estimates of earlier tasks of the same queue. Owned by the
 * scheduler. Does no I/O and reads no clock.
 *
 * Callers' estimates vary more than the durations of their steps. The logarithm
 * of the duration is therefore modelled as a linear function of the logarithm
 * of the estimate. Its slope is learned: 1 if estimates are accurate, 0 if they
 * are unrelated to the duration.
 */
class DurationModel
{
public:
  /**
   * Adds the duration of one task, converted to full speed. With a weight of 1
   * divided by the task count of the step, all tasks of a step together weigh
   * as much as one: they share one estimate and its error.
   */
  void OnTook(std::string_view aQueue,
              std::int64_t aEstimateMs,
              double aTookMs,
              double aWeight);

  /** Returns the predicted duration in ms; 0 if the caller gave no estimate. */
  double ExpectedMillis(std::string_view aQueue,
                        std::int64_t aEstimateMs) const;

private:
  /** Weighted linear regression over logarithms, with sums around the means. */
  struct Line
  {
    double weight_ = 0;
    double meanEstimate_ = 0;
    double meanTook_ = 0;
    double squares_ = 0;
    double products_ = 0;

    void Add(double aEstimate, double aTook, double aWeight);
    double At(double aEstimate) const;
  };

  std::map<std::string, Line, std::less<>> lines_;
};

}
