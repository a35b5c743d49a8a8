// Counts the table writes and reads per task on the virtual clock. At the
// target size several thousand leases are renewed continuously; one write per
// renewal would overload the table service.

#include "../Golden/WorkWorld.h"

#include <criterion/criterion.h>

#include <iostream>

using namespace cactusrail;

namespace {

constexpr WorkWorld::Micros64 kSecond = 1000000;
constexpr std::uint32_t kTasks = 192;

void
Build(WorkWorld& aWorld)
{
  for (const char* name : { "w1", "w2", "w3", "w4" }) {
    aWorld.AddWorker(name, "r1", { 64000, 250000, 0 });
  }
  aWorld.AddEntry("e1");
  aWorld.Run(5 * kSecond);
}

void
Create(WorkWorld& aWorld, std::uint64_t aRunMs)
{
  VerbRequest request;
  request.verb_ = "create";
  request.operationId_ = "create";
  request.spec_.id_ = "job";
  request.spec_.tasks_ = kTasks;
  request.spec_.declared_ = { 1000, 100, 0 };
  request.spec_.declaredRunMs_ = aRunMs;
  aWorld.Ask("e1", request);
}

}

Test(WorkCost, RenewalsWriteNothing)
{
  WorkWorld::Options options;
  options.traced_ = false;
  WorkWorld idle(options);
  Build(idle);
  idle.Run(10 * kSecond);
  WorkWorld busy(options);
  Build(busy);
  Create(busy, 0);
  busy.Run(10 * kSecond);
  const std::uint64_t idleBefore = idle.Writes();
  const std::uint64_t busyBefore = busy.Writes();
  idle.Run(60 * kSecond);
  busy.Run(60 * kSecond);
  const std::uint64_t idleWrites = idle.Writes() - idleBefore;
  const std::uint64_t busyWrites = busy.Writes() - busyBefore;
  std::cerr << "in 60 s: writes with no task " << idleWrites << ", with "
            << busy.Starts() << " tasks running " << busyWrites
            << "; the cell's row has "
            << busy.Rows().at("cell/dc1/r1").value_.size() << " bytes\n";
  cr_assert(busy.Starts() == kTasks);
  cr_assert(busyWrites == idleWrites);
}

Test(WorkCost, StartsAndFinishesShareWrites)
{
  WorkWorld::Options options;
  options.traced_ = false;
  WorkWorld world(options);
  Build(world);
  const std::uint64_t reads = world.Reads();
  const std::uint64_t writes = world.ChangingWrites();
  Create(world, 3000);
  world.Run(15 * kSecond);
  const std::uint64_t changing = world.ChangingWrites() - writes;
  std::cerr << "tasks " << world.Starts() << ": writes that create, place or "
            << "release " << changing << ", reads in 15 s by one entry "
            << world.Reads() - reads << '\n';
  cr_assert(world.Starts() == kTasks);
  cr_assert(world.Rows().contains("done/job"));
  // One write creates the job, three place 192 tasks in batches of 64, and the
  // rest release the tasks that ended in each tick.
  cr_assert(changing <= kTasks / 4);
}
