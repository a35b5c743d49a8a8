#include "Request/Admission.h"
#include "Request/Routing.h"
#include "Version/FairShare.h"
#include "Version/PlacementEngine.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace cactusrail;

namespace {

/** Sets the sizes: today's, two in between, the target's. */
void
Sizes(benchmark::internal::Benchmark* aBenchmark)
{
  for (const std::int64_t size : { 10, 70, 280, 560 }) {
    aBenchmark->Arg(size);
  }
}

/** Routes one request: choose, send, answer; every fourth with a heartbeat. */
void
Route(benchmark::State& aState)
{
  const auto count = static_cast<std::uint32_t>(aState.range(0));
  Router router(Router::Rules{});
  std::vector<Router::Runner> runners;
  for (std::uint32_t number = 0; number < count; ++number) {
    runners.push_back(router.Add(number % 4 == 0, 8));
  }
  Instant now(Micros(1000000));
  std::uint64_t random = 1;
  for (auto step : aState) {
    static_cast<void>(step);
    random = random * 6364136223846793005ULL + 1;
    now += Micros(100);
    const Router::Runner runner = *router.Choose({}, random, now);
    router.OnSent(runner, now);
    router.OnAnswer(
      runner, Micros(20000 + static_cast<std::int64_t>(random % 5000)), now);
    if (random % 4 == 0) {
      const RunnerReport report{ 8, 4, 0, now - Millis(500) };
      router.OnReport(runners[random % count], report, now);
    }
  }
}
BENCHMARK(Route)->Apply(Sizes);

struct Cluster
{
  InterferenceModel model_{ InterferenceModel::Rules{} };
  UsageEstimate usage_;
  InterferenceModel::Program victim_ = model_.Number("urgent service");
  std::vector<WorkerFacts> workers_;
};

/** Makes a cluster of twelve tasks per worker, 6,700 at the target size. */
Cluster
MakeCluster(std::size_t aWorkers)
{
  constexpr std::size_t kTasks = 12;
  constexpr std::size_t kPrograms = 300;
  Cluster cluster;
  for (std::size_t number = 0; number < kPrograms; ++number) {
    const auto program =
      cluster.model_.Number("program" + std::to_string(number));
    cluster.model_.SetKnownCost(
      cluster.victim_, program, 0.001, number % 8 == 0 ? 0.1 : 0.01, Instant());
  }
  for (std::size_t number = 0; number < aWorkers; ++number) {
    WorkerFacts worker;
    worker.workerId_ = "worker" + std::to_string(number);
    worker.capacity_ = Resources{ 64000, 250000, 0 };
    worker.reserved_ = Resources{ 16000 + 3500 * 12, 40000 + 12000 * 12, 0 };
    worker.used_ = worker.reserved_;
    for (std::size_t task = 0; task < kTasks; ++task) {
      worker.programs_.push_back(
        "program" + std::to_string((number * kTasks + task) % kPrograms));
    }
    cluster.workers_.push_back(std::move(worker));
  }
  return cluster;
}

void
Place(benchmark::State& aState)
{
  Cluster cluster = MakeCluster(static_cast<std::size_t>(aState.range(0)));
  PlacementEngine engine(PlacementEngine::Rules{},
                         cluster.usage_,
                         cluster.model_,
                         cluster.victim_,
                         1);
  std::size_t number = 0;
  Instant now(Micros(1000000));
  for (auto step : aState) {
    static_cast<void>(step);
    TaskFacts task;
    task.program_ = "program" + std::to_string(++number % 300);
    task.declared_ = Resources{ 2000, 8000, 0 };
    now += Millis(4);
    const auto chosen = engine.Choose(task, cluster.workers_, now);
    if (chosen.has_value()) {
      cluster.workers_[*chosen].reportedAt_ = now + Millis(1000);
    }
    benchmark::DoNotOptimize(chosen);
  }
}
BENCHMARK(Place)->Apply(Sizes);

/** Measures a full cluster: every worker is scanned and none has capacity. */
void
PlaceNowhere(benchmark::State& aState)
{
  Cluster cluster = MakeCluster(static_cast<std::size_t>(aState.range(0)));
  PlacementEngine engine(PlacementEngine::Rules{},
                         cluster.usage_,
                         cluster.model_,
                         cluster.victim_,
                         1);
  TaskFacts task;
  task.program_ = "program1";
  task.declared_ = Resources{ 9000, 8000, 0 };
  for (auto step : aState) {
    static_cast<void>(step);
    benchmark::DoNotOptimize(engine.Choose(task, cluster.workers_, Instant()));
  }
}
BENCHMARK(PlaceNowhere)->Apply(Sizes);

/**
 * Measures a full queue of 210 tenants: one request is refused or another shed.
 */
void
Refuse(benchmark::State& aState)
{
  Admission admission(Admission::Rules{});
  for (std::int64_t number = 0; number < aState.range(0); ++number) {
    admission.AddTenant(1);
  }
  admission.SetSlots(80);
  const Instant deadline(Micros(600000000));
  std::uint32_t tenant = 0;
  for (auto step : aState) {
    static_cast<void>(step);
    tenant = (tenant + 1) % static_cast<std::uint32_t>(aState.range(0));
    benchmark::DoNotOptimize(
      admission.Offer(tenant, Urgency::Normal, deadline, Instant()));
  }
}
BENCHMARK(Refuse)->Arg(4)->Arg(210);

void
NextTenant(benchmark::State& aState)
{
  FairShare shares;
  std::vector<std::string> names;
  for (std::int64_t number = 0; number < aState.range(0); ++number) {
    names.push_back("team" + std::to_string(number));
    shares.SetTenant(names.back(), 1, 0);
  }
  const std::vector<FairShare::Waiting> waiting(names.size(),
                                                { names.front(), 1000 });
  for (auto step : aState) {
    static_cast<void>(step);
    benchmark::DoNotOptimize(shares.Next(waiting));
  }
}
BENCHMARK(NextTenant)->Arg(4)->Arg(210);

}

BENCHMARK_MAIN();
