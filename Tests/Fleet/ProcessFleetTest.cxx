#include "ProcessFleet.h"

#include <criterion/criterion.h>

#include <QCoreApplication>

using namespace cactusrail;

namespace {

/** Each test is a process of its own, so it has its own application. */
struct Application
{
  int argc_ = 1;
  char name_[5] = "test";
  char* argv_[2] = { name_, nullptr };
  QCoreApplication application_{ argc_, argv_ };
};

/** Waits until a first job has gone through: the fleet is at work. */
void
WarmUp(ProcessFleet& aFleet)
{
  cr_assert(aFleet.Wait(
    [&aFleet] { return aFleet.Ask(0, "POST", "warm", "1").status_ == 200; }));
  cr_assert(aFleet.Completes(0, "warm"));
}

std::size_t
StartsOf(ProcessFleet& aFleet, std::size_t aSides, const std::string& aTask)
{
  std::size_t starts = 0;
  for (std::size_t i = 0; i < aSides; ++i) {
    for (const std::string& started : aFleet.Worker(i).started_) {
      starts += started.starts_with(aTask + "/") ? 1 : 0;
    }
  }
  return starts;
}

}

Test(ProcessFleet, JobGoesThroughEveryEntry)
{
  const Application application;
  ProcessFleet fleet(3, 2);
  WarmUp(fleet);
  for (std::size_t entry = 0; entry < 3; ++entry) {
    const std::string job = "job" + std::to_string(entry);
    cr_assert_eq(fleet.Ask(entry, "POST", job, "4").status_, 200);
    cr_assert(fleet.Completes(entry, job));
    cr_assert_eq(fleet.Ask(entry, "POST", job, "4").status_, 200, "a repeat");
  }
  cr_assert_eq(fleet.Ask(1, "GET", "never").status_, 410);
  cr_assert_eq(fleet.Ask(1, "DELETE", "never").status_, 410);
  cr_assert_eq(StartsOf(fleet, 2, "job1.0.0.0"), 1);
}

// An entry is stopped while its fleet works. Callers of the others notice
// nothing, and no task runs again.
Test(ProcessFleet, WorkGoesOnWhenEntriesStopInTurn)
{
  const Application application;
  ProcessFleet fleet(3, 2);
  WarmUp(fleet);
  fleet.Worker(0).taskTime_ = Millis(3000);
  fleet.Worker(1).taskTime_ = Millis(3000);
  cr_assert_eq(fleet.Ask(2, "POST", "long", "4").status_, 200);
  cr_assert(
    fleet.Wait([&fleet] { return StartsOf(fleet, 2, "long.0.0.3") > 0; }));
  fleet.StopEntry(0);
  fleet.StopEntry(1);
  cr_assert(fleet.Completes(2, "long"));
  for (int i = 0; i < 4; ++i) {
    cr_assert_eq(StartsOf(fleet, 2, "long.0.0." + std::to_string(i)), 1);
  }
}

// The table keeps the row of a side's former life back and writes it late. The
// leader linked anew and sent orders before the side's first report; they were
// taken for lost, and their tasks ran twice at the same time.
Test(ProcessFleet, LateRowOfAFormerLifeStartsNothingTwice)
{
  const Application application;
  ProcessFleet fleet(1, 1);
  WarmUp(fleet);
  constexpr int kRounds = 12;
  for (int round = 0; round < kRounds; ++round) {
    RowTransaction late;
    const MemberRecord former{ fleet.SideLinks(0),
                               "former" + std::to_string(round) };
    late.puts_.push_back(
      { MemberRowId(fleet.SideName(0)), EncodeRecord(former) });
    MemoryTables::OfTest().Apply(late);
    const std::string job = "job" + std::to_string(round);
    cr_assert_eq(fleet.Ask(0, "POST", job, "3").status_, 200);
    cr_assert(fleet.Completes(0, job));
    for (int i = 0; i < 3; ++i) {
      cr_assert_eq(StartsOf(fleet, 1, job + ".0.0." + std::to_string(i)), 1);
    }
  }
}

// The table is away. A caller must hear at once that its job was not taken, and
// the job must never run.
Test(ProcessFleet, RefusedJobNeverRuns)
{
  const Application application;
  ProcessFleet fleet(2, 1);
  WarmUp(fleet);
  MemoryTables::OfTest().away_ = true;
  cr_assert_eq(fleet.Ask(0, "POST", "refused", "1").status_, 503);
  cr_assert_eq(fleet.Ask(1, "POST", "refused", "1").status_, 503);
  MemoryTables::OfTest().away_ = false;
  cr_assert_eq(fleet.Ask(0, "POST", "taken", "1").status_, 200);
  cr_assert(fleet.Completes(0, "taken"));
  cr_assert_eq(fleet.Ask(0, "GET", "refused").status_, 410);
  cr_assert_eq(StartsOf(fleet, 1, "refused.0.0.0"), 0);
}

// Writes take effect and their answers are lost. The job is in the table, so
// the caller must not be told that it was not taken.
Test(ProcessFleet, JobInDoubtIsNeverCalledRefused)
{
  const Application application;
  ProcessFleet fleet(2, 1);
  WarmUp(fleet);
  MemoryTables::OfTest().losesAnswers_ = true;
  const int status = fleet.Ask(0, "POST", "doubt", "1").status_;
  cr_assert_neq(status, 503);
  MemoryTables::OfTest().losesAnswers_ = false;
  cr_assert(fleet.Completes(0, "doubt"));
  cr_assert_eq(StartsOf(fleet, 1, "doubt.0.0.0"), 1);
}

// A host leaves for good: its worker says farewell, its side is stopped. Its
// row stayed in the table, and the next leader held all older work back until
// that side could hold no lease any more.
Test(ProcessFleet, LeavingSideTakesItsRowAlong)
{
  const Application application;
  ProcessFleet fleet(1, 2);
  WarmUp(fleet);
  fleet.LeaveForGood(0);
  fleet.StopSide(0);
  const auto& rows = MemoryTables::OfTest().rows_;
  cr_assert_not(rows.contains(MemberRowId(fleet.SideName(0))));
  cr_assert(rows.contains(MemberRowId(fleet.SideName(1))));
}

// The leader's host is lost, and of the entries that look at its lease every
// 0.7 s a small one happens to look first: it leads. With an eighth of a
// processor it is seconds behind for the rest of the day, so callers wait and
// watchers stay away. It hands over as soon as a larger entry is there.
Test(ProcessFleet, SmallHostHandsTheLeadToALargerOne)
{
  const Application application;
  constexpr double kSmall = 0.12;
  constexpr double kLarge = 0.5;
  ProcessFleet fleet(1, 2, kSmall);
  WarmUp(fleet);
  cr_assert_eq(ProcessFleet::Leader(), "entry0");
  fleet.AddEntry(kSmall);
  cr_assert_eq(fleet.Ask(0, "POST", "before", "4").status_, 200);
  fleet.AddEntry(kLarge);
  cr_assert(fleet.Wait([] { return ProcessFleet::Leader() == "entry2"; }));
  cr_assert(fleet.Completes(2, "before"));
  cr_assert_eq(fleet.Ask(0, "POST", "after", "4").status_, 200);
  cr_assert(fleet.Completes(1, "after"));
  cr_assert_eq(ProcessFleet::Leader(), "entry2");
  for (int i = 0; i < 4; ++i) {
    cr_assert_eq(StartsOf(fleet, 2, "before.0.0." + std::to_string(i)), 1);
    cr_assert_eq(StartsOf(fleet, 2, "after.0.0." + std::to_string(i)), 1);
  }
}

// A host whose worker has left for good comes back with the power and is gone a
// moment later. Its side had written its row as soon as it started, so the
// leader waited for it, and held all older work back until it could hold no
// lease any more: `started` at 35.3 s, old work from 45 s on.
Test(ProcessFleet, SideThatHasNoWorkerIsNotWaitedFor)
{
  const Application application;
  ProcessFleet fleet(1, 2);
  WarmUp(fleet);
  fleet.LeaveForGood(0);
  fleet.StopSide(0);
  const RowId row = MemberRowId(fleet.SideName(0));
  const auto& rows = MemoryTables::OfTest().rows_;
  cr_assert_not(rows.contains(row));
  const std::size_t asked = fleet.Worker(0).calls_;
  fleet.StartSide(0);
  // It has found out that nothing is there.
  constexpr std::size_t kKnocks = 3;
  cr_assert(fleet.Wait(
    [&fleet, asked] { return fleet.Worker(0).calls_ >= asked + kKnocks; }));
  cr_assert_not(rows.contains(row));
}
