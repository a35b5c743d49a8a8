#include "Bench.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <sstream>

using namespace cactusrail;

namespace {

constexpr std::int64_t kMemoryMb = 100;

/**
 * A worker's line "started TASK EPOCH CHECKPOINT" or "ended TASK EPOCH REASON
 * CHECKPOINT".
 */
struct WorkerLine
{
  explicit WorkerLine(const std::string& aLine)
  {
    std::istringstream words(aLine);
    words >> event_ >> task_ >> epoch_;
    if (event_ == "ended") {
      words >> reason_;
    }
    words >> checkpoint_;
  }

  std::string Job() const { return task_.substr(0, task_.rfind('.')); }

  std::string event_;
  std::string task_;
  std::uint64_t epoch_ = 0;
  std::string reason_;
  std::string checkpoint_;
};

/** Returns the lines of one event, or of all events in order if it is empty. */
std::vector<WorkerLine>
LinesOf(Child& aWorker, const std::string& aEvent = {})
{
  std::vector<WorkerLine> lines;
  for (const std::string& text : aWorker.Lines(aEvent)) {
    const WorkerLine line(text);
    if (line.event_ == "started" || line.event_ == "ended") {
      lines.push_back(line);
    }
  }
  return lines;
}

std::map<std::string, std::size_t>
StartsByTask(Child& aWorker)
{
  std::map<std::string, std::size_t> starts;
  for (const WorkerLine& line : LinesOf(aWorker, "started ")) {
    ++starts[line.task_];
  }
  return starts;
}

/** Returns a batch job whose tasks must not run twice. */
JobSpec
Payouts(const std::string& aId,
        std::uint32_t aTasks,
        std::int64_t aMilliCpus,
        std::uint64_t aRunMs)
{
  JobSpec job;
  job.id_ = aId;
  job.kind_ = WorkKind::Batch;
  job.tenant_ = "clerk";
  job.program_ = "payouts";
  job.tasks_ = aTasks;
  job.declared_ = { aMilliCpus, kMemoryMb, 0 };
  job.declaredRunMs_ = aRunMs;
  return job;
}

/** Starts a platform and two entries, and configures them. */
void
StartEntries(Bench& aBench)
{
  aBench.StartPlatform();
  aBench.StartEntry("entry1");
  aBench.StartEntry("entry2");
  aBench.Configure("entry1");
}

std::string
OtherEntry(const std::string& aEntry)
{
  return aEntry == "entry1" ? "entry2" : "entry1";
}

int
Evict(Bench& aBench, const std::string& aEntry, const std::string& aTask)
{
  const auto got = aBench.Ask("POST",
                              "http://" + aBench[aEntry].Value("operators") +
                                "/v1/evict?task=" + aTask);
  const auto* reply = std::get_if<HttpReply>(&got);
  return reply == nullptr ? 0 : reply->status_;
}

}

// Guards against duplicate runs when the owner of a cell is killed. The entry
// that takes the cell over doesn't know the tasks and could start them again.
// Some tasks end while the cell has no owner, some run on under the new owner,
// some are pending.
Test(Work, Promise2OwnerKilled)
{
  Bench bench;
  StartEntries(bench);
  Child& worker = bench.StartWorker("worker1", { "--milli-cpus", "4000" });
  const std::string owner = bench.WaitForCellOwner("entry1");
  const std::string other = OtherEntry(owner);
  bench.CreateJobs({ owner }, { Payouts("long", 2, 1000, 16000) });
  bench.WaitForLines("worker1", "started long.", 2);
  bench.CreateJobs({ owner }, { Payouts("short", 4, 1000, 2000) });
  bench.WaitForLines("worker1", "started short.", 2);
  bench[owner].Kill();
  const std::size_t startsBefore = LinesOf(worker, "started ").size();
  WaitUntil([&] { return bench.WaitForCellOwner(other) == other; },
            other + " to take the cell");
  const std::size_t endedBefore = LinesOf(worker, "ended ").size();
  bench.WaitForJob(other, "short");
  bench.WaitForJob(other, "long");
  const auto starts = StartsByTask(worker);
  cr_assert(starts.size() == 6);
  for (const auto& [task, count] : starts) {
    cr_assert(count == 1, "%s was started %zu times.", task.c_str(), count);
  }
  const auto ended = LinesOf(worker, "ended ");
  cr_assert(ended.size() == 6);
  for (const WorkerLine& line : ended) {
    cr_assert(line.reason_ == "completed",
              "%s ended: %s",
              line.task_.c_str(),
              line.reason_.c_str());
  }
  std::cerr << "owner-killed: started before the kill=" << startsBefore
            << " ended before the adoption=" << endedBefore
            << " started in all=" << starts.size() << std::endl;
}

// Guards against overcommitted workers. A host stalls and two entries race for
// its cell, each placing work without knowing of the other's. The worker's real
// capacity exceeds the stated one, so that it refuses nothing and only the
// entries' guards are tested.
Test(Work, Promise1NeverMoreThanAWorkerHolds)
{
  constexpr std::int64_t kStatedMilliCpus = 4000;
  Bench bench;
  StartEntries(bench);
  std::vector<JobSpec> jobs;
  std::map<std::string, std::int64_t> milliCpus;
  for (int number = 0; number < 6; ++number) {
    const std::string id = "job" + std::to_string(number);
    jobs.push_back(Payouts(id, 3, 1000 + 500 * (number % 3), 300));
    milliCpus[id] = jobs.back().declared_.milliCpus_;
  }
  Child& worker = bench.StartWorker(
    "worker1", { "--milli-cpus", "64000", "--stated-milli-cpus", "4000" });
  bench.CreateJobs({ "entry1", "entry2" }, jobs);
  for (const JobSpec& job : jobs) {
    bench.WaitForJob("entry1", job.id_);
  }
  std::int64_t running = 0;
  std::int64_t most = 0;
  for (const WorkerLine& line : LinesOf(worker)) {
    const std::int64_t size = milliCpus.at(line.Job());
    running += line.event_ == "started" ? size : -size;
    most = std::max(most, running);
    cr_assert(running <= kStatedMilliCpus,
              "The worker ran %lld of %lld thousandths of a processor.",
              static_cast<long long>(running),
              static_cast<long long>(kStatedMilliCpus));
  }
  const auto starts = StartsByTask(worker);
  cr_assert(starts.size() == 18);
  cr_assert(running == 0);
  std::cerr << "never-more: most=" << most << " of " << kStatedMilliCpus
            << " started=" << starts.size() << std::endl;
}

// Guards against resuming an evicted task twice or from an older checkpoint.
// Two operators evict it at once, one of them twice, while the worker is
// frozen, so that all evictions refer to the same run.
Test(Work, Promise3EvictedResumesOnce)
{
  Bench bench;
  StartEntries(bench);
  Child& worker = bench.StartWorker("worker1");
  const std::string owner = bench.WaitForCellOwner("entry1");
  bench.CreateJobs({ owner }, { Payouts("batch", 1, 1000, 3000) });
  bench.WaitForLines("worker1", "started ", 1);
  worker.Signal(SIGSTOP);
  const int first = Evict(bench, owner, "batch.0");
  const int second = Evict(bench, OtherEntry(owner), "batch.0");
  const int third = Evict(bench, owner, "batch.0");
  worker.Signal(SIGCONT);
  cr_assert(first == 200 && third == 200);
  cr_assert(second == 404, "The other entry doesn't hold the task.");
  bench.WaitForJob(owner, "batch");
  const auto started = LinesOf(worker, "started ");
  const auto ended = LinesOf(worker, "ended ");
  cr_assert(started.size() == 2, "It started %zu times.", started.size());
  cr_assert(ended.size() == 2, "It ended %zu times.", ended.size());
  cr_assert(ended[0].reason_ == "stopped");
  cr_assert(!ended[0].checkpoint_.empty());
  cr_assert(started[1].checkpoint_ == ended[0].checkpoint_,
            "It resumed from '%s', not from '%s'.",
            started[1].checkpoint_.c_str(),
            ended[0].checkpoint_.c_str());
  cr_assert(started[1].epoch_ > started[0].epoch_);
  cr_assert(ended[1].reason_ == "completed");
  std::cerr << "evicted: resumed from " << started[1].checkpoint_ << std::endl;
}
