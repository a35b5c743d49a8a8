// Golden sessions of work: each Tests/Golden/Work*.session runs the entries'
// scheduler code on a virtual clock, and its transcript is compared with the
// Work*.golden file next to it. UPDATE_GOLDEN=1 rewrites the transcripts. A
// broken promise fails the test even if the transcript matches.

#include "../Golden/WorkWorld.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace cactusrail;

namespace {

/** Executes the lines of a session. */
class Player
{
public:
  Player()
    : world_(WorkWorld::Options{})
  {
  }

  void Play(const std::string& aLine);
  WorkWorld& World() { return world_; }

private:
  void Job(const std::string& aEntry,
           const std::string& aId,
           std::istream& aWords);

  WorkWorld world_;
};

void
Player::Job(const std::string& aEntry,
            const std::string& aId,
            std::istream& aWords)
{
  VerbRequest request;
  request.verb_ = "create";
  request.operationId_ = "create-" + aId;
  JobSpec& spec = request.spec_;
  spec.id_ = aId;
  spec.tenant_ = "team";
  spec.program_ = "program";
  spec.labels_ = { { "job", aId }, { "all", "yes" } };
  std::string word;
  while (aWords >> word) {
    const std::size_t equals = word.find('=');
    const std::string key = word.substr(0, equals);
    const std::string value = word.substr(equals + 1);
    if (key == "tasks") {
      spec.tasks_ = static_cast<std::uint32_t>(std::stoul(value));
    } else if (key == "cpus") {
      spec.declared_.milliCpus_ = std::stoll(value) * 1000;
    } else if (key == "run") {
      spec.declaredRunMs_ = std::stoull(value);
    } else if (key == "idempotent") {
      spec.idempotent_ = value == "yes";
    } else {
      world_.Break("the session has an unknown word in a job line: " + word);
    }
  }
  world_.Ask(aEntry, request);
}

void
Player::Play(const std::string& aLine)
{
  std::istringstream words(aLine);
  std::string verb;
  std::string name;
  std::string more;
  words >> verb;
  if (verb.empty() || verb.starts_with('#')) {
    return;
  }
  world_.Trace("> " + aLine);
  words >> name;
  if (verb == "worker") {
    std::int64_t cpus = 0;
    words >> more >> cpus;
    world_.AddWorker(name, more, { cpus * 1000, 100000, 0 });
  } else if (verb == "entry") {
    world_.AddEntry(name);
  } else if (verb == "job") {
    words >> more;
    Job(name, more, words);
  } else if (verb == "run") {
    world_.Run(std::stoll(name) * 1000);
  } else if (verb == "evict") {
    world_.EntryOf(name).core_->Evict((words >> more, more));
  } else if (verb == "kill-entry") {
    world_.KillEntry(name);
  } else if (verb == "start-entry") {
    world_.StartEntry(name);
  } else if (verb == "freeze-entry") {
    world_.FreezeEntry(name);
  } else if (verb == "thaw-entry") {
    world_.ThawEntry(name);
  } else if (verb == "stop-entry") {
    world_.EntryOf(name).core_->HandOver();
  } else if (verb == "kill-worker") {
    world_.KillWorker(name);
  } else if (verb == "start-worker") {
    world_.StartWorker(name);
  } else if (verb == "freeze-worker") {
    world_.FreezeWorker(name);
  } else if (verb == "thaw-worker") {
    world_.ThawWorker(name);
  } else if (verb == "replace-worker") {
    world_.ReplaceWorker(name);
  } else if (verb == "lose-answers") {
    words >> world_.WorkerOf(name).loseAnswers_;
  } else if (verb == "lose-calls") {
    words >> world_.WorkerOf(name).loseCalls_;
  } else if (verb == "reports-less") {
    world_.WorkerOf(name).reportsLess_ = (words >> more, more == "yes");
  } else if (verb == "fails-everything") {
    world_.WorkerOf(name).tasks_->Options().failEverything_ = true;
  } else if (verb == "table") {
    world_.SetTable(name);
  } else if (verb == "lose-table-answers") {
    world_.loseTableAnswers_ = std::stoi(name);
  } else if (verb == "quota") {
    world_.SetQuota("team", std::stoll(name) * 1000);
  } else {
    // An operator's verb: VERB ENTRY SELECTOR OPERATION.
    VerbRequest request;
    request.verb_ = verb;
    words >> request.selector_ >> request.operationId_;
    if (verb == "resume") {
      for (const auto& [key, row] : world_.Rows()) {
        world_.resumedJobs_.insert(key.substr(key.find('/') + 1));
      }
    }
    world_.Ask(name, request);
  }
}

/** Returns the folder of the sessions in the source tree. Tests run in a folder
 * of the build tree below it. */
std::filesystem::path
GoldenFolder()
{
  std::filesystem::path folder = std::filesystem::current_path();
  while (!std::filesystem::exists(folder / "Tests/Golden/WorkWorld.h") &&
         folder.has_relative_path()) {
    folder = folder.parent_path();
  }
  return folder / "Tests/Golden";
}

std::string
ReadText(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** Returns the first line in which two texts differ. */
std::string
FirstDifference(const std::string& aLeft, const std::string& aRight)
{
  std::istringstream left(aLeft);
  std::istringstream right(aRight);
  std::string one;
  std::string other;
  while (true) {
    const bool haveOne = static_cast<bool>(std::getline(left, one));
    const bool haveOther = static_cast<bool>(std::getline(right, other));
    if (!haveOne && !haveOther) {
      return "none";
    }
    if (!haveOne || !haveOther || one != other) {
      return "golden: " + (haveOther ? other : "(end)") +
             "\n  now:    " + (haveOne ? one : "(end)");
    }
  }
}

void
RunSession(const std::string& aName)
{
  const std::filesystem::path folder = GoldenFolder();
  const auto session = folder / ("Work" + aName + ".session");
  const auto golden = folder / ("Work" + aName + ".golden");
  std::istringstream lines(ReadText(session));
  Player player;
  std::string line;
  while (std::getline(lines, line)) {
    player.Play(line);
  }
  const std::string& transcript = player.World().Transcript();
  for (const std::string& broken : player.World().Broken()) {
    std::cerr << aName << ": " << broken << '\n';
  }
  cr_assert(player.World().Broken().empty());
  cr_assert(!transcript.empty());
  if (std::getenv("UPDATE_GOLDEN") != nullptr) {
    std::ofstream(golden) << transcript;
    return;
  }
  const std::string expected = ReadText(golden);
  if (transcript != expected) {
    std::cerr << aName << " differs:\n  "
              << FirstDifference(transcript, expected) << '\n';
  }
  cr_assert(transcript == expected);
}

}

Test(WorkSession, RunsToItsEnd)
{
  RunSession("RunsToItsEnd");
}

Test(WorkSession, EntriesRaceForACell)
{
  RunSession("EntriesRaceForACell");
}

Test(WorkSession, EntryKilledMidPlacement)
{
  RunSession("EntryKilledMidPlacement");
}

Test(WorkSession, StartAnswerLost)
{
  RunSession("StartAnswerLost");
}

Test(WorkSession, WorkerReportsLess)
{
  RunSession("WorkerReportsLess");
}

Test(WorkSession, WorkerFrozen)
{
  RunSession("WorkerFrozen");
}

Test(WorkSession, OwnerFrozen)
{
  RunSession("OwnerFrozen");
}

Test(WorkSession, EvictedResumesOnce)
{
  RunSession("EvictedResumesOnce");
}

Test(WorkSession, EvictionRaces)
{
  RunSession("EvictionRaces");
}

Test(WorkSession, PayoutIsParked)
{
  RunSession("PayoutIsParked");
}

Test(WorkSession, VerbsRepeatAndRace)
{
  RunSession("VerbsRepeatAndRace");
}

Test(WorkSession, TableOutage)
{
  RunSession("TableOutage");
}

Test(WorkSession, PlacementAnswerLost)
{
  RunSession("PlacementAnswerLost");
}

Test(WorkSession, WorkerReplaced)
{
  RunSession("WorkerReplaced");
}

Test(WorkSession, QuotaAndImpossibleJob)
{
  RunSession("QuotaAndImpossibleJob");
}

Test(WorkSession, PlannedStop)
{
  RunSession("PlannedStop");
}

Test(WorkSession, DeadEntryIsPreferred)
{
  RunSession("DeadEntryIsPreferred");
}
