#include "Version/PlacementEngine.h"
#include "Version/FairShare.h"
#include "Version/InterferenceHistory.h"

#include <criterion/criterion.h>

#include <array>
#include <random>

using namespace cactusrail;

namespace {

static_assert(PlacementPolicy<PlacementEngine>);

Instant
At(std::int64_t aMillis)
{
  return Instant(Millis(aMillis));
}

std::vector<WorkerFacts>
Workers(std::size_t aCount)
{
  std::vector<WorkerFacts> workers(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    workers[index].workerId_ = "worker" + std::to_string(index);
    workers[index].capacity_ = Resources{ 16000, 60000, 0 };
    workers[index].urgentLoad_ = 0.4;
  }
  return workers;
}

TaskFacts
Batch(const std::string& aProgram, std::int64_t aMilliCpus)
{
  TaskFacts task;
  task.program_ = aProgram;
  task.declared_ = Resources{ aMilliCpus, 1000, 0 };
  return task;
}

struct Models
{
  UsageEstimate usage_;
  InterferenceModel model_{ InterferenceModel::Rules{} };
  InterferenceModel::Program victim_ = model_.Number("service");

  PlacementEngine Engine()
  {
    return PlacementEngine(
      PlacementEngine::Rules{}, usage_, model_, victim_, 1);
  }
};

}

// A worker with more allocated processors, memory or accelerators than it has
// cannot meet any guarantee.
Test(PlacementEngine, NeverExceedsCapacityOrUsesACordonedWorker)
{
  Models models;
  PlacementEngine engine = models.Engine();
  std::vector<WorkerFacts> workers = Workers(8);
  workers[7].cordoned_ = true;
  std::mt19937_64 random(3);
  for (int step = 0; step < 2000; ++step) {
    TaskFacts task = Batch("p" + std::to_string(random() % 5),
                           static_cast<std::int64_t>(500 + random() % 6000));
    task.kind_ = random() % 4 == 0 ? WorkKind::Service : WorkKind::Batch;
    task.declared_.memoryMb_ = static_cast<std::int64_t>(random() % 20000);
    const auto chosen = engine.Choose(task, workers, At(step));
    if (!chosen.has_value()) {
      workers[random() % 7].reserved_ = Resources{};
      continue;
    }
    WorkerFacts& worker = workers[*chosen];
    cr_assert_neq(*chosen, 7);
    cr_assert(task.declared_.FitsIn(worker.capacity_, worker.reserved_));
    worker.reserved_ += task.declared_;
    worker.reportedAt_ = At(step);
  }
}

// A program that uses three times its declared size overloads a worker on which
// the declared sizes fit.
Test(PlacementEngine, LearnedUsagePreventsOverload)
{
  Models models;
  for (int report = 0; report < 30; ++report) {
    models.usage_.OnUsage(
      "glutton", Resources{ 1000, 1000, 0 }, Resources{ 3000, 1000, 0 });
  }
  PlacementEngine engine = models.Engine();
  std::vector<WorkerFacts> workers = Workers(1);
  workers[0].used_ = Resources{ 16000, 1000, 0 };
  cr_assert_not(
    engine.Choose(Batch("glutton", 1000), workers, At(1)).has_value());
  cr_assert(engine.Choose(Batch("modest", 1000), workers, At(1)).has_value());
}

Test(PlacementEngine, DisruptiveProgramsStayOnDesignatedWorkers)
{
  Models models;
  const auto disruptive = models.model_.Number("loud");
  models.model_.SetKnownCost(models.victim_, disruptive, 0.1, 0.2, At(0));
  PlacementEngine engine = models.Engine();
  std::vector<WorkerFacts> workers = Workers(10);
  for (int count = 0; count < 20; ++count) {
    const auto chosen = engine.Choose(Batch("loud", 1000), workers, At(count));
    cr_assert(chosen.has_value() && *chosen >= 8);
    workers[*chosen].reserved_ += Resources{ 100, 100, 0 };
  }
}

// If batch work uses the last free capacity, an urgent task has to wait seconds
// for a checkpoint.
Test(PlacementEngine, BatchLeavesCapacityForAnUrgentTask)
{
  Models models;
  PlacementEngine engine = models.Engine();
  std::vector<WorkerFacts> workers = Workers(4);
  TaskFacts urgent = Batch("replica", 4000);
  urgent.kind_ = WorkKind::Service;
  cr_assert(engine.Choose(urgent, workers, At(0)).has_value());
  for (int count = 0; count < 100; ++count) {
    const auto chosen = engine.Choose(Batch("p", 1000), workers, At(count));
    if (!chosen.has_value()) {
      break;
    }
    workers[*chosen].reserved_ += Resources{ 1000, 1000, 0 };
  }
  cr_assert(engine.Choose(urgent, workers, At(200)).has_value());
}

// A measurement arrives after the disruptive task has ended and a harmless one
// has started. The slowdown must not be attributed to the harmless program.
Test(Interference, AttributesSlowdownToNeighboursAtMeasurementTime)
{
  InterferenceHistory history;
  InterferenceModel model(InterferenceModel::Rules{});
  const auto victim = model.Number("service");
  const auto disruptive = model.Number("loud");
  const auto harmless = model.Number("quiet");
  const std::array disruptiveTasks{ Neighbour{ disruptive, 1 } };
  const std::array harmlessTasks{ Neighbour{ harmless, 1 } };
  for (std::int64_t second = 0; second < 200; second += 2) {
    history.Record("worker", harmlessTasks, At(second * 1000));
    history.Record("worker", disruptiveTasks, At(second * 1000 + 1000));
    for (const std::int64_t end : { second + 1, second + 2 }) {
      const bool wasDisruptive = end == second + 2;
      const auto neighbours =
        history.Mean("worker", At(end * 1000 - 1000), At(end * 1000));
      model.OnMeasured(victim,
                       neighbours,
                       0.5,
                       wasDisruptive ? 24000 : 20000,
                       100,
                       At(end * 1000));
    }
  }
  cr_assert_gt(model.Cost(victim, disruptive, 0.5),
               5 * model.Cost(victim, harmless, 0.5));
  cr_assert_gt(model.Cost(victim, disruptive, 0.5), 0.1);
}

Test(Interference, DeviationFallsWithEvidenceAndGrowsWithTime)
{
  InterferenceModel model(InterferenceModel::Rules{});
  const auto victim = model.Number("service");
  const auto program = model.Number("p");
  const double before = model.CostDeviation(victim, program, 0.5);
  const std::array neighbours{ Neighbour{ program, 2 } };
  for (std::int64_t second = 0; second < 100; ++second) {
    model.OnMeasured(victim, neighbours, 0.5, 21000, 50, At(second * 1000));
  }
  const double after = model.CostDeviation(victim, program, 0.5);
  cr_assert_lt(after, before / 2);
  const std::array none{ Neighbour{ program, 0 } };
  model.OnMeasured(victim, none, 0.5, 20000, 50, At(1000000));
  cr_assert_gt(model.CostDeviation(victim, program, 0.5), after);
}

Test(FairShare, TenantWithLowestAllocationPerShareIsFirst)
{
  FairShare shares;
  shares.SetTenant("large", 3, 0);
  shares.SetTenant("small", 1, 2000);
  shares.OnPlaced("large", 2000);
  shares.OnPlaced("small", 1000);
  const std::array<FairShare::Waiting, 2> waiting{
    FairShare::Waiting{ "small", 1000 }, FairShare::Waiting{ "large", 1000 }
  };
  cr_assert_eq(*shares.Next(waiting), 1);
  shares.OnPlaced("large", 2000);
  cr_assert_eq(*shares.Next(waiting), 0);
  shares.OnPlaced("small", 1000);
  cr_assert_eq(*shares.Next(waiting), 1, "the quota is exhausted");
  cr_assert_not(shares.IsWithinQuota("small", 1));
  shares.OnEnded("small", 1000);
  cr_assert(shares.IsWithinQuota("small", 1000));
}
