#include "Process/LogProfile.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

}

Test(LogProfile, WaitsAndDurationsAreGroupedByPriority)
{
  LogProfile profile;
  profile.AddLine(
    R"(12.3 entry1 {"event":"job-queued","id":"a","detail":"priority 2","time":"2026-12-01T10:00:00.000Z"})");
  profile.AddLine(
    R"({"event":"run-ordered","id":"a.0.0.0","detail":"run 1","time":"2026-12-01T10:00:00.250Z"})");
  profile.AddLine(
    R"({"event":"run-ordered","id":"a.0.0.1","detail":"run 1","time":"2026-12-01T10:00:03.000Z"})");
  profile.AddLine(
    R"({"event":"job-ended","id":"a","detail":"completed","time":"2026-12-01T10:00:04.000Z"})");
  const std::string text = profile.Text();
  cr_assert(Contains(text, "priority 2"));
  cr_assert(Contains(text, "250"), "%s", text.c_str());
  cr_assert(Contains(text, "4000"), "%s", text.c_str());
}

Test(LogProfile, StopsAreCountedByReason)
{
  LogProfile profile;
  for (
    const char* line :
    { R"({"event":"run-stopped","id":"a.0.0.0","detail":"run 1: preempted"})",
      R"({"event":"run-stopped","id":"a.0.0.1","detail":"run 27: preempted"})" }) {
    profile.AddLine(line);
  }
  cr_assert(Contains(profile.Text(), "2             run N: preempted"),
            "%s",
            profile.Text().c_str());
}

// Guards against a log with foreign or broken lines that ends the command.
Test(LogProfile, ForeignLinesAreSkipped)
{
  LogProfile profile;
  for (const char* line : { "",
                            "no object",
                            "{broken",
                            R"({"event":7})",
                            R"({"event":"worker-view","cpu":"12"})" }) {
    profile.AddLine(line);
  }
  cr_assert(Contains(profile.Text(), "JOBS"));
}
