#include "Version/ContentionModel.h"

#include <criterion/criterion.h>

#include <cmath>

using namespace cactusrail;

namespace {

/** Returns the latency of a queue at this utilisation, relative to its
 * objective. */
double
PressureAt(double aUtilisation)
{
  return 0.2 / (1 - aUtilisation);
}

Instant
At(std::int64_t aMillis)
{
  return Instant(Millis(aMillis));
}

/** A watcher with an oscillating load, measured with and without a batch task
 * next to it. */
struct ContentionBench
{
  ContentionBench()
    : watcher_(model_.Number("watcher"))
    , batch_(model_.Number("batch"))
  {
  }

  /** Reports, each half second, one task without neighbours and one next to a
   * batch task that takes aCost of its capacity. */
  void LearnAt(double aLoad, double aCost, int aReports)
  {
    const std::vector<Neighbour> beside{ { batch_, 1 } };
    for (int i = 0; i < aReports; ++i) {
      now_ += Millis(500);
      Report(aLoad, {});
      Report(aLoad + aCost, beside);
    }
  }

  /** Reports as LearnAt(), with an oscillating load. */
  void Learn(double aCost, int aReports)
  {
    for (int i = 0; i < aReports; ++i) {
      LearnAt(LoadAt(now_ + Millis(500)), aCost, 1);
    }
  }

  void Report(double aUtilisation, std::span<const Neighbour> aNeighbours)
  {
    const double pressure = PressureAt(aUtilisation);
    model_.OnReported(watcher_, pressure);
    model_.OnMeasured(watcher_, "job", pressure, aNeighbours, now_);
  }

  static double LoadAt(Instant aTime)
  {
    const double seconds =
      std::chrono::duration<double>(aTime.time_since_epoch()).count();
    return 0.4 + 0.2 * std::sin(seconds * 2 * M_PI / 14);
  }

  ContentionModel model_;
  ContentionModel::Image watcher_;
  ContentionModel::Image batch_;
  Instant now_ = At(100000);
};

}

// A batch task takes a fifth of a watcher's capacity, which hardly changes the
// latency at low load and doubles it at high load. A cost expressed as latency
// is wrong at both loads and alternates between harmless and harmful.
Test(ContentionModel, CostIsTheSameAtLowAndHighLoad)
{
  ContentionBench low;
  low.LearnAt(0.2, 0.2, 30);
  ContentionBench high;
  // Reports the same lowest pressure as the model at low load has.
  high.model_.OnReported(high.watcher_, PressureAt(0.2));
  high.LearnAt(0.6, 0.2, 30);
  const double atLow = low.model_.CostOf(low.watcher_, low.batch_).mean_;
  const double atHigh = high.model_.CostOf(high.watcher_, high.batch_).mean_;
  cr_assert_float_eq(atLow, atHigh, 0.06, "%f and %f", atLow, atHigh);
  cr_assert_gt(atLow, 0.1);
}

// The load of the watcher oscillates during learning, which must neither shift
// the cost nor keep its deviation high.
Test(ContentionModel, CostIsStableWhileTheLoadOscillates)
{
  ContentionBench bench;
  bench.Learn(0.2, 28);
  const ContentionCost first =
    bench.model_.CostOf(bench.watcher_, bench.batch_);
  bench.Learn(0.2, 14);
  const ContentionCost second =
    bench.model_.CostOf(bench.watcher_, bench.batch_);
  cr_assert_float_eq(second.mean_, first.mean_, 0.04);
  cr_assert_lt(second.deviation_, 0.06);
}

// The watcher's own requests make its latency vary by a factor of two next to a
// harmless neighbour. That variation must not be attributed to the neighbour.
Test(ContentionModel, OwnLoadVariationIsNotAttributedToNeighbour)
{
  ContentionBench bench;
  bench.Learn(0, 40);
  const ContentionCost cost = bench.model_.CostOf(bench.watcher_, bench.batch_);
  cr_assert_lt(cost.mean_, 0.03, "cost %f", cost.mean_);
}

// An unknown pair must have a high deviation, so that it counts neither as
// harmless nor as harmful.
Test(ContentionModel, UnknownPairHasHighDeviation)
{
  ContentionBench bench;
  const ContentionCost cost = bench.model_.CostOf(bench.watcher_, bench.batch_);
  cr_assert_gt(cost.deviation_, 0.1);
}

// The latency of a saturated task does not show by how much its load exceeds
// the capacity. Such a measurement must not lower the cost of further
// neighbours.
Test(ContentionModel, SaturatedTaskDoesNotLowerCosts)
{
  ContentionBench bench;
  bench.Learn(0.2, 28);
  const double before = bench.model_.CostOf(bench.watcher_, bench.batch_).mean_;
  const std::vector<Neighbour> five{ { bench.batch_, 5 } };
  for (int i = 0; i < 10; ++i) {
    bench.now_ += Millis(500);
    bench.Report(0.99, five);
  }
  const double after = bench.model_.CostOf(bench.watcher_, bench.batch_).mean_;
  cr_assert_geq(after, before - 0.02, "before %f after %f", before, after);
}

// A change of leader must not lose the learned costs and base latencies.
Test(ContentionModel, ExportAndImportKeepPairsAndBases)
{
  ContentionBench bench;
  bench.Learn(0.2, 40);
  ContentionModel next;
  next.Import(bench.model_.Export(), bench.now_);
  const auto watcher = next.Number("watcher");
  const auto batch = next.Number("batch");
  cr_assert_float_eq(next.CostOf(watcher, batch).mean_,
                     bench.model_.CostOf(bench.watcher_, bench.batch_).mean_,
                     1e-9);
  cr_assert_float_eq(
    next.Limit(watcher), bench.model_.Limit(bench.watcher_), 1e-9);
}

// The load of an ended job is removed; the costs of its image stay.
Test(ContentionModel, LoadsOfEndedJobsAreRemoved)
{
  ContentionBench bench;
  bench.Learn(0.2, 28);
  const double known = bench.model_.LoadWithin("job", Millis(0));
  bench.model_.ForgetBefore(bench.now_ + Millis(1));
  cr_assert_neq(bench.model_.LoadWithin("job", Millis(0)), known);
  cr_assert_gt(bench.model_.CostOf(bench.watcher_, bench.batch_).mean_, 0.1);
}
