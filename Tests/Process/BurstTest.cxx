#include "Bench.h"
#include "Traffic.h"

#include <criterion/criterion.h>

using namespace cactusrail;

// Six slow requests are open, callers go on as usual, and forty more ask in the
// same moment. Two upstreams of eight slots serve them all within a fraction of
// a second; yet some were turned away, as the queues of both sides were full.
// The same burst at an entry that is being stopped showed it first, and looked
// like a fault of the stop.
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
  const Tally tally = bench.Settle("burst", "entry2");
  cr_assert(tally.unanswered_ == 0 && tally.mayHaveRun_ == 0,
            "%zu requests were cut off, %zu in doubt",
            tally.unanswered_,
            tally.mayHaveRun_);
  cr_assert(tally.notRun_ == 0, "%zu were turned away", tally.notRun_);
}
