#include "Version/DurationModel.h"

#include <criterion/criterion.h>

#include <cmath>
#include <random>

using namespace cactusrail;

namespace {

/** Batch steps as on a fleet of eleven workers: the typical duration is 2.4 s,
 * varying by a factor of 1.6, and the callers' estimates are wrong by a factor
 * of 2.5. */
constexpr double kMiddleMs = 2400;
constexpr double kSpread = 0.5;
constexpr double kEstimateOff = 0.9;

struct Step
{
  std::int64_t estimateMs_ = 0;
  double tookMs_ = 0;
};

class Caller
{
public:
  explicit Caller(double aEstimateOff)
    : estimateOff_(aEstimateOff)
  {
  }

  Step Next()
  {
    const double took =
      std::exp(std::log(kMiddleMs) + kSpread * normal_(generator_));
    const double estimate = took * std::exp(estimateOff_ * normal_(generator_));
    return { static_cast<std::int64_t>(estimate), took };
  }

private:
  double estimateOff_;
  std::mt19937 generator_{ 7 };
  std::normal_distribution<double> normal_;
};

/** Returns the root mean square of log(expected / actual duration). */
double
ErrorAfter(std::size_t aSteps, double aEstimateOff, bool aLearn)
{
  DurationModel model;
  Caller caller(aEstimateOff);
  for (std::size_t i = 0; i < aSteps; ++i) {
    const Step step = caller.Next();
    if (aLearn) {
      model.OnTook("batch", step.estimateMs_, step.tookMs_, 1);
    }
  }
  double squares = 0;
  constexpr int kJudged = 400;
  for (int i = 0; i < kJudged; ++i) {
    const Step step = caller.Next();
    const double error =
      std::log(model.ExpectedMillis("batch", step.estimateMs_) / step.tookMs_);
    squares += error * error;
  }
  return std::sqrt(squares / kJudged);
}

}

// Batch work is ordered by its latest start, and its objective grows with the
// expected duration. An estimate that is far too high, such as 27 s for a step
// of 2 s, makes the step appear to have the most time left, and it starts too
// late.
Test(DurationModel, LearnsHowLittleEstimatesSay)
{
  const double believed = ErrorAfter(30, kEstimateOff, false);
  const double learned = ErrorAfter(30, kEstimateOff, true);
  cr_assert_gt(believed, 0.8);
  cr_assert_lt(learned, 0.6);
}

// Accurate estimates must not be degraded by the model.
Test(DurationModel, KeepsEstimatesThatAreRight)
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
    model.OnTook("batch", estimate, 3.0 * static_cast<double>(estimate), 1);
  }
  const double expected = model.ExpectedMillis("batch", 1000);
  cr_assert_gt(expected, 2400);
  cr_assert_lt(expected, 3300);
}

// Without samples of its queue, an estimate is returned unchanged. Without an
// estimate, the result is 0.
Test(DurationModel, BelievesWhatItKnowsNothingOf)
{
  DurationModel model;
  model.OnTook("batch", 1000, 4000, 1);
  cr_assert_float_eq(model.ExpectedMillis("urgent", 700), 700, 0.1);
  cr_assert_float_eq(model.ExpectedMillis("batch", 0), 0, 0.1);
}
