#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

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
  void OnTaskDuration(std::string_view aQueue,
                      std::int64_t aEstimateMs,
                      double aDurationMs,
                      double aWeight);

  /** Returns the predicted duration in ms; 0 if the caller gave no estimate. */
  double ExpectedMillis(std::string_view aQueue,
                        std::int64_t aEstimateMs) const;

  /** Learned relation of a queue: ln(duration) = intercept + slope *
   * ln(estimate), both in ms. */
  struct Relation
  {
    std::string queue_;
    double intercept_ = 0;
    double slope_ = 1;
  };
  std::vector<Relation> Relations() const;

private:
  /** Weighted linear regression over logarithms, with sums around the means. */
  struct LogRegression
  {
    double weight_ = 0;
    double meanEstimate_ = 0;
    double meanDuration_ = 0;
    double sumSquares_ = 0;
    double sumProducts_ = 0;

    void Add(double aEstimate, double aDuration, double aWeight);
    double Predict(double aEstimate) const;
  };

  std::map<std::string, LogRegression, std::less<>> regressions_;
};

}
