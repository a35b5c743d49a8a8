#include "Load/FeatureSwitch.h"

#include <criterion/criterion.h>

using namespace cactusrail;

// Guards against new behavior in a fleet whose workers use the earlier
// protocol.
Test(FeatureSwitch, AutoFollowsTheWorkerProtocol)
{
  cr_expect_not(IsEnabled(FeatureSwitch::Auto, WorkerProtocol::IdOnly));
  cr_expect(IsEnabled(FeatureSwitch::Auto, WorkerProtocol::WithStartTime));
}

Test(FeatureSwitch, OnAndOffIgnoreTheWorkerProtocol)
{
  for (const WorkerProtocol protocol :
       { WorkerProtocol::IdOnly, WorkerProtocol::WithStartTime }) {
    cr_expect(IsEnabled(FeatureSwitch::On, protocol));
    cr_expect_not(IsEnabled(FeatureSwitch::Off, protocol));
  }
}

// Guards against a misspelled value that silently selects a behavior.
Test(FeatureSwitch, UnknownTextsAreNotParsed)
{
  cr_expect(ParseFeatureSwitch("auto") == FeatureSwitch::Auto);
  cr_expect_not(ParseFeatureSwitch("Auto").has_value());
  cr_expect_not(ParseFeatureSwitch("").has_value());
}
