// Guards against slow progress of a backfill job that disturbs a watcher on
// every worker while two thirds of the processors are free: after each task the
// job waited 1.5 s again for a better worker, although there was none before.
// In one recorded run such jobs started one task every 2 to 4 s from 31 to 51 s
// (their "run-ordered" lines) and did not complete. Some of their tasks were
// also stopped for their low pace of 5 percent and then waited again: three
// times in 13 s for one task.

#include "HarmBench.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

/** Longer than the first wait for a better worker plus one report. */
constexpr Millis kFirstWait{ 2500 };
/** One report and the placement pass after it. */
constexpr Millis kNextReport{ 600 };

/** Batch job of several tasks that disturbs the watcher of the only worker. */
struct DisturbingBatch
{
  DisturbingBatch()
  {
    bench_.scheduler_.OnJobStored(HarmBench::Serving(), bench_.now_);
    bench_.Run(Millis(2000));
    TeachInterference();
    JobDescription batch = HarmBench::Backfill("batch");
    batch.steps_.front().count_ = 4;
    bench_.scheduler_.OnJobStored(batch, bench_.now_);
    bench_.Run(kFirstWait);
  }

  /** A task of the batch job would triple the watcher's load. */
  void TeachInterference()
  {
    ContentionModel& model = bench_.scheduler_.Interference().Model();
    model.SetKnownCost(
      model.Number("victim"), model.Number("aggressor"), 3, bench_.now_);
  }

  HarmBench bench_;
};

}

// The first task of the job waits for a better worker. After a wait in vain,
// each further task starts as soon as the previous one has ended.
Test(StarvingBackfill, JobWaitsOnlyOnceForABetterWorker)
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

// A task that was stopped for its low pace restarts as soon as it has ended.
Test(StarvingBackfill, StoppedTaskRestartsAtOnce)
{
  DisturbingBatch scene;
  HarmBench& bench = scene.bench_;
  cr_assert(bench.Runs("batch"));
  bench.End("batch", EndKind::Stopped);
  bench.Run(kNextReport);
  cr_assert(bench.Runs("batch"));
}

// One task at a time, and the first at a low pace: the job must not disturb
// more than with a wait between its tasks.
Test(StarvingBackfill, OneTaskAtATimeAtALowPace)
{
  DisturbingBatch scene;
  HarmBench& bench = scene.bench_;
  cr_assert_lt(bench.paces_.front().percent_, 20);
  for (int task = 0; task < 3; ++task) {
    scene.TeachInterference();
    bench.End("batch", EndKind::Done);
    bench.Run(kNextReport);
    const auto runs = std::count_if(
      bench.runs_.begin(), bench.runs_.end(), [](const auto& aRun) {
        return aRun.task_.starts_with("batch");
      });
    cr_assert_eq(runs, 1);
  }
}

// The watcher exceeds its objective and all backfill beside it is paused: a
// task that starts there is paused too until the watcher recovers.
Test(StarvingBackfill, BackfillStartsPausedWhereBackfillIsPaused)
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

// An urgent task is placed on a worker where backfill is paused. If the task
// started paused too, it would stay so, because only backfill is resumed.
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
