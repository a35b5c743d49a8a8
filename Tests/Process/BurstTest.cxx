#include "Bench.h"
#include "Traffic.h"

#include <criterion/criterion.h>

using namespace cactusrail;

// Guards against refusals during a burst that can be served in time. With six
// slow requests open and regular traffic, forty requests arrive at once. Two
// upstreams of eight slots serve all of them within a fraction of a second, but
// some were refused because the queues of both sides were full. The fault first
// appeared while an entry was stopping and looked like a fault of the stop.
Test(Burst, OfRequestsThatAreServedInTimeIsNotTurnedAway)
{
  Bench bench;
  bench.StartUsual(2, 2);
  for (int i = 0; i < 6; ++i) {
    bench.Send("entry1", CallPlan{ .query_ = "work=2500" });
  }
  Traffic traffic(bench, CallPlan{ .query_ = "work=20" });
  WaitUntil(
    [&] {
      traffic.Pump("entry1", 8);
      return bench.Runs().size() > 40;
    },
    "traffic");
  for (int i = 0; i < 40; ++i) {
    bench.Send("entry1", CallPlan{ .query_ = "work=20" });
  }
  bench.WaitForCalls();
  const Tally tally = bench.VerifyOutcomes("burst", "entry2");
  cr_assert(tally.unanswered_ == 0 && tally.mayHaveRun_ == 0,
            "%zu requests were not answered, %zu have an unknown outcome",
            tally.unanswered_,
            tally.mayHaveRun_);
  cr_assert(tally.notRun_ == 0, "%zu requests were refused", tally.notRun_);
}
