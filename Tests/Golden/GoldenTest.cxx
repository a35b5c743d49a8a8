#include "VirtualCluster.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace cactusrail;

namespace {

std::string
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** Describes the first line that differs. */
std::string
FirstDifference(const std::string& aGolden, const std::string& aNow)
{
  std::istringstream golden(aGolden);
  std::istringstream now(aNow);
  std::string expected;
  std::string got;
  while (true) {
    const bool hasGolden = static_cast<bool>(std::getline(golden, expected));
    const bool hasNow = static_cast<bool>(std::getline(now, got));
    if (!hasGolden) {
      expected = "(the end)";
    }
    if (!hasNow) {
      got = "(the end)";
    }
    if (expected != got || (!hasGolden && !hasNow)) {
      std::ostringstream text;
      text << "golden: " << expected << "\n   now: " << got << "\n";
      return std::move(text).str();
    }
  }
}

/** Runs one script; returns whether all checks pass and the transcript equals
 * its golden file. */
bool
RunSession(const std::filesystem::path& aScript)
{
  VirtualCluster cluster(true);
  cluster.Run(ReadFile(aScript));
  std::filesystem::path golden = aScript;
  golden.replace_extension(".golden");
  if (std::getenv("UPDATE_GOLDEN") != nullptr) {
    std::ofstream(golden) << cluster.Transcript();
  }
  const std::string name = aScript.stem().string();
  const std::string expected = ReadFile(golden);
  const bool equal = expected == cluster.Transcript();
  // Written in one piece, because the tests run concurrently.
  std::ostringstream report;
  for (const std::string& sentence : cluster.Broken()) {
    report << name << ": BROKEN: " << sentence << "\n";
  }
  if (!equal) {
    report << name << ": the transcript changed\n"
           << FirstDifference(expected, cluster.Transcript());
  }
  report << name << ": " << cluster.Counts().Text() << "\n";
  std::cerr << std::move(report).str();
  return equal && cluster.Broken().empty();
}

/** Runs all sessions of one promise. */
void
RunPromise(const std::string& aPrefix)
{
  std::vector<std::filesystem::path> scripts;
  for (const auto& file : std::filesystem::directory_iterator(GOLDEN_FOLDER)) {
    if (file.path().extension() == ".script" &&
        file.path().filename().string().starts_with(aPrefix)) {
      scripts.push_back(file.path());
    }
  }
  std::sort(scripts.begin(), scripts.end());
  cr_assert(!scripts.empty());
  std::size_t failed = 0;
  for (const std::filesystem::path& script : scripts) {
    failed += RunSession(script) ? 0 : 1;
  }
  cr_assert(failed == 0, "%zu sessions failed", failed);
}

}

// The head of each script describes its scenario.
Test(Golden, Promise4WholeAnswerToItsOwnCaller)
{
  RunPromise("promise4-");
}

Test(Golden, Promise5NotRunIsTrue)
{
  RunPromise("promise5-");
}

Test(Golden, Promise6AtMostOnce)
{
  RunPromise("promise6-");
}

Test(Golden, Promise7LeavingUpstreamGetsNothingNew)
{
  RunPromise("promise7-");
}

Test(Golden, Promise8PlannedStopCutsNothing)
{
  RunPromise("promise8-");
}
