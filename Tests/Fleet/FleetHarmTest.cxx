#include "HarmBench.h"

#include <criterion/criterion.h>

using namespace cactusrail;

// A batch task makes a watcher's answers ten times slower. Users count four
// seconds of that as harm, so the batch task must be paused earlier.
Test(FleetHarm, HarmfulBackfillIsPausedWithinTwoSeconds)
{
  HarmBench bench;
  bench.scheduler_.OnJobStored(HarmBench::Serving(), bench.now_);
  bench.Run(Millis(3000));
  bench.scheduler_.OnJobStored(HarmBench::Backfill("batch"), bench.now_);
  bench.Run(Millis(600));
  cr_assert(bench.Runs("batch"));
  bench.latency_ = 40;
  bench.Run(Millis(2000));
  cr_assert(std::any_of(
    bench.paces_.begin(), bench.paces_.end(), [](const PaceOrder& aPace) {
      return aPace.task_.starts_with("batch") && aPace.percent_ == 0;
    }));
}

// A watcher's latency rises to six times its objective within a second of a
// batch task's start, and reports once a second would be too late. The side of
// a serving worker reports at high frequency with or without backfill, so that
// the load is known in advance.
Test(FleetHarm, SideOfAServingWorkerReportsAtHighFrequency)
{
  HarmBench bench;
  bench.Run(Millis(2500));
  cr_assert_eq(bench.highFrequencyMicros_, 0);
  bench.scheduler_.OnJobStored(HarmBench::Serving(), bench.now_);
  bench.Run(Millis(2500));
  cr_assert_gt(bench.highFrequencyMicros_, 0);
  bench.scheduler_.OnCancelStored("serving", bench.now_);
  bench.runs_.clear();
  bench.Run(Millis(2500));
  cr_assert_eq(bench.highFrequencyMicros_, 0);
}

// The latency exceeds its objective for a cause other than backfill, which is
// harmless one task at a time: backfill pauses anyway and resumes once the
// watcher has recovered.
Test(FleetHarm, BackfillPausesForOtherCausesAndResumes)
{
  HarmBench bench;
  bench.scheduler_.OnJobStored(HarmBench::Serving(), bench.now_);
  bench.Run(Millis(2000));
  ContentionModel& model = bench.scheduler_.Interference().Model();
  model.SetKnownCost(
    model.Number("victim"), model.Number("aggressor"), 0, bench.now_);
  bench.scheduler_.OnJobStored(HarmBench::Backfill("batch"), bench.now_);
  bench.Run(Millis(1000));
  bench.latency_ = 12;
  bench.Run(Millis(3000));
  cr_assert_eq(bench.paces_.back().percent_, 0);
  bench.latency_ = 4;
  bench.Run(Millis(1500));
  cr_assert_eq(bench.paces_.back().percent_, 100);
}

// Guards against a batch job that never starts because its image is known to
// disturb the only worker's watcher even at a tenth of its speed: it waited
// forever with a third of the processors idle. It must run at a low pace
// instead.
Test(FleetHarm, BackfillThatDisturbsOnAllWorkersRunsSlowly)
{
  HarmBench bench;
  bench.scheduler_.OnJobStored(HarmBench::Serving(), bench.now_);
  bench.Run(Millis(2000));
  ContentionModel& model = bench.scheduler_.Interference().Model();
  model.SetKnownCost(
    model.Number("victim"), model.Number("aggressor"), 3, bench.now_);
  bench.scheduler_.OnJobStored(HarmBench::Backfill("batch"), bench.now_);
  bench.Run(Millis(1000));
  cr_assert_not(bench.Runs("batch"));
  bench.Run(Millis(1500));
  cr_assert(bench.Runs("batch"));
  cr_assert_lt(bench.paces_.back().percent_, 20);
  cr_assert(bench.stops_.empty());
}

// A new leader takes over what the previous leader learned, so that users are
// not disturbed by relearning.
Test(FleetHarm, LearnedInterferenceSurvivesALeaderChange)
{
  HarmBench first;
  ContentionModel& known = first.scheduler_.Interference().Model();
  known.SetKnownCost(
    known.Number("victim"), known.Number("aggressor"), 0.4, first.now_);
  HarmBench second;
  ContentionModel& model = second.scheduler_.Interference().Model();
  model.Import(known.Export(), second.now_);
  const BackfillFit fit = second.scheduler_.Interference().FitOfAdditionalTask(
    { { ServingGroup{ "serving", "victim" }, 1 } }, {}, "aggressor", Millis(0));
  cr_assert(fit.known_);
  cr_assert_not(fit.harmless_);
}

// Guards against interference by tasks that start together: eight batch tasks
// are placed in one pass before the first report. Each alone is harmless, but
// at full speed until that report all together made the watcher's answers ten
// times slower. Tasks that exceed the remaining load limit must start at a
// lower pace.
Test(FleetHarm, TasksThatStartTogetherStayWithinTheLoadLimit)
{
  for (const double cost : { 0.04, 0.045, 0.05, 0.055, 0.06, 0.065 }) {
    HarmBench bench;
    bench.scheduler_.OnJobStored(HarmBench::Serving(), bench.now_);
    bench.Run(Millis(3000));
    ContentionModel& model = bench.scheduler_.Interference().Model();
    model.SetKnownCost(
      model.Number("victim"), model.Number("aggressor"), cost, bench.now_);
    JobDescription batch = HarmBench::Backfill("batch");
    batch.steps_.front().count_ = 8;
    bench.scheduler_.OnJobStored(batch, bench.now_);
    bench.Run(Millis(200));
    double asked = 0;
    for (const RunStatus& run : bench.runs_) {
      double pace = 1;
      for (const PaceOrder& order : bench.paces_) {
        pace = order.task_ == run.task_ ? order.percent_ / 100.0 : pace;
      }
      asked += run.task_.starts_with("batch") ? cost * 1.25 * pace : 0;
    }
    const double room = model.Limit(model.Number("victim")) -
                        model.LoadWithin("serving", Millis(0));
    cr_assert_gt(asked, 0);
    cr_assert_leq(asked, room + 0.005, "asked %f, room %f", asked, room);
  }
}
