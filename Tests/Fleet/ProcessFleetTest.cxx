#include "ProcessFleet.h"

#include <criterion/criterion.h>

#include <QCoreApplication>

#include <algorithm>

using namespace cactusrail;

namespace {

/** Qt application; each test runs in a separate process and creates one. */
struct Application
{
  int argc_ = 1;
  char name_[5] = "test";
  char* argv_[2] = { name_, nullptr };
  QCoreApplication application_{ argc_, argv_ };
};

/** Waits until the fleet has completed a first job. */
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

/** Returns the number of runs of all tasks of a job that are at work. */
std::size_t
RunsOfJob(ProcessFleet& aFleet, std::size_t aSides, const std::string& aJob)
{
  std::size_t runs = 0;
  for (std::size_t i = 0; i < aSides; ++i) {
    // Ends the runs whose lease has expired without a call from the side.
    aFleet.Worker(i).Advance(ReadMonotonicClock());
    for (const WorkerFake::Run& run : aFleet.Worker(i).runs_) {
      runs += run.task_.starts_with(aJob + ".") ? 1 : 0;
    }
  }
  return runs;
}

}

Test(ProcessFleet, JobCompletesThroughEveryEntry)
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

// Guards against shares of the wrong data centre: a job belongs to that of the
// entry that accepted it, not to the leader's.
Test(ProcessFleet, JobIsStoredWithTheDataCentreOfItsEntry)
{
  const Application application;
  ProcessFleet fleet(2, 1);
  WarmUp(fleet);
  for (std::size_t entry = 0; entry < 2; ++entry) {
    const std::string id = "job" + std::to_string(entry);
    cr_assert_eq(fleet.Ask(entry, "POST", id, "1").status_, 200);
    const Row& row = MemoryTables::OfTest().rows_.at(JobRowId(id));
    const Result<JobDescription> job = DecodeRecord<JobDescription>(row.value_);
    cr_assert(std::holds_alternative<JobDescription>(job));
    const std::string centre = "centre" + std::to_string(entry);
    cr_assert_eq(std::get<JobDescription>(job).dataCentre_, centre);
  }
}

// Guards against a task that runs again or a job that does not complete,
// because entries are stopped while the fleet works.
Test(ProcessFleet, TasksRunOnceWhenEntriesStopInTurn)
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

// Guards against tasks that run twice concurrently: the table applies the row
// of a side's earlier incarnation late, and the leader reopens the link. Orders
// sent before the side's first report would be treated as lost.
Test(ProcessFleet, LateRowOfPastIncarnationStartsNoTaskTwice)
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

// Guards against a job that runs although it was refused. While the table is
// unavailable, callers must be told at once that the job was not accepted.
Test(ProcessFleet, RefusedJobNeverRuns)
{
  const Application application;
  ProcessFleet fleet(2, 1);
  WarmUp(fleet);
  MemoryTables::OfTest().unavailable_ = true;
  cr_assert_eq(fleet.Ask(0, "POST", "refused", "1").status_, 503);
  cr_assert_eq(fleet.Ask(1, "POST", "refused", "1").status_, 503);
  MemoryTables::OfTest().unavailable_ = false;
  cr_assert_eq(fleet.Ask(0, "POST", "taken", "1").status_, 200);
  cr_assert(fleet.Completes(0, "taken"));
  cr_assert_eq(fleet.Ask(0, "GET", "refused").status_, 410);
  cr_assert_eq(StartsOf(fleet, 1, "refused.0.0.0"), 0);
}

// Guards against a stored job that is reported as not accepted, because its
// write takes effect and the answer is lost.
Test(ProcessFleet, JobWithUnknownOutcomeIsNeverReportedRefused)
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

// Guards against a cancelled job that runs: its write is still open when the
// cancellation is acknowledged, and takes effect later.
Test(ProcessFleet, CancelledJobThatIsStoredLateNeverRuns)
{
  const Application application;
  ProcessFleet fleet(2, 1);
  WarmUp(fleet);
  MemoryTables& tables = MemoryTables::OfTest();
  tables.lateRow_ = JobRowId("late");
  cr_assert_eq(fleet.Ask(0, "POST", "late", "1").status_, 504);
  tables.lateRow_.reset();
  cr_assert_eq(fleet.Ask(1, "GET", "late").status_, 410);
  cr_assert_eq(fleet.Ask(1, "DELETE", "late").status_, 410);
  tables.ApplyLateWrites();
  cr_assert(tables.rows_.contains(JobRowId("late")));
  cr_assert_eq(fleet.Ask(0, "POST", "after", "1").status_, 200);
  cr_assert(fleet.Completes(0, "after"));
  cr_assert_eq(StartsOf(fleet, 1, "late.0.0.0"), 0);
  for (std::size_t entry = 0; entry < 2; ++entry) {
    cr_assert_eq(fleet.Ask(entry, "GET", "late").body_, "cancelled");
  }
}

// Guards against cancellations of jobs that never come, which would stay in the
// table and in the leader's memory for good.
Test(ProcessFleet, CancellationWithoutAJobIsRemovedAfterTheRetentionTime)
{
  const Application application;
  ProcessFleet fleet(1, 1, 1, FleetFeatures(), Millis(1));
  WarmUp(fleet);
  cr_assert_eq(fleet.Ask(0, "DELETE", "never").status_, 410);
  const auto& rows = MemoryTables::OfTest().rows_;
  cr_assert(rows.contains(CancelRowId("never")));
  cr_assert(
    fleet.Wait([&rows] { return !rows.contains(CancelRowId("never")); }));
  cr_assert_eq(fleet.Ask(0, "POST", "never", "1").status_, 200);
  cr_assert(
    fleet.Wait([&fleet] { return StartsOf(fleet, 1, "never.0.0.0") == 1; }));
}

// Guards against a stale row of a side that was stopped after its worker left.
// With such a row the next leader defers all older work until that side can
// have no lease any more.
Test(ProcessFleet, LeavingSideRemovesItsRow)
{
  const Application application;
  ProcessFleet fleet(1, 2);
  WarmUp(fleet);
  fleet.LeavePermanently(0);
  fleet.StopSide(0);
  const auto& rows = MemoryTables::OfTest().rows_;
  cr_assert_not(rows.contains(MemberRowId(fleet.SideName(0))));
  cr_assert(rows.contains(MemberRowId(fleet.SideName(1))));
}

// Guards against tasks that run twice: a side that is stopped again right after
// its start does not know its worker yet and removes its row, and the next
// leader does not wait for the runs beside it.
Test(ProcessFleet, SideStoppedBeforeItKnowsItsWorkerKeepsItsRow)
{
  const Application application;
  ProcessFleet fleet(2, 2);
  WarmUp(fleet);
  for (std::size_t side = 0; side < 2; ++side) {
    fleet.Worker(side).taskTime_ = Millis(600000);
  }
  cr_assert_eq(fleet.Ask(0, "POST", "long", "4").status_, 200);
  cr_assert(fleet.Wait([&fleet] { return RunsOfJob(fleet, 2, "long") == 4; }));
  const std::size_t restarted = fleet.Worker(0).runs_.empty() ? 1 : 0;
  const RowId id = MemberRowId(fleet.SideName(restarted));
  const auto& rows = MemoryTables::OfTest().rows_;
  const std::uint64_t former = rows.at(id).version_;

  fleet.SetAnnounces(restarted, false);
  fleet.StopSide(restarted);
  fleet.StartSide(restarted);
  cr_assert(fleet.Wait([&] { return rows.at(id).version_ != former; }));
  fleet.StopSide(restarted);
  cr_assert(rows.contains(id));

  const std::size_t next = ProcessFleet::Leader() == "entry0" ? 1 : 0;
  fleet.StopEntry(1 - next);
  cr_assert(fleet.Wait([&fleet, next] {
    return fleet.Ask(next, "POST", "after", "1").status_ == 200;
  }));
  cr_assert(fleet.Wait([&fleet] { return RunsOfJob(fleet, 2, "after") == 1; }));
  cr_assert_leq(RunsOfJob(fleet, 2, "long"), 4);
}

namespace {

/** Replaces the row of a side that has runs by a row of another writer, and
 * checks that the next leader starts none of its tasks elsewhere. */
void
ReplaceRowAndChangeLeader(const std::string& aRow)
{
  const Application application;
  ProcessFleet fleet(2, 2);
  WarmUp(fleet);
  for (std::size_t side = 0; side < 2; ++side) {
    fleet.Worker(side).taskTime_ = Millis(600000);
  }
  cr_assert_eq(fleet.Ask(0, "POST", "long", "4").status_, 200);
  cr_assert(fleet.Wait([&fleet] { return RunsOfJob(fleet, 2, "long") == 4; }));
  const std::size_t replaced = fleet.Worker(0).runs_.empty() ? 1 : 0;
  const RowId id = MemberRowId(fleet.SideName(replaced));
  RowTransaction odd;
  odd.puts_.push_back({ id, aRow });
  odd.puts_.push_back({ MemberRowId("nobody"), aRow });
  MemoryTables::OfTest().Apply(odd);

  const std::size_t next = ProcessFleet::Leader() == "entry0" ? 1 : 0;
  fleet.StopEntry(1 - next);
  cr_assert(fleet.Wait([&fleet, next] {
    return fleet.Ask(next, "POST", "after", "1").status_ == 200;
  }));
  cr_assert(fleet.Wait([&fleet] { return RunsOfJob(fleet, 2, "after") == 1; }));
  cr_assert_leq(RunsOfJob(fleet, 2, "long"), 4);
  // The side writes its row again, and its runs are still there.
  cr_assert(fleet.Wait([&id, &aRow] {
    return MemoryTables::OfTest().rows_.at(id).value_ != aRow;
  }));
  cr_assert_eq(fleet.Ask(next, "DELETE", "long").status_, 200);
  cr_assert(fleet.Wait([&fleet] { return RunsOfJob(fleet, 2, "long") == 0; }));
}

}

// Guards against tasks that run twice: a leader ignored the row of a side that
// another writer had replaced, and did not wait for its runs.
Test(ProcessFleet, NestedTextInPlaceOfASidesRowStartsNoTaskTwice)
{
  ReplaceRowAndChangeLeader(std::string(10000, '['));
}

// The same for a row that states a length of 2^63 bytes.
Test(ProcessFleet, TooLargeNumberInPlaceOfASidesRowStartsNoTaskTwice)
{
  std::string row = EncodeRecord(std::string());
  row.back() = static_cast<char>(0x80);
  ReplaceRowAndChangeLeader(row);
}

// The same for an address whose port is out of range; a leader dropped its link
// to the side as well.
Test(ProcessFleet, PortOutOfRangeInASidesRowStartsNoTaskTwice)
{
  ReplaceRowAndChangeLeader(
    EncodeRecord(MemberRecord{ "127.0.0.1:70001", "other" }));
}

// Guards against a leader on a host with an eighth of a processor, which falls
// seconds behind, so that callers wait and watchers are not running. Such a
// host may read an expired lease first, as each entry reads it every 0.7 s, and
// must hand over once a larger entry is available.
Test(ProcessFleet, SmallHostYieldsToLargerHost)
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

// Guards against a leader that waits for a side without a worker. The host
// restarts after a power failure and is lost again. If its side registers on
// start, old work is deferred until the side can have no lease any more: it was
// `started` at 35.3 s, and old work ran from 45 s on.
Test(ProcessFleet, SideWithoutWorkerDoesNotRegister)
{
  const Application application;
  ProcessFleet fleet(1, 2);
  WarmUp(fleet);
  fleet.LeavePermanently(0);
  fleet.StopSide(0);
  const RowId row = MemberRowId(fleet.SideName(0));
  const auto& rows = MemoryTables::OfTest().rows_;
  cr_assert_not(rows.contains(row));
  const std::size_t asked = fleet.Worker(0).calls_;
  fleet.StartSide(0);
  // The side has detected that no worker is running.
  constexpr std::size_t kPortChecks = 3;
  cr_assert(fleet.Wait(
    [&fleet, asked] { return fleet.Worker(0).calls_ >= asked + kPortChecks; }));
  cr_assert_not(rows.contains(row));
}

// Guards against an evacuation that never reaches the leader, or that lasts
// because its removal fell into a gap of the table's history.
Test(ProcessFleet, EvacuationHoldsUntilItsRemovalIsReadAnew)
{
  const Application application;
  ProcessFleet fleet(1, 2);
  WarmUp(fleet);
  fleet.Evacuate(0, true);
  const std::size_t before = fleet.Worker(0).started_.size();
  cr_assert(fleet.Wait([] {
    const MetricsSnapshot metrics = Metrics::OfProcess().Snapshot();
    return std::any_of(
      metrics.gauges_.begin(), metrics.gauges_.end(), [](const auto& aGauge) {
        return aGauge.name_ == "evacuated_data_centres" && aGauge.value_ == 1;
      });
  }));
  cr_assert_eq(fleet.Ask(0, "POST", "meanwhile", "6").status_, 200);
  cr_assert(fleet.Completes(0, "meanwhile"));
  cr_assert_eq(fleet.Worker(0).started_.size(), before);
  fleet.Evacuate(0, false);
  MemoryTables::OfTest().ExpireHistory();
  for (int job = 0; fleet.Worker(0).started_.size() == before; ++job) {
    cr_assert_lt(job, 100, "The data centre stays evacuated.");
    const std::string name = "after" + std::to_string(job);
    cr_assert_eq(fleet.Ask(0, "POST", name, "6").status_, 200);
    cr_assert(fleet.Completes(0, name));
  }
}
