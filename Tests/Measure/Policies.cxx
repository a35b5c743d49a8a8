#include "Policies.h"

#include "Request/RetryBudget.h"
#include "Version/InterferenceHistory.h"
#include "Version/PlacementEngine.h"
#include "Version/UsageEstimate.h"
#include "Version/WorkerHealth.h"

#include <algorithm>
#include <limits>

namespace cactusrail::measure {

namespace {

bool
Contains(std::span<const Router::Runner> aRunners, std::size_t aRunner)
{
  return std::find(aRunners.begin(), aRunners.end(), aRunner) != aRunners.end();
}

/**
 * Common part of the baselines: the views of each entry and a plain eviction.
 */
class Baseline : public Policy
{
public:
  Baseline(const Deployment& aDeployment, std::uint64_t aSeed, bool aEvicts)
    : deployment_(aDeployment)
    , random_(aSeed * 11 + 4)
    , views_(aDeployment.entries_, std::vector<View>(aDeployment.workers_))
    , evicts_(aEvicts)
    , quietUntil_(aDeployment.workers_)
  {
  }

  void OnSent(std::size_t aEntry, std::size_t aRunner, Instant) override
  {
    ++views_[aEntry][aRunner].sent_;
  }

  void OnHeartbeat(std::size_t aEntry,
                   std::size_t aRunner,
                   const RunnerReport& aReport,
                   Instant) override
  {
    View& view = views_[aEntry][aRunner];
    view.up_ = true;
    view.load_ = aReport.busy_ + aReport.queued_;
    view.sent_ = 0;
  }

  void OnHeartbeatTimeout(std::size_t aEntry, std::size_t aRunner) override
  {
    views_[aEntry][aRunner].up_ = false;
  }

  /**
   * Evicts the newest batch task where requests are slow, which is the usual
   * strategy.
   */
  std::vector<ReactionStep> React(std::span<const WorkerPressure> aWorkers,
                                  Instant aNow) override
  {
    std::vector<ReactionStep> steps;
    for (std::size_t index = 0; evicts_ && index < aWorkers.size(); ++index) {
      const WorkerPressure& worker = aWorkers[index];
      const double limit = deployment_.serviceMs_ * 1000 * kSlowRatio;
      if (worker.latencyMicros_ < limit || aNow < quietUntil_[index]) {
        continue;
      }
      for (std::size_t last = worker.tasks_.size(); last > 0; --last) {
        if (!worker.tasks_[last - 1].urgent_) {
          steps.push_back({ ReactionKind::Evict, index, last - 1, 1 });
          quietUntil_[index] = aNow + kQuiet;
          break;
        }
      }
    }
    return steps;
  }

  std::vector<ReactionStep> FreeCapacity(
    const Resources& aSize,
    std::span<const WorkerPressure> aWorkers,
    Instant) override
  {
    const std::size_t index = random_() % aWorkers.size();
    const WorkerPressure& worker = aWorkers[index];
    Resources reserved = worker.reserved_;
    std::vector<ReactionStep> steps;
    for (std::size_t last = worker.tasks_.size(); last > 0; --last) {
      const RunningTask& task = worker.tasks_[last - 1];
      if (worker.cordoned_ || aSize.FitsIn(worker.capacity_, reserved)) {
        break;
      }
      if (!task.urgent_) {
        reserved.milliCpus_ -= task.declared_.milliCpus_;
        reserved.memoryMb_ -= task.declared_.memoryMb_;
        steps.push_back({ ReactionKind::Evict, index, last - 1, 1 });
      }
    }
    return steps;
  }

protected:
  static constexpr double kSlowRatio = 1.5;
  static constexpr Millis kQuiet{ 5000 };

  struct View
  {
    bool up_ = false;
    double load_ = 0;
    double sent_ = 0;
  };

  bool Usable(std::size_t aEntry,
              std::size_t aRunner,
              std::span<const Router::Runner> aExcluded) const
  {
    return views_[aEntry][aRunner].up_ && !Contains(aExcluded, aRunner);
  }

  double LoadOf(std::size_t aEntry, std::size_t aRunner) const
  {
    const View& view = views_[aEntry][aRunner];
    return view.load_ + view.sent_;
  }

  static bool Fits(const TaskFacts& aTask, const WorkerFacts& aWorker)
  {
    return !aWorker.cordoned_ &&
           aTask.declared_.FitsIn(aWorker.capacity_, aWorker.reserved_);
  }

  Deployment deployment_;
  Random random_;
  std::vector<std::vector<View>> views_;
  bool evicts_;
  std::vector<Instant> quietUntil_;
};

class FirstFit : public Baseline
{
public:
  using Baseline::Baseline;

  std::optional<std::size_t> Route(std::size_t aEntry,
                                   std::span<const Router::Runner> aExcluded,
                                   Instant) override
  {
    std::optional<std::size_t> any;
    for (std::size_t runner = 0; runner < deployment_.workers_; ++runner) {
      if (!Usable(aEntry, runner, aExcluded)) {
        continue;
      }
      any = runner;
      if (LoadOf(aEntry, runner) < deployment_.slots_) {
        return runner;
      }
    }
    return any;
  }

  std::optional<std::size_t> Place(const TaskFacts& aTask,
                                   std::span<const WorkerFacts> aWorkers,
                                   Instant aNow) override
  {
    return FirstFitPlacement().Choose(aTask, aWorkers, aNow);
  }
};

class LeastLoaded : public Baseline
{
public:
  using Baseline::Baseline;

  std::optional<std::size_t> Route(std::size_t aEntry,
                                   std::span<const Router::Runner> aExcluded,
                                   Instant) override
  {
    std::optional<std::size_t> best;
    for (std::size_t runner = 0; runner < deployment_.workers_; ++runner) {
      if (Usable(aEntry, runner, aExcluded) &&
          (!best.has_value() ||
           LoadOf(aEntry, runner) < LoadOf(aEntry, *best))) {
        best = runner;
      }
    }
    return best;
  }

  std::optional<std::size_t> Place(const TaskFacts& aTask,
                                   std::span<const WorkerFacts> aWorkers,
                                   Instant) override
  {
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < aWorkers.size(); ++index) {
      if (Fits(aTask, aWorkers[index]) &&
          (!best.has_value() || aWorkers[index].reserved_.milliCpus_ <
                                  aWorkers[*best].reserved_.milliCpus_)) {
        best = index;
      }
    }
    return best;
  }
};

class RandomOfTwo : public Baseline
{
public:
  using Baseline::Baseline;

  std::optional<std::size_t> Route(std::size_t aEntry,
                                   std::span<const Router::Runner> aExcluded,
                                   Instant) override
  {
    std::vector<std::size_t> usable;
    for (std::size_t runner = 0; runner < deployment_.workers_; ++runner) {
      if (Usable(aEntry, runner, aExcluded)) {
        usable.push_back(runner);
      }
    }
    const std::optional<std::size_t> one = Draw(usable);
    const std::optional<std::size_t> two = Draw(usable);
    return one.has_value() && LoadOf(aEntry, *two) < LoadOf(aEntry, *one) ? two
                                                                          : one;
  }

  std::optional<std::size_t> Place(const TaskFacts& aTask,
                                   std::span<const WorkerFacts> aWorkers,
                                   Instant) override
  {
    std::vector<std::size_t> usable;
    for (std::size_t index = 0; index < aWorkers.size(); ++index) {
      if (Fits(aTask, aWorkers[index])) {
        usable.push_back(index);
      }
    }
    const std::optional<std::size_t> one = Draw(usable);
    const std::optional<std::size_t> two = Draw(usable);
    return one.has_value() && aWorkers[*two].reserved_.milliCpus_ <
                                aWorkers[*one].reserved_.milliCpus_
             ? two
             : one;
  }

private:
  std::optional<std::size_t> Draw(const std::vector<std::size_t>& aFrom)
  {
    if (aFrom.empty()) {
      return std::nullopt;
    }
    return aFrom[random_() % aFrom.size()];
  }
};

constexpr const char* kVictim = "urgent service";

/** Runs the product's own decision modules. */
class Engine : public Policy
{
public:
  Engine(const Deployment& aDeployment, std::uint64_t aSeed)
    : random_(aSeed * 13 + 5)
    , model_(InterferenceModel::Rules{})
    , victim_(model_.Number(kVictim))
    , placement_(PlacementEngine::Rules{}, usage_, model_, victim_, aSeed)
    , reaction_(Reaction::Rules{}, aDeployment.weights_)
    , health_(WorkerHealth::Rules{})
    , slots_(aDeployment.slots_)
    , known_(aDeployment.entries_,
             std::vector<std::optional<Router::Runner>>(aDeployment.workers_))
  {
    for (std::size_t entry = 0; entry < aDeployment.entries_; ++entry) {
      routers_.emplace_back(Router::Rules{});
      budgets_.emplace_back(RetryBudget::Rules{});
    }
  }

  std::optional<std::size_t> Route(std::size_t aEntry,
                                   std::span<const Router::Runner> aExcluded,
                                   Instant aNow) override
  {
    std::vector<Router::Runner> excluded;
    for (const Router::Runner runner : aExcluded) {
      if (known_[aEntry][runner].has_value()) {
        excluded.push_back(*known_[aEntry][runner]);
      }
    }
    const std::optional<Router::Runner> chosen =
      routers_[aEntry].Choose(excluded, random_(), aNow);
    for (std::size_t runner = 0; chosen.has_value(); ++runner) {
      if (known_[aEntry][runner] == chosen) {
        return runner;
      }
    }
    return std::nullopt;
  }

  void OnSent(std::size_t aEntry, std::size_t aRunner, Instant aNow) override
  {
    routers_[aEntry].OnSent(*known_[aEntry][aRunner], aNow);
  }

  void OnAnswer(std::size_t aEntry,
                std::size_t aRunner,
                Micros aLatency,
                Instant aNow) override
  {
    if (known_[aEntry][aRunner].has_value()) {
      routers_[aEntry].OnAnswer(*known_[aEntry][aRunner], aLatency, aNow);
    }
  }

  void OnRefused(std::size_t aEntry, std::size_t aRunner, Instant aNow) override
  {
    if (known_[aEntry][aRunner].has_value()) {
      routers_[aEntry].OnFailure(*known_[aEntry][aRunner], aNow);
    }
  }

  void OnHeartbeat(std::size_t aEntry,
                   std::size_t aRunner,
                   const RunnerReport& aReport,
                   Instant aNow) override
  {
    std::optional<Router::Runner>& known = known_[aEntry][aRunner];
    if (!known.has_value()) {
      known = routers_[aEntry].Add(aEntry % 4 == aRunner % 4, slots_);
    }
    routers_[aEntry].OnReport(*known, aReport, aNow);
  }

  void OnHeartbeatTimeout(std::size_t aEntry, std::size_t aRunner) override
  {
    routers_[aEntry].Remove(*known_[aEntry][aRunner]);
    known_[aEntry][aRunner].reset();
  }

  void OnRequest(std::size_t aEntry, Instant aNow) override
  {
    budgets_[aEntry].OnRequest(aNow);
  }

  bool MayRetry(std::size_t aEntry, Instant aNow) override
  {
    return budgets_[aEntry].TryTake(aNow);
  }

  std::optional<std::size_t> Place(const TaskFacts& aTask,
                                   std::span<const WorkerFacts> aWorkers,
                                   Instant aNow) override
  {
    std::vector<WorkerFacts> facts(aWorkers.begin(), aWorkers.end());
    for (WorkerFacts& worker : facts) {
      worker.cordoned_ |= health_.IsCordoned(worker.workerId_, aNow);
    }
    const std::optional<std::size_t> chosen =
      placement_.Choose(aTask, facts, aNow);
    if (chosen.has_value()) {
      health_.OnStart(facts[*chosen].workerId_, aNow);
    }
    return chosen;
  }

  void OnReport(const WorkerReport& aReport, Instant) override
  {
    for (const TaskReport& task : aReport.tasks_) {
      usage_.OnUsage(task.program_, task.declared_, task.used_);
    }
    const std::string worker = "worker" + std::to_string(aReport.worker_);
    model_.OnMeasured(victim_,
                      history_.Mean(worker,
                                    aReport.measuredAt_ - Millis(1000),
                                    aReport.measuredAt_),
                      aReport.load_,
                      aReport.latencyMicros_,
                      aReport.samples_,
                      aReport.measuredAt_);
  }

  void OnTaskEnd(std::size_t aWorker,
                 const TaskFacts& aTask,
                 TaskEnd aEnd,
                 Instant aNow) override
  {
    const std::string worker = "worker" + std::to_string(aWorker);
    if (aEnd == TaskEnd::Finished) {
      health_.OnSuccess(worker, aTask.program_);
    } else if (aEnd == TaskEnd::Failed) {
      health_.OnFailure(worker, aTask.program_, aNow);
    }
  }

  bool IsParked(const std::string& aProgram) override
  {
    return health_.IsParked(aProgram);
  }

  std::vector<ReactionStep> React(std::span<const WorkerPressure> aWorkers,
                                  Instant aNow) override
  {
    for (const WorkerPressure& worker : aWorkers) {
      std::vector<Neighbour> neighbours;
      for (const RunningTask& task : worker.tasks_) {
        if (!task.urgent_) {
          neighbours.push_back(
            { model_.Number(task.program_), task.throttle_ });
        }
      }
      history_.Record(worker.workerId_, neighbours, aNow);
    }
    return reaction_.Decide(aWorkers, model_, victim_, aNow);
  }

  std::vector<ReactionStep> FreeCapacity(
    const Resources& aSize,
    std::span<const WorkerPressure> aWorkers,
    Instant aNow) override
  {
    return reaction_.FreeCapacity(aSize, aWorkers, aNow);
  }

protected:
  Random random_;
  UsageEstimate usage_;
  InterferenceModel model_;
  InterferenceModel::Program victim_;
  InterferenceHistory history_;
  PlacementEngine placement_;
  Reaction reaction_;
  WorkerHealth health_;
  std::uint32_t slots_;
  std::vector<Router> routers_;
  std::vector<RetryBudget> budgets_;
  std::vector<std::vector<std::optional<Router::Runner>>> known_;
};

/**
 * Applies the engine's rules with the hidden properties in place of estimates.
 */
class Oracle : public Engine
{
public:
  Oracle(const Deployment& aDeployment, std::uint64_t aSeed, World& aWorld)
    : Engine(aDeployment, aSeed)
    , hiddenState_(aWorld.HiddenState())
    , scenario_(aWorld.HiddenScenario())
  {
  }

  std::optional<std::size_t> Route(std::size_t aEntry,
                                   std::span<const Router::Runner> aExcluded,
                                   Instant) override
  {
    std::optional<std::size_t> best;
    double bestMicros = std::numeric_limits<double>::max();
    for (std::size_t runner = 0; runner < known_[aEntry].size(); ++runner) {
      const double micros = hiddenState_.ExpectedMicros(aEntry, runner);
      if (hiddenState_.IsUp(runner) && !Contains(aExcluded, runner) &&
          known_[aEntry][runner].has_value() && micros < bestMicros) {
        best = runner;
        bestMicros = micros;
      }
    }
    return best;
  }

  void OnReport(const WorkerReport& aReport, Instant) override
  {
    for (const TaskReport& task : aReport.tasks_) {
      usage_.OnUsage(task.program_, task.declared_, task.used_);
    }
  }

  std::vector<ReactionStep> React(std::span<const WorkerPressure> aWorkers,
                                  Instant aNow) override
  {
    for (const HiddenProgram& program : scenario_.programs_) {
      const double urgentSlowdown = hiddenState_.UrgentSlowdown(program.name_);
      model_.SetKnownCost(victim_,
                          model_.Number(program.name_),
                          urgentSlowdown * LoadShape(0),
                          urgentSlowdown * LoadShape(1),
                          aNow);
    }
    std::vector<WorkerPressure> workers(aWorkers.begin(), aWorkers.end());
    for (std::size_t index = 0; index < workers.size(); ++index) {
      workers[index].urgentLoad_ = hiddenState_.Load(index);
      workers[index].latencyMicros_ = 0;
      workers[index].samples_ = 0;
    }
    return reaction_.Decide(workers, model_, victim_, aNow);
  }

private:
  WorldState& hiddenState_;
  const Scenario& scenario_;
};

}

const std::vector<std::string>&
PolicyNames()
{
  static const std::vector<std::string> kNames{
    "first-fit",         "least-loaded", "random-of-two",
    "least-loaded-hold", "cactusrail",   "oracle"
  };
  return kNames;
}

std::unique_ptr<Policy>
MakePolicy(const std::string& aName,
           const Deployment& aDeployment,
           std::uint64_t aSeed,
           World& aWorld)
{
  if (aName == "first-fit") {
    return std::make_unique<FirstFit>(aDeployment, aSeed, true);
  }
  if (aName == "least-loaded") {
    return std::make_unique<LeastLoaded>(aDeployment, aSeed, true);
  }
  if (aName == "least-loaded-hold") {
    return std::make_unique<LeastLoaded>(aDeployment, aSeed, false);
  }
  if (aName == "random-of-two") {
    return std::make_unique<RandomOfTwo>(aDeployment, aSeed, true);
  }
  if (aName == "oracle") {
    return std::make_unique<Oracle>(aDeployment, aSeed, aWorld);
  }
  return std::make_unique<Engine>(aDeployment, aSeed);
}

}
