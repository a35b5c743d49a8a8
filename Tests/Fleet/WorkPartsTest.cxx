#include "Process/FleetRecords.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>

using namespace cactusrail;

namespace {

/** Transactions that a part carries out in a second while the table takes 43
 * times as long as usual: one after another, 8 ms each. */
constexpr double kSlowPartRate = 1000.0 / (43 * 8);

/** A part refuses more once the work of a second waits there. */
constexpr double kMostWaitingSeconds = 1;

/** Jobs that callers of a large fleet hand in at the peak. */
constexpr int kJobsASecond = 40;

}

// Pattern: entries store jobs one by one in a slow table; with few parts each
// of them refused two jobs of three.
Test(WorkParts, NoPartGetsMoreJobsThanASlowTableTakes)
{
  constexpr int kSeconds = 10;
  std::map<std::string, int> jobs;
  for (int i = 0; i < kSeconds * kJobsASecond; ++i) {
    ++jobs[WorkPartOf("9e3779b9" + std::to_string(i * 7919))];
  }
  int most = 0;
  for (const auto& [part, count] : jobs) {
    most = std::max(most, count);
  }
  cr_assert_leq(most, (kSeconds + kMostWaitingSeconds) * kSlowPartRate);
}
