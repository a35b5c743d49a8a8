#include "Process/WorkerChoice.h"
#include "FleetWorld.h"

#include <criterion/criterion.h>

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
