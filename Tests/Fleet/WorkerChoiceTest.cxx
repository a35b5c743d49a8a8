#include "Process/WorkerChoice.h"
#include "FleetWorld.h"

#include <criterion/criterion.h>

#include <span>
#include <string>
#include <vector>

using namespace cactusrail;

namespace {

FleetWorker
Worker(const std::string& aNode)
{
  FleetWorker worker;
  worker.node_ = aNode;
  worker.synced_ = true;
  worker.linked_ = true;
  worker.registered_ = true;
  worker.facts_.id_ = aNode + "-1";
  worker.facts_.service_ = "service";
  worker.facts_.answers_ = true;
  worker.facts_.room_ = { 64000, 256000, 0 };
  return worker;
}

StepSpec
Backfill()
{
  StepSpec step;
  step.cpuMilli_ = 7000;
  step.memoryMb_ = 13000;
  step.backfill_ = true;
  step.image_ = "batch";
  return step;
}

ChoiceFacts
FactsOf(const StepSpec& aStep)
{
  ChoiceFacts facts;
  facts.step_ = &aStep;
  facts.service_ = "service";
  facts.now_ = At(100000);
  return facts;
}

}

// Guards against a start beside an unknown run. The run uses resources of
// unknown size, so the start may exceed the capacity of a worker that does not
// enforce it.
Test(WorkerChoice, NothingStartsBesideAnUnknownRun)
{
  FleetWorker worker = Worker("w");
  WorkerOption option;
  option.worker_ = &worker;
  const StepSpec step = Backfill();
  cr_assert(MayRunOn(option, FactsOf(step)));
  worker.unknownRuns_.emplace("unknown.0.0.0", 1);
  cr_assert_not(MayRunOn(option, FactsOf(step)));
}

// A step allows at most two of its tasks per worker, so that the loss of a
// worker stops no more of them.
Test(WorkerChoice, TasksPerWorkerAreLimited)
{
  FleetWorker worker = Worker("w");
  WorkerOption option;
  option.worker_ = &worker;
  StepSpec step = Backfill();
  step.maxPerWorker_ = 2;
  option.sameStep_ = 1;
  cr_assert(MayRunOn(option, FactsOf(step)));
  option.sameStep_ = 2;
  cr_assert_not(MayRunOn(option, FactsOf(step)));
}

// Guards against a job that fails because the last attempt of its task goes
// back to the worker on which the task has just failed, or to one that fails
// whatever it starts, while others are only full.
Test(WorkerChoice, LastAttemptWaitsForATrustedWorker)
{
  FleetWorker failed = Worker("failed");
  FleetWorker suspect = Worker("suspect");
  FleetWorker full = Worker("full");
  full.used_.memoryMb_ = full.facts_.room_.memoryMb_;
  std::vector<WorkerOption> options(3);
  options[0].worker_ = &failed;
  options[1].worker_ = &suspect;
  options[1].suspect_ = true;
  options[2].worker_ = &full;
  const StepSpec step = Backfill();
  const std::vector<std::string> avoided{ "failed" };
  ChoiceFacts facts = FactsOf(step);
  facts.avoid_ = avoided;
  cr_assert_eq(ChooseWorker(options, facts), 1);
  facts.lastAttempt_ = true;
  cr_assert_not(ChooseWorker(options, facts).has_value());
  full.used_.memoryMb_ = 0;
  cr_assert_eq(ChooseWorker(options, facts), 2);
}

// Guards against a last attempt that waits forever, because no worker that may
// run the task is trusted.
Test(WorkerChoice, LastAttemptTakesASuspectWhereNoWorkerIsTrusted)
{
  FleetWorker failed = Worker("failed");
  WorkerOption option;
  option.worker_ = &failed;
  option.suspect_ = true;
  const StepSpec step = Backfill();
  ChoiceFacts facts = FactsOf(step);
  facts.lastAttempt_ = true;
  cr_assert(ChooseWorker(std::span(&option, 1), facts).has_value());
}

// Guards against work that waits for a cordon to end, because the only worker
// that is not cordoned counts although long-running tasks fill it for good.
Test(WorkerChoice, CordonedWorkerIsUsedWhereTheOthersStayFull)
{
  FleetWorker cordoned = Worker("cordoned");
  FleetWorker full = Worker("full");
  full.used_ = full.facts_.room_;
  std::vector<WorkerOption> options(2);
  options[0].worker_ = &cordoned;
  options[0].cordoned_ = true;
  options[1].worker_ = &full;
  StepSpec step;
  step.cpuMilli_ = 7000;
  const ChoiceFacts facts = FactsOf(step);
  cr_assert_not(ChooseWorker(options, facts).has_value(), "It gets free.");
  full.longRunningUsed_ = full.used_;
  cr_assert_eq(ChooseWorker(options, facts), 0);
}

// Guards against processors that stay idle beside serving tasks with little
// load, while backfill waits: 40 of 64 processors are declared, and a fifth of
// them is used.
Test(WorkerChoice, BackfillGetsWhatLightlyLoadedServingTasksLeave)
{
  FleetWorker worker = Worker("w");
  worker.serving_ = 4;
  worker.used_.cpuMilli_ = 40000;
  worker.servingCpuMilli_ = 40000;
  worker.backfillCpuMilli_ = 49000;
  WorkerOption option;
  option.worker_ = &worker;
  const StepSpec step = Backfill();
  const ChoiceFacts facts = FactsOf(step);
  cr_assert_not(ChooseWorker(std::span(&option, 1), facts).has_value());
  worker.servingUseShare_ = 0.2;
  cr_assert(ChooseWorker(std::span(&option, 1), facts).has_value());
  worker.servingUseShare_ = 0.9;
  cr_assert_not(ChooseWorker(std::span(&option, 1), facts).has_value());
}
