#include "Version/LearnedPlacement.h"
#include "../Golden/WorkWorld.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

using namespace cactusrail;

namespace {

static_assert(PlacementPolicy<LearnedPlacement>);

constexpr Resources kCapacity{ 16000, 60000, 0 };
constexpr std::uint64_t kSeed = 7;

Instant
At(std::int64_t aMillis)
{
  return Instant(Millis(aMillis));
}

WorkerFacts
Worker(std::string aId, std::int64_t aReservedMb)
{
  WorkerFacts worker;
  worker.workerId_ = std::move(aId);
  worker.capacity_ = kCapacity;
  worker.reserved_ = Resources{ 1000, aReservedMb, 0 };
  worker.used_ = worker.reserved_;
  return worker;
}

TaskFacts
Batch(std::string aProgram, std::int64_t aMemoryMb)
{
  TaskFacts task;
  task.taskId_ = aProgram + "/0";
  task.program_ = std::move(aProgram);
  task.declared_ = Resources{ 1000, aMemoryMb, 0 };
  return task;
}

TaskUsage
Running(const std::string& aProgram)
{
  return { aProgram + "-1/0", aProgram, Resources{ 1000, 10000, 0 } };
}

/** Returns the workers with reports that include all earlier placements. */
std::vector<WorkerFacts>
WithReportsAt(std::vector<WorkerFacts> aWorkers, Instant aNow)
{
  for (WorkerFacts& worker : aWorkers) {
    worker.reportedAt_ = aNow;
  }
  return aWorkers;
}

/** First-fit policy that records the reports it receives. */
class Recorder : public FirstFitPlacement
{
public:
  explicit Recorder(std::vector<WorkerUsage>& aReceived)
    : received_(aReceived)
  {
  }

  void OnUsage(const WorkerUsage& aUsage, Instant)
  {
    received_.push_back(aUsage);
  }

private:
  std::vector<WorkerUsage>& received_;
};

/** Sends reports of one worker for 30 s, two per second. */
void
Report(PlacementChooser& aChooser, const WorkerUsage& aUsage)
{
  for (std::int64_t time = 0; time <= 30000; time += 500) {
    aChooser.OnUsage(aUsage, At(time));
  }
}

void
Report(LearnedPlacement& aPlacement, const WorkerUsage& aUsage)
{
  for (std::int64_t time = 0; time <= 30000; time += 500) {
    aPlacement.OnUsage(aUsage, At(time));
  }
}

}

// Tasks that use three times their declared memory are killed on a worker where
// only the declared size fits.
Test(LearnedPlacement, UnderdeclaredTaskIsPlacedByActualUsage)
{
  const auto chooser = MakeChooser(LearnedPlacement(kSeed));
  const std::vector<WorkerFacts> workers{ Worker("half full", 30000),
                                          Worker("empty", 0) };
  const TaskFacts task = Batch("glutton", 15000);
  cr_assert_eq(
    *chooser->Choose(task, workers, At(0)), 0, "placed by declared size");
  Report(*chooser, { "other", { 1000, 30000, 0 }, { Running("glutton") } });
  const Instant later = At(31000);
  cr_assert_eq(*chooser->Choose(task, WithReportsAt(workers, later), later), 1);
}

// Tasks that use a third of their declared memory would leave workers half
// empty if placed by the declared size.
Test(LearnedPlacement, OverdeclaredTaskIsPackedByActualUsage)
{
  const auto chooser = MakeChooser(LearnedPlacement(kSeed));
  const std::vector<WorkerFacts> workers{ Worker("half full", 30000),
                                          Worker("empty", 0) };
  const TaskFacts task = Batch("modest", 28000);
  cr_assert_eq(*chooser->Choose(task, workers, At(0)),
               1,
               "no observations: conservative estimate");
  Report(*chooser, { "other", { 1000, 3300, 0 }, { Running("modest") } });
  const Instant later = At(31000);
  cr_assert_eq(*chooser->Choose(task, WithReportsAt(workers, later), later), 0);
}

// A program with low observed usage may use its full declared size at any time,
// so a worker's declared sizes must never exceed its capacity.
Test(LearnedPlacement, DeclaredSizeIsNeverExceededAfterDeferral)
{
  LearnedPlacement placement(kSeed);
  Report(placement, { "other", { 100, 1000, 0 }, { Running("modest") } });
  std::vector<WorkerFacts> workers{ Worker("full", 50000),
                                    Worker("cordoned worker", 0) };
  workers[1].cordoned_ = true;
  for (std::int64_t time = 31000; time < 120000; time += 1000) {
    cr_assert_not(
      placement.Choose(Batch("modest", 20000), workers, At(time)).has_value());
  }
}

// A job is accepted because its declared size fits a worker. If its expected
// usage exceeds every worker, it would never start and no reason would be
// shown.
Test(LearnedPlacement, TaskThatFitsAsDeclaredIsDeferredForLimitedTime)
{
  LearnedPlacement placement(kSeed);
  const std::vector<WorkerFacts> workers{ Worker("empty", 0) };
  const TaskFacts task = Batch("large", 55000);
  cr_assert_not(placement.Choose(task, workers, At(0)).has_value());
  cr_assert_not(placement.Choose(task, workers, At(9000)).has_value());
  cr_assert_eq(placement.Choose(task, workers, At(10000)).value_or(9), 0);
  cr_assert_not(placement.Choose(task, workers, At(11000)).has_value(),
                "the next task is deferred again");
}

// A report sent before the tasks started shows almost no usage. If it were
// used, the program would be placed as if it needed no resources.
Test(LearnedPlacement, ReportsFromBeforeATaskChangeAreIgnored)
{
  LearnedPlacement placement(kSeed);
  const Resources declared{ 1000, 10000, 0 };
  for (std::int64_t time = 0; time < 60000; time += 500) {
    TaskUsage task = Running("fresh");
    task.taskId_ += std::to_string(time / 1500);
    placement.OnUsage({ "w", { 10, 10, 0 }, { task } }, At(time));
  }
  cr_assert_eq(placement.Expect("fresh", declared).confidence_, 0);
}

// A worker that does not measure usage reports zero. If that were used, its
// programs would be placed as if they needed no resources.
Test(LearnedPlacement, ReportsWithoutMeasurementAreIgnored)
{
  LearnedPlacement placement(kSeed);
  Report(placement, { "w", {}, { Running("a") } });
  cr_assert_eq(placement.Expect("a", { 1000, 10000, 0 }).confidence_, 0);
}

// A worker reports the total usage of all its tasks. The usage of a large
// program must not be attributed to a small one next to it.
Test(LearnedPlacement, UsageIsAttributedToTheRightProgram)
{
  LearnedPlacement placement(kSeed);
  const WorkerUsage alone{ "w1", { 1000, 10000, 0 }, { Running("modest") } };
  const WorkerUsage both{ "w2",
                          { 4000, 40000, 0 },
                          { Running("modest"), Running("glutton") } };
  for (std::int64_t time = 0; time <= 120000; time += 500) {
    placement.OnUsage(alone, At(time));
    placement.OnUsage(both, At(time));
  }
  const Resources declared{ 1000, 10000, 0 };
  const auto modest = placement.Expect("modest", declared).resources_;
  const auto glutton = placement.Expect("glutton", declared).resources_;
  cr_assert_lt(modest.memoryMb_, 15000, "modest: %ld", modest.memoryMb_);
  cr_assert_gt(glutton.memoryMb_, 25000, "glutton: %ld", glutton.memoryMb_);
}

// The scheduler core forwards only reports that cover every allocated task.
// From an incomplete report the usage of the missing tasks would be attributed
// to the others, or all tasks would appear to use nothing.
Test(LearnedPlacement, CoreForwardsOnlyCompleteReports)
{
  std::vector<WorkerUsage> received;
  WorkWorld::Options options;
  options.traced_ = false;
  options.chooser_ = [&received](std::uint64_t) {
    return MakeChooser(Recorder(received));
  };
  WorkWorld world(options);
  world.AddWorker("w1", "r1", { 8000, 1000, 0 });
  world.AddEntry("e1");
  world.Run(5000000);
  VerbRequest request;
  request.verb_ = "create";
  request.operationId_ = "create";
  request.spec_.id_ = "job";
  request.spec_.program_ = "program";
  request.spec_.tasks_ = 3;
  request.spec_.declared_ = { 1000, 100, 0 };
  world.Ask("e1", request);
  world.Run(10000000);
  cr_assert_not(received.empty());
  const WorkerUsage last = received.back();
  cr_assert_eq(last.workerId_, "w1");
  cr_assert_eq(last.tasks_.size(), 3);
  cr_assert_eq(last.tasks_[0].program_, "program");
  cr_assert_eq(last.tasks_[0].declared_.milliCpus_, 1000);
  cr_assert_eq(last.used_.milliCpus_, 3000);
  received.clear();
  world.WorkerOf("w1").reportsLess_ = true;
  world.Run(10000000);
  for (const WorkerUsage& usage : received) {
    cr_assert_eq(usage.tasks_.size(), 3);
  }
  world.WorkerOf("w1").reportsLess_ = false;
  WorkerTasks& tasks = *world.WorkerOf("w1").tasks_;
  const std::int64_t clock = world.Now();
  StartCommand unknownTask;
  const WorkerReport before = tasks.Report(clock);
  unknownTask.origin_ = { "dc1/r1", before.cellEpoch_, before.incarnation_ };
  unknownTask.task_ = { "job.9", 1 };
  unknownTask.until_ = clock + 3600000000;
  unknownTask.resources_ = { 4000, 100, 0 };
  cr_assert_eq(tasks.Handle(unknownTask, clock).refused_, "");
  received.clear();
  world.Run(10000000);
  for (const WorkerUsage& usage : received) {
    cr_assert_eq(usage.used_.milliCpus_,
                 3000,
                 "usage includes a task that is not allocated");
  }
}

// In a cell of two workers both are kept open for urgent work. Batch work that
// leaves too little capacity for it would never start, even on an empty worker.
Test(LearnedPlacement, BatchIsDeferredForLimitedTimeInASmallCell)
{
  LearnedPlacement placement(kSeed);
  const std::vector<WorkerFacts> workers{ Worker("one", 0), Worker("two", 0) };
  TaskFacts urgent = Batch("service", 1000);
  urgent.kind_ = WorkKind::Service;
  urgent.declared_.milliCpus_ = 12000;
  cr_assert(placement.Choose(urgent, workers, At(0)).has_value());
  TaskFacts batch = Batch("batch", 1000);
  batch.declared_.milliCpus_ = 8000;
  cr_assert_not(placement.Choose(batch, workers, At(1000)).has_value());
  cr_assert(placement.Choose(batch, workers, At(11000)).has_value());
}
