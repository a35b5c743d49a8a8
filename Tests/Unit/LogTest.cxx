#include "Process/LogCollapse.h"
#include "Process/LogLine.h"

#include <criterion/criterion.h>

#include <array>

using namespace cactusrail;

namespace {

constexpr LogCollapse::Limits kLimits{ 3, Millis(1000), 2 };

Instant
At(int aMillis)
{
  return Instant(Millis(aMillis));
}

}

// A side that flaps a thousand times per second must not fill the disk of the
// log collector, and the log must still report the number of events.
Test(LogCollapse, RepeatedLinesAreCounted)
{
  LogCollapse collapse(kLimits);
  int written = 0;
  for (int millis = 0; millis < 1000; ++millis) {
    written += collapse.Admit("side-changed", At(millis)) ? 1 : 0;
    cr_assert(collapse.Expire(At(millis)).empty());
  }
  cr_assert(written == 3);
  const std::vector<CollapsedLines> ended = collapse.Expire(At(1000));
  cr_assert(ended.size() == 1);
  cr_assert(ended[0].cause_ == "side-changed" && ended[0].count_ == 997);
  cr_assert(collapse.Expire(At(2000)).empty());
  cr_assert(collapse.Admit("side-changed", At(2000)));
}

Test(LogCollapse, RepeatedLinesDoNotHideAnotherCause)
{
  LogCollapse collapse(kLimits);
  for (int line = 0; line < 100; ++line) {
    static_cast<void>(collapse.Admit("flood", At(line)));
  }
  cr_assert(collapse.Admit("stopping", At(100)));
}

Test(LogCollapse, TheNumberOfCausesIsBounded)
{
  LogCollapse collapse(kLimits);
  int written = 0;
  for (int cause = 0; cause < 100; ++cause) {
    written += collapse.Admit("c" + std::to_string(cause), At(0)) ? 1 : 0;
  }
  cr_assert(written == 2 + 3);
  const std::vector<CollapsedLines> ended = collapse.Expire(At(1000));
  cr_assert(ended.size() == 1 && ended[0].count_ == 95);
}

// An external name that contains a newline must not forge a log line.
Test(LogLine, ValueCannotForgeALine)
{
  const LogHead head{ "2026-01-01T00:00:00.000Z", "entry1", "info", "changed" };
  const std::array<LogField, 1> fields{ { { "side", "s1\nstopped \"x\"" } } };
  const std::string plain = PlainLogLine(head, fields);
  cr_assert(plain == "2026-01-01T00:00:00.000Z info entry1 changed side=s1 "
                     "stopped \"x\"");
  const std::string json = JsonLogLine(head, fields);
  cr_assert(json.find('\n') == std::string::npos);
  cr_assert(json.find("\"side\":\"s1\\nstopped \\\"x\\\"\"") !=
            std::string::npos);
}
