#include "Version/DurationModel.h"

#include <criterion/criterion.h>

#include <cmath>
#include <random>

using namespace cactusrail;

namespace {

/** Batch steps as on a fleet of eleven workers: the typical duration is 2.4 s,
 * varying by a factor of 1.6, and the callers' estimates are wrong by a factor
 * of 2.5. */
constexpr double kMedianDurationMs = 2400;
constexpr double kDurationDeviation = 0.5;
constexpr double kEstimateDeviation = 0.9;

struct Step
{
  std::int64_t estimateMs_ = 0;
  double durationMs_ = 0;
};

class StepGenerator
{
public:
  explicit StepGenerator(double aEstimateDeviation)
    : estimateDeviation_(aEstimateDeviation)
  {
  }

  Step Next()
  {
    const double duration = std::exp(std::log(kMedianDurationMs) +
                                     kDurationDeviation * normal_(generator_));
    const double estimate =
      duration * std::exp(estimateDeviation_ * normal_(generator_));
    return { static_cast<std::int64_t>(estimate), duration };
  }

private:
  double estimateDeviation_;
  std::mt19937 generator_{ 7 };
  std::normal_distribution<double> normal_;
};

/** Returns the root mean square of log(expected / actual duration). */
double
ErrorAfter(std::size_t aSteps, double aEstimateDeviation, bool aLearn)
{
  DurationModel model;
  StepGenerator generator(aEstimateDeviation);
  for (std::size_t i = 0; i < aSteps; ++i) {
    const Step step = generator.Next();
    if (aLearn) {
      model.OnTaskDuration("batch", step.estimateMs_, step.durationMs_, 1);
    }
  }
  double squares = 0;
  constexpr int kEvaluatedSteps = 400;
  for (int i = 0; i < kEvaluatedSteps; ++i) {
    const Step step = generator.Next();
    const double error = std::log(
      model.ExpectedMillis("batch", step.estimateMs_) / step.durationMs_);
    squares += error * error;
  }
  return std::sqrt(squares / kEvaluatedSteps);
}

}

// Batch work is ordered by its latest start, and its objective grows with the
// expected duration. An estimate that is far too high, such as 27 s for a step
// of 2 s, makes the step appear to have the most time left, and it starts too
// late.
Test(DurationModel, CorrectsInaccurateEstimates)
{
  const double withoutLearning = ErrorAfter(30, kEstimateDeviation, false);
  const double learned = ErrorAfter(30, kEstimateDeviation, true);
  cr_assert_gt(withoutLearning, 0.8);
  cr_assert_lt(learned, 0.6);
}

// Accurate estimates must not be degraded by the model.
Test(DurationModel, KeepsAccurateEstimates)
{
  cr_assert_lt(ErrorAfter(30, 0.1, true), 0.15);
}

// All estimates of a queue are too low by a factor of three. Ten steps must
// suffice to correct them.
Test(DurationModel, LearnsACommonFactor)
{
  DurationModel model;
  for (int i = 0; i < 10; ++i) {
    const std::int64_t estimate = 500 + 100 * i;
    model.OnTaskDuration(
      "batch", estimate, 3.0 * static_cast<double>(estimate), 1);
  }
  const double expected = model.ExpectedMillis("batch", 1000);
  cr_assert_gt(expected, 2400);
  cr_assert_lt(expected, 3300);
}

// Without samples of its queue, an estimate is returned unchanged. Without an
// estimate, the result is 0.
Test(DurationModel, ReturnsEstimateWithoutSamples)
{
  DurationModel model;
  model.OnTaskDuration("batch", 1000, 4000, 1);
  cr_assert_float_eq(model.ExpectedMillis("urgent", 700), 700, 0.1);
  cr_assert_float_eq(model.ExpectedMillis("batch", 0), 0, 0.1);
}
