#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cactusrail {

/**
 * How long a step's tasks take, learned from what tasks of the same queue took
 * beside their callers' estimates. Owned by the scheduler. Pure.
 *
 * Callers' estimates differ more than what their steps really take. So the
 * logarithm of a duration is a line over the logarithm of the estimate, whose
 * slope is learned: 1 where estimates are right, 0 where they say nothing.
 */
class DurationModel
{
public:
  /**
   * A task with this estimate took so long at full speed. A weight of one over
   * the step's count makes its tasks count once together: they share their
   * estimate and its error.
   */
  void OnTook(std::string_view aQueue,
              std::int64_t aEstimateMs,
              double aTookMs,
              double aWeight);

  /** In ms; 0 if the caller gave no estimate. */
  double ExpectedMillis(std::string_view aQueue,
                        std::int64_t aEstimateMs) const;

private:
  /** Weighted sums of the logarithms, around their means. */
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
