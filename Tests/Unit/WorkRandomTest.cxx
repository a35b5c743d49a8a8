// Runs the entries' scheduler code under thousands of random schedules with
// racing entries, kills, freezes, lost and late answers, a table that is down
// or returns stale data, replaced workers, and repeated and racing verbs of
// operators. WorkWorld checks promises 1 to 3 at every step and that no task is
// stuck at the end. A failure prints its seed; WORK_SEED=N runs only that seed
// and prints its transcript.

#include "../Golden/WorkWorld.h"
#include "Version/LearnedPlacement.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <iostream>

using namespace cactusrail;

namespace {

constexpr WorkWorld::Micros64 kSecond = 1000000;
#ifdef NDEBUG
constexpr std::uint32_t kSessionsPerTest = 500;
#else
// Sanitizers slow a session down many times.
constexpr std::uint32_t kSessionsPerTest = 50;
#endif

WorkWorld::Options
RandomOptions(std::uint32_t aSeed)
{
  WorkWorld::Options options;
  options.seed_ = aSeed;
  options.tick_ = kSecond / 4;
  options.lossRate_ = 0.03;
  options.delayRate_ = 0.03;
  options.traced_ = std::getenv("WORK_SEED") != nullptr;
  options.timings_.cellLease_ = std::chrono::seconds(4);
  options.timings_.beatEvery_ = std::chrono::seconds(1);
  options.timings_.taskLease_ = std::chrono::seconds(5);
  options.timings_.ownerGrace_ = std::chrono::seconds(6);
  options.timings_.margin_ = Millis(300);
  options.timings_.entrySilence_ = std::chrono::seconds(4);
  options.timings_.entryFresh_ = std::chrono::seconds(2);
  options.timings_.handOverAfter_ = std::chrono::seconds(4);
  return options;
}

/** Options with the placement of the real entries, which learns from the
 * workers' reports. */
WorkWorld::Options
LearnedOptions(std::uint32_t aSeed)
{
  WorkWorld::Options options = RandomOptions(aSeed);
  options.chooser_ = [](std::uint64_t aPlacementSeed) {
    return MakeChooser(LearnedPlacement(aPlacementSeed));
  };
  return options;
}

VerbRequest
RandomJob(WorkWorld& aWorld, int aNumber)
{
  VerbRequest request;
  request.verb_ = "create";
  request.operationId_ = "create-" + std::to_string(aNumber);
  JobSpec& spec = request.spec_;
  spec.id_ = "job" + std::to_string(aNumber);
  spec.tenant_ = "t";
  spec.program_ = "p";
  spec.tasks_ = static_cast<std::uint32_t>(aWorld.Between(1, 4));
  spec.idempotent_ = aWorld.Chance() < 0.5;
  spec.declared_ = { aWorld.Between(1, 6) * 1000, 100, 0 };
  spec.declaredRunMs_ = static_cast<std::uint64_t>(aWorld.Between(500, 9000));
  spec.labels_ = { { "half", aNumber % 2 == 0 ? "even" : "odd" },
                   { "number", std::to_string(aNumber) } };
  return request;
}

/** Schedules one random fault and its later end, or one operator's verb. */
void
RandomEvent(WorkWorld& aWorld, int aNumber)
{
  const std::string entry = "e" + std::to_string(aWorld.Between(1, 3));
  const std::string worker = "w" + std::to_string(aWorld.Between(1, 3));
  const WorkWorld::Micros64 later =
    aWorld.Now() + aWorld.Between(kSecond / 5, 9 * kSecond);
  switch (aWorld.Between(0, 9)) {
    case 0:
      aWorld.KillEntry(entry);
      aWorld.At(later, [&aWorld, entry] { aWorld.StartEntry(entry); });
      break;
    case 1:
      aWorld.FreezeEntry(entry);
      aWorld.At(later, [&aWorld, entry] { aWorld.ThawEntry(entry); });
      break;
    case 2:
      aWorld.FreezeWorker(worker);
      aWorld.At(later, [&aWorld, worker] { aWorld.ThawWorker(worker); });
      break;
    case 3:
      if (aWorld.WorkerOf(worker).alive_) {
        aWorld.KillWorker(worker);
        aWorld.At(later, [&aWorld, worker] {
          if (!aWorld.WorkerOf(worker).alive_) {
            aWorld.StartWorker(worker);
          }
        });
      }
      break;
    case 4:
      if (aWorld.WorkerOf(worker).alive_ && !aWorld.WorkerOf(worker).frozen_) {
        aWorld.ReplaceWorker(worker);
      }
      break;
    case 5:
      aWorld.SetTable(aWorld.Chance() < 0.5 ? "down" : "past");
      aWorld.At(later, [&aWorld] { aWorld.SetTable("up"); });
      break;
    case 6:
      aWorld.loseTableAnswers_ = static_cast<int>(aWorld.Between(1, 4));
      break;
    case 7:
      aWorld.EntryOf(entry).core_->Evict(
        "job" + std::to_string(aWorld.Between(0, 5)) + ".0");
      break;
    default: {
      static constexpr const char* kVerbs[] = { "pause", "resume", "drain",
                                                "stop",  "cancel", "resume",
                                                "pause" };
      static constexpr const char* kSelectors[] = {
        "half=even", "half=odd", "number=1", "number=2", "number!=3"
      };
      VerbRequest request;
      request.verb_ = kVerbs[aWorld.Between(0, 6)];
      request.selector_ = kSelectors[aWorld.Between(0, 4)];
      request.operationId_ = "verb-" + std::to_string(aNumber);
      for (int job = 0; request.verb_ == "resume" && job < 6; ++job) {
        aWorld.resumedJobs_.insert("job" + std::to_string(job));
      }
      aWorld.Ask(entry, request);
      aWorld.At(later, [&aWorld, request] { aWorld.Ask("e1", request); });
      break;
    }
  }
}

/** Ends all faults, so that every runnable task must reach its end. */
void
EndAllFaults(WorkWorld& aWorld)
{
  aWorld.DisableMessageFaults();
  aWorld.SetTable("up");
  aWorld.loseTableAnswers_ = 0;
  for (const std::string number : { "1", "2", "3" }) {
    WorkWorld::Entry& entry = aWorld.EntryOf("e" + number);
    if (!entry.alive_) {
      aWorld.StartEntry("e" + number);
    }
    aWorld.ThawEntry("e" + number);
    aWorld.ThawWorker("w" + number);
    if (!aWorld.WorkerOf("w" + number).alive_) {
      aWorld.StartWorker("w" + number);
    }
  }
}

struct Totals
{
  std::uint64_t sessions_ = 0;
  std::uint64_t starts_ = 0;
  std::uint64_t broken_ = 0;
  std::map<Verdict, std::uint64_t> recordedVerdicts_;
};

void
RunSession(WorkWorld::Options aOptions, Totals& aTotals)
{
  const std::uint32_t seed = aOptions.seed_;
  WorkWorld world(std::move(aOptions));
  world.AddWorker("w1", "r1", { 8000, 1000, 0 });
  world.AddWorker("w2", "r1", { 8000, 1000, 0 });
  world.AddWorker("w3", "r2", { 8000, 1000, 0 });
  for (const char* name : { "e1", "e2", "e3" }) {
    world.AddEntry(name);
  }
  for (int number = 0; number < 6; ++number) {
    const VerbRequest request = RandomJob(world, number);
    world.At(world.Between(0, 8 * kSecond),
             [&world, request] { world.Ask("e1", request); });
  }
  for (int number = 0; number < 8; ++number) {
    world.At(world.Between(kSecond, 16 * kSecond),
             [&world, number] { RandomEvent(world, number); });
  }
  world.Run(28 * kSecond);
  EndAllFaults(world);
  world.Run(75 * kSecond);
  world.CheckNoStuckTasks();
  world.CheckRecordedVerdicts();
  for (const auto& [verdict, count] : world.RecordedVerdicts()) {
    aTotals.recordedVerdicts_[verdict] += count;
  }
  std::cerr << world.Transcript();
  ++aTotals.sessions_;
  aTotals.starts_ += world.Starts();
  aTotals.broken_ += world.Broken().empty() ? 0 : 1;
  if (!world.Broken().empty() && aTotals.broken_ <= 3) {
    std::cerr << "seed " << seed << ": " << world.Broken().front() << '\n';
  }
}

void
RunSessions(std::uint32_t aFirst,
            WorkWorld::Options (*aOptions)(std::uint32_t) = RandomOptions)
{
  Totals totals;
  const char* only = std::getenv("WORK_SEED");
  if (only != nullptr) {
    RunSession(aOptions(static_cast<std::uint32_t>(std::atoi(only))), totals);
  } else {
    for (std::uint32_t number = 0; number < kSessionsPerTest; ++number) {
      RunSession(aOptions(aFirst + number), totals);
    }
  }
  std::cerr << "sessions=" << totals.sessions_ << " starts=" << totals.starts_
            << " broken=" << totals.broken_ << " tasks:";
  for (const auto& [verdict, count] : totals.recordedVerdicts_) {
    std::cerr << " '" << VerdictText(verdict) << "' " << count;
  }
  std::cerr << '\n';
  cr_assert(totals.starts_ > 0);
  cr_assert(totals.broken_ == 0);
}

}

Test(WorkRandom, PromisesHoldFromSeed1)
{
  RunSessions(1);
}

Test(WorkRandom, PromisesHoldFromSeed10001)
{
  RunSessions(10001);
}

Test(WorkRandom, PromisesHoldFromSeed20001)
{
  RunSessions(20001);
}

Test(WorkRandom, PromisesHoldFromSeed30001)
{
  RunSessions(30001);
}

Test(WorkRandom, LearnedPlacement)
{
  RunSessions(40001, LearnedOptions);
}
