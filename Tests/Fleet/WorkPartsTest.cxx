#include "Process/FleetRecords.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>

using namespace cactusrail;

namespace {

/** Transactions per second of a part while the table is 43 times slower than
 * usual. A part executes them sequentially, 8 ms each at the usual speed. */
constexpr double kSlowPartRate = 1000.0 / (43 * 8);

/** Backlog, in seconds of work, at which a part refuses transactions. */
constexpr double kMaxBacklogSeconds = 1;

/** Peak rate at which callers of a large fleet submit jobs. */
constexpr int kJobsPerSecond = 40;

}

// Guards against parts that refuse jobs in a slow table. Entries store each job
// separately, and with few parts each part refused two jobs of three.
Test(WorkParts, NoPartExceedsCapacityOfSlowTable)
{
  constexpr int kSeconds = 10;
  std::map<std::string, int> jobs;
  for (int i = 0; i < kSeconds * kJobsPerSecond; ++i) {
    ++jobs[WorkPartOf("9e3779b9" + std::to_string(i * 7919))];
  }
  int most = 0;
  for (const auto& [part, count] : jobs) {
    most = std::max(most, count);
  }
  cr_assert_leq(most, (kSeconds + kMaxBacklogSeconds) * kSlowPartRate);
}
