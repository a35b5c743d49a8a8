// An accountant's batch that disturbs a watcher on every worker crawls, though
// two thirds of the processors are free: after each of its tasks it waits 1.5 s
// for a better place again, although there was none the last time. On a day
// with this fault such jobs started one task each 2 to 4 s from 31 to 51 s
// (their "run-ordered" lines) and were not done at its end. Some of their tasks
// were also stopped for being slow ("it may work at 5 percent here") and, once
// they had stopped, waited again: three times in 13 s for one task.

#include "HarmBench.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

/** Longer than the first wait for a good place, and a report. */
constexpr Millis kFirstWait{ 2500 };
/** A report, and the pass that places after it. */
constexpr Millis kNextReport{ 600 };

/** A batch job of several tasks that disturbs the only worker's watcher. */
struct DisturbingBatch
{
  DisturbingBatch()
  {
    bench_.scheduler_.OnJobStored(HarmBench::Serving(), bench_.now_);
    bench_.Run(Millis(2000));
    TeachHarm();
    JobDescription batch = HarmBench::Backfill("batch");
    batch.steps_.front().count_ = 4;
    bench_.scheduler_.OnJobStored(batch, bench_.now_);
    bench_.Run(kFirstWait);
  }

  /** A task of the batch would triple the watcher's load. */
  void TeachHarm()
  {
    ContentionModel& model = bench_.scheduler_.Interference().Model();
    model.Teach(
      model.Number("victim"), model.Number("aggressor"), 3, bench_.now_);
  }

  HarmBench bench_;
};

}

// The first task of the job waits for a better place; once there was none, each
// further one starts as soon as the one before has ended.
Test(StarvingBackfill, JobWaitsOnceForABetterPlaceNotOnceATask)
{
  DisturbingBatch scene;
  HarmBench& bench = scene.bench_;
  for (int task = 0; task < 3; ++task) {
    cr_assert(bench.Runs("batch"));
    bench.End("batch", EndKind::Done);
    bench.Run(kNextReport);
  }
  cr_assert(bench.Runs("batch"));
}

// A task that was stopped for its slow pace is back as soon as it has ended.
Test(StarvingBackfill, StoppedTaskIsBackAtOnce)
{
  DisturbingBatch scene;
  HarmBench& bench = scene.bench_;
  cr_assert(bench.Runs("batch"));
  bench.End("batch", EndKind::Stopped);
  bench.Run(kNextReport);
  cr_assert(bench.Runs("batch"));
}

// One at a time, and the first one slowly: it must not disturb more than it did
// when it waited between its tasks.
Test(StarvingBackfill, OneTaskAtATimeAtALowPace)
{
  DisturbingBatch scene;
  HarmBench& bench = scene.bench_;
  cr_assert_lt(bench.paces_.front().percent_, 20);
  for (int task = 0; task < 3; ++task) {
    scene.TeachHarm();
    bench.End("batch", EndKind::Done);
    bench.Run(kNextReport);
    const auto runs = std::count_if(
      bench.runs_.begin(), bench.runs_.end(), [](const auto& aRun) {
        return aRun.task_.starts_with("batch");
      });
    cr_assert_eq(runs, 1);
  }
}

// The watcher is over its objective and all backfill beside it stands still:
// a task that starts there all the same stands still as well, until it has
// recovered.
Test(StarvingBackfill, StartsAtRestWhereBackfillIsPaused)
{
  DisturbingBatch scene;
  HarmBench& bench = scene.bench_;
  bench.latency_ = 40;
  bench.Run(Millis(3000));
  cr_assert_eq(bench.paces_.back().percent_, 0);
  bench.End("batch", EndKind::Done);
  bench.Run(kFirstWait);
  cr_assert(bench.Runs("batch"));
  cr_assert_eq(bench.paces_.back().percent_, 0);
  bench.latency_ = 4;
  bench.Run(Millis(1500));
  cr_assert_gt(bench.paces_.back().percent_, 0);
}

// A caller's urgent task is placed on a worker where backfill stands still for
// a watcher's sake. It is no backfill: ordered to stand still with it, it would
// never be told to go on, as only backfill is.
Test(StarvingBackfill, UrgentTaskStartsAtFullPaceWhereBackfillIsPaused)
{
  DisturbingBatch scene;
  HarmBench& bench = scene.bench_;
  bench.latency_ = 40;
  bench.Run(Millis(3000));
  cr_assert_eq(bench.paces_.back().percent_, 0);
  bench.scheduler_.OnJobStored(MakeJob("urgent", 1, 1000), bench.now_);
  bench.Run(kNextReport);
  cr_assert(bench.Runs("urgent"));
  for (const PaceOrder& pace : bench.paces_) {
    cr_assert_not(pace.task_.starts_with("urgent"));
  }
}
