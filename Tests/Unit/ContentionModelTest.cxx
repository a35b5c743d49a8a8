#include "Version/ContentionModel.h"

#include <criterion/criterion.h>

#include <cmath>

using namespace cactusrail;

namespace {

/** Latency over its objective of a queue that is this full. */
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

/** A watcher whose load swings, and a batch task that comes and goes. */
struct ContentionBench
{
  ContentionBench()
    : watcher_(model_.Number("watcher"))
    , batch_(model_.Number("batch"))
  {
  }

  /** Each half second one report of a task alone and of one beside a batch
   * task that takes this much. */
  void LearnAt(double aLoad, double aCost, int aReports)
  {
    const std::vector<Neighbour> beside{ { batch_, 1 } };
    for (int i = 0; i < aReports; ++i) {
      now_ += Millis(500);
      Report(aLoad, {});
      Report(aLoad + aCost, beside);
    }
  }

  /** The same with a load that swings. */
  void Learn(double aCost, int aReports)
  {
    for (int i = 0; i < aReports; ++i) {
      LearnAt(LoadAt(now_ + Millis(500)), aCost, 1);
    }
  }

  void Report(double aUtilisation, std::span<const Neighbour> aBeside)
  {
    const double pressure = PressureAt(aUtilisation);
    model_.OnReported(watcher_, pressure);
    model_.OnMeasured(watcher_, "job", pressure, aBeside, now_);
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

// A batch task takes a fifth of what a watcher can carry. At a low load its
// answers are hardly slower, at a high one twice as slow: learned as latencies,
// the cost was right at neither, and the batch was called harmless and harmful
// by turns. As a share of capacity it is one figure.
Test(ContentionModel, CostIsTheSameAtLowAndHighLoad)
{
  ContentionBench low;
  low.LearnAt(0.2, 0.2, 30);
  ContentionBench high;
  // The least latency of its image is known, as for the other one.
  high.model_.OnReported(high.watcher_, PressureAt(0.2));
  high.LearnAt(0.6, 0.2, 30);
  const double atLow = low.model_.CostOf(low.watcher_, low.batch_).mean_;
  const double atHigh = high.model_.CostOf(high.watcher_, high.batch_).mean_;
  cr_assert_float_eq(atLow, atHigh, 0.06, "%f and %f", atLow, atHigh);
  cr_assert_gt(atLow, 0.1);
}

// Its load swings while it is learned: the figure stays the same, and sure.
Test(ContentionModel, CostStaysTheSameWhileTheLoadSwings)
{
  ContentionBench bench;
  bench.Learn(0.2, 28);
  const ContentionCost first =
    bench.model_.CostOf(bench.watcher_, bench.batch_);
  bench.Learn(0.2, 14);
  const ContentionCost second =
    bench.model_.CostOf(bench.watcher_, bench.batch_);
  cr_assert_float_eq(second.mean_, first.mean_, 0.04);
  cr_assert_lt(second.doubt_, 0.06);
}

// A neighbour that does nothing, while the watcher's own users swing its
// latency between one and two: that swing must not be blamed on the neighbour.
Test(ContentionModel, SwingOfItsOwnUsersIsNotBlamedOnTheNeighbour)
{
  ContentionBench bench;
  bench.Learn(0, 40);
  const ContentionCost cost = bench.model_.CostOf(bench.watcher_, bench.batch_);
  cr_assert_lt(cost.mean_, 0.03, "cost %f", cost.mean_);
}

// Before anything is known a pair is in doubt: neither harmless nor harmful.
Test(ContentionModel, UnknownPairIsInDoubt)
{
  ContentionBench bench;
  const ContentionCost cost = bench.model_.CostOf(bench.watcher_, bench.batch_);
  cr_assert_gt(cost.doubt_, 0.1);
}

// A task whose latency shows that it is full already tells nothing of how much
// too full it is: a second neighbour must not be acquitted by that.
Test(ContentionModel, FullTaskTeachesNothing)
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

// What one leader learned, the next one knows, with its doubt.
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

// A job that ended is forgotten, its costs are not.
Test(ContentionModel, LoadsOfEndedJobsAreForgotten)
{
  ContentionBench bench;
  bench.Learn(0.2, 28);
  const double known = bench.model_.LoadWithin("job", Millis(0));
  bench.model_.ForgetBefore(bench.now_ + Millis(1));
  cr_assert_neq(bench.model_.LoadWithin("job", Millis(0)), known);
  cr_assert_gt(bench.model_.CostOf(bench.watcher_, bench.batch_).mean_, 0.1);
}
