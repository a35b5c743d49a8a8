#include "FleetWorld.h"
#include "Seeds.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <string>

using namespace cactusrail;

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr unsigned kSeeds = 25;
#else
constexpr unsigned kSeeds = 200;
#endif

constexpr std::size_t kHosts = 6;
constexpr int kRounds = 40;
constexpr Millis kTimeToEnd{ 45000 };

/** Kinds of jobs beside those of one step that runs once. */
struct JobKinds
{
  bool gangs_ = false;
  bool timed_ = false;
};

/** Random jobs and faults in one world. */
class Trial
{
public:
  Trial(unsigned aSeed, JobKinds aKinds)
    : random_(aSeed)
    , kinds_(aKinds)
    , world_(kHosts, { 4000, 64000, 0 })
  {
    world_.gangsEndTogether_ = true;
    world_.Run(Millis(1500));
    for (round_ = 0; round_ < kRounds; ++round_) {
      Act();
      world_.Run(Millis(20 + Draw(600)));
    }
    EndFaults();
  }

  FleetWorld& World() { return world_; }

  /** Names of the jobs that have not ended. */
  std::string OpenJobs()
  {
    std::string open;
    for (int round = 0; round < kRounds; ++round) {
      const std::string id = NameOf(round);
      const auto state = world_.Scheduler().StateOf(id);
      if (state.has_value() && !IsFinal(*state)) {
        open += id + " ";
      }
    }
    return open;
  }

private:
  static std::string NameOf(int aRound)
  {
    return "job" + std::to_string(aRound);
  }

  unsigned Draw(unsigned aBound)
  {
    return static_cast<unsigned>(random_() % aBound);
  }

  /** Applies one random fault or user action. */
  void Act()
  {
    const std::size_t host = Draw(kHosts);
    switch (Draw(14)) {
      case 0:
        world_.Cut(host, !world_.Host(host).cut_);
        break;
      case 1:
        world_.RestartSide(host);
        break;
      case 2:
        Crash(host);
        break;
      case 3:
        world_.storeLatency_ = Millis(Draw(601));
        break;
      case 4:
        SetTaskTime(Millis(200 + Draw(2000)));
        break;
      case 5:
        world_.Host(host).worker_.failsRuns_ =
          !world_.Host(host).worker_.failsRuns_;
        break;
      case 6:
        LoseLeader();
        FindLeader();
        break;
      case 7:
      case 8:
        LoseLeaderWithAFailure();
        break;
      default:
        Submit();
        break;
    }
  }

  void SetTaskTime(Millis aTime)
  {
    for (std::size_t host = 0; host < kHosts; ++host) {
      world_.Host(host).worker_.taskTime_ = aTime;
    }
  }

  void Crash(std::size_t aHost)
  {
    world_.Host(aHost).worker_.Crash("w" + std::to_string(aHost) + "-" +
                                     std::to_string(++incarnation_));
  }

  void LoseLeader()
  {
    world_.lostWriteIsApplied_ = Draw(2) == 0;
    world_.LoseLeader();
  }

  void FindLeader()
  {
    world_.Run(Millis(Draw(1000)));
    world_.ChangeLeader();
  }

  /** Number of the last failed end that the worker lists; 0 for none. */
  std::uint64_t LastFailure(std::size_t aHost)
  {
    const WorkerFake& worker = world_.Host(aHost).worker_;
    return !worker.ends_.empty() && worker.ends_.back().kind_ == EndKind::Failed
             ? worker.ends_.back().number_
             : 0;
  }

  /** The worker of a run that has just failed crashes with the leader. */
  void LoseLeaderWithAFailure()
  {
    std::uint64_t before[kHosts] = {};
    for (std::size_t host = 0; host < kHosts; ++host) {
      before[host] = LastFailure(host);
    }
    for (int step = 0; step < 200; ++step) {
      world_.Run(Millis(10));
      for (std::size_t host = 0; host < kHosts; ++host) {
        if (LastFailure(host) > before[host]) {
          world_.Run(Millis(10 * Draw(30)));
          LoseLeader();
          Crash(host);
          FindLeader();
          return;
        }
      }
    }
  }

  void Submit()
  {
    const std::uint32_t tasks = 1 + Draw(5);
    JobDescription job = MakeJob(
      NameOf(round_), tasks, 500 + static_cast<std::int64_t>(Draw(2000)));
    job.priority_ = Draw(3);
    job.maxAttempts_ = 1 + Draw(2);
    const bool gang = Draw(3) == 0;
    job.steps_.front().gang_ = gang && kinds_.gangs_;
    const bool timed = Draw(3) == 0;
    if (timed && kinds_.timed_) {
      job.occurrences_ = 2 + Draw(2);
      job.startAtMs_ = world_.WallMs() + Draw(1000);
      job.intervalMs_ = 200 + Draw(2000);
    }
    if (Draw(2) == 0) {
      const std::string failing =
        TaskKey{ job.id_, Draw(job.occurrences_ + 1), 0, Draw(tasks) }.Text();
      for (std::size_t host = 0; host < kHosts; ++host) {
        world_.Host(host).worker_.failing_.insert(failing);
      }
    }
    world_.Submit(job);
  }

  /** Runs until all jobs have ended, or for kTimeToEnd. */
  void EndFaults()
  {
    SetTaskTime(Millis(500));
    for (std::size_t host = 0; host < kHosts; ++host) {
      world_.Cut(host, false);
      world_.Host(host).worker_.failsRuns_ = false;
    }
    const Instant until = world_.Now() + kTimeToEnd;
    do {
      world_.Run(Millis(1000));
    } while (world_.Now() < until && !OpenJobs().empty());
  }

  std::mt19937 random_;
  JobKinds kinds_;
  FleetWorld world_;
  int round_ = 0;
  int incarnation_ = 1;
};

void
RunTrials(JobKinds aKinds)
{
  std::size_t waits = 0;
  std::size_t losses = 0;
  const auto [first, last] = SeedsOrUpTo(kSeeds);
  cr_assert_leq(first, last);
  for (unsigned seed = first; seed <= last; ++seed) {
    Trial trial(seed, aKinds);
    FleetWorld& world = trial.World();
    waits += world.EventCount("end-waits");
    losses += world.LeadersLostWithWaitingEnd();
    cr_expect_eq(world.StartsAfterAcknowledgedEnd(),
                 0,
                 "seed %u started done tasks again: %s",
                 seed,
                 world.StartedAfterAcknowledgedEnd().c_str());
    cr_expect_leq(
      world.MaxConcurrentRuns(), 1, "seed %u ran a task twice", seed);
    cr_expect_not(
      world.EverOverCapacity(), "seed %u exceeded the room of a worker", seed);
    const std::string open = trial.OpenJobs();
    cr_expect(open.empty(), "seed %u: not ended: %s", seed, open.c_str());
  }
  cr_log_info("seeds %u to %u: %zu ends waited, %zu leaders lost meanwhile",
              first,
              last,
              waits,
              losses);
}

}

// Guards against a second start of a completed task when leaders are lost with
// writes in flight and together with workers that reported a failure.
Test(LeaderLossRandom, AcknowledgedEndsStay)
{
  RunTrials({});
}

// Guards against gangs that start again, or never end, after such losses.
Test(LeaderLossRandom, AcknowledgedEndsOfGangsStay)
{
  RunTrials({ .gangs_ = true });
}

// Guards against occurrences that start again after such losses.
Test(LeaderLossRandom, AcknowledgedEndsOfTimedJobsStay)
{
  RunTrials({ .timed_ = true });
}

// Guards against timed gangs that start again, or never end, after such losses.
Test(LeaderLossRandom, AcknowledgedEndsOfTimedGangsStay)
{
  RunTrials({ .gangs_ = true, .timed_ = true });
}
