#include "Version/Reaction.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

Instant
At(std::int64_t aMillis)
{
  return Instant(Millis(aMillis));
}

/** One worker whose tasks cause a known slowdown. */
struct Fixture
{
  explicit Fixture(const PolicyWeights& aWeights)
    : reaction_(Reaction::Rules{}, aWeights)
  {
    model_.SetKnownCost(victim_, model_.Number("loud"), 0.4, 0.4, At(0));
    model_.SetKnownCost(victim_, model_.Number("quiet"), 0.001, 0.001, At(0));
  }

  void Add(const std::string& aProgram, bool aPayout, bool aCanCheckpoint)
  {
    RunningTask task;
    task.taskId_ = "task" + std::to_string(tasks_.size());
    task.program_ = aProgram;
    task.declared_ = Resources{ 4000, 1000, 0 };
    task.payout_ = aPayout;
    task.canCheckpoint_ = aCanCheckpoint;
    tasks_.push_back(task);
  }

  /** Returns the steps of Reaction::Decide() and applies their throttles. */
  std::vector<ReactionStep> Decide(double aLoad, std::int64_t aMillis)
  {
    WorkerPressure worker;
    worker.workerId_ = "worker";
    worker.urgentLoad_ = aLoad;
    worker.tasks_ = tasks_;
    std::vector<ReactionStep> steps =
      reaction_.Decide({ &worker, 1 }, model_, victim_, At(aMillis));
    for (const ReactionStep& step : steps) {
      tasks_[step.task_].throttle_ = step.throttle_;
      ++counts_[step.kind_];
      removed_ = step.task_;
    }
    return steps;
  }

  void DecideRepeatedly(double aLoad, std::int64_t aFromMs, std::int64_t aToMs)
  {
    for (std::int64_t time = aFromMs; time < aToMs; time += 100) {
      Decide(aLoad, time);
    }
  }

  InterferenceModel model_{ InterferenceModel::Rules{} };
  InterferenceModel::Program victim_ = model_.Number("service");
  Reaction reaction_;
  std::vector<RunningTask> tasks_;
  std::unordered_map<ReactionKind, int> counts_;
  std::size_t removed_ = 0;
};

const PolicyWeights kLatencyFirst{ 4, 1, 0.1 };
const PolicyWeights kEvictionAverse{ 1.5, 0.7, 8 };

}

Test(Reaction, ThrottlesOnlyTheDisruptiveTask)
{
  Fixture fixture(kLatencyFirst);
  fixture.Add("quiet", false, true);
  fixture.Add("loud", false, true);
  const std::vector<ReactionStep> steps = fixture.Decide(0.8, 1000);
  cr_assert_eq(steps.size(), 1);
  cr_assert_eq(steps[0].kind_, ReactionKind::Throttle);
  cr_assert_eq(steps[0].task_, 1);
  cr_assert(fixture.Decide(0.8, 1100).empty(), "waits for late reports");
}

// A task is throttled during a load peak and must be released after it. Without
// hysteresis the throttle would change with each report.
Test(Reaction, ReleasesThrottleAfterThePeak)
{
  Fixture fixture(kLatencyFirst);
  fixture.Add("loud", false, true);
  fixture.DecideRepeatedly(0.7, 0, 3000);
  cr_assert_lt(fixture.tasks_[0].throttle_, 1);
  fixture.DecideRepeatedly(0.1, 3000, 12000);
  cr_assert_float_eq(fixture.tasks_[0].throttle_, 1, 1e-9);
  cr_assert_eq(fixture.counts_[ReactionKind::Evict], 0);
}

// Evicting a payout batch without a checkpoint may lose or duplicate a payment.
// It must not happen while another task can be moved.
Test(Reaction, PayoutIsNotEvictedWhileAnotherTaskCanMove)
{
  Fixture fixture(PolicyWeights{ 100, 1, 0.1 });
  fixture.Add("loud", true, false);
  fixture.Add("loud", false, true);
  fixture.DecideRepeatedly(0.9, 0, 14000);
  cr_assert_gt(fixture.counts_[ReactionKind::Move], 0);
  cr_assert_eq(fixture.counts_[ReactionKind::Evict], 0);
  cr_assert_eq(fixture.removed_, 1);
}

Test(Reaction, EvictionsInAPeriodAreBounded)
{
  Fixture fixture(PolicyWeights{ 100, 1, 0.1 });
  for (int count = 0; count < 5; ++count) {
    fixture.Add("loud", false, false);
  }
  fixture.DecideRepeatedly(0.9, 0, 59000);
  cr_assert_eq(fixture.counts_[ReactionKind::Evict], 2);
}

Test(Reaction, ExpensiveEvictionsAreNotMade)
{
  Fixture fixture(kEvictionAverse);
  fixture.Add("loud", false, false);
  fixture.DecideRepeatedly(0.8, 0, 60000);
  cr_assert_eq(fixture.counts_[ReactionKind::Evict], 0);
  cr_assert_gt(fixture.counts_[ReactionKind::Throttle], 0);
}

Test(Reaction, FreesCapacityByMovesBeforeEvictions)
{
  Fixture fixture(kEvictionAverse);
  fixture.Add("quiet", true, false);
  fixture.Add("quiet", false, true);
  WorkerPressure worker;
  worker.workerId_ = "worker";
  worker.capacity_ = Resources{ 16000, 60000, 0 };
  worker.reserved_ = Resources{ 15000, 2000, 0 };
  worker.tasks_ = fixture.tasks_;
  const std::vector<ReactionStep> steps = fixture.reaction_.FreeCapacity(
    Resources{ 4000, 1000, 0 }, { &worker, 1 }, At(0));
  cr_assert_eq(steps.size(), 1);
  cr_assert_eq(steps[0].kind_, ReactionKind::Move);
  cr_assert_eq(steps[0].task_, 1);
}
