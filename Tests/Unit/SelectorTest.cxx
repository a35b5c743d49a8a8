#include "Version/Selector.h"

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

bool
Selects(const char* aText, const Labels& aLabels)
{
  const Result<Selector> selector = Selector::Parse(aText);
  cr_assert(Succeeded(selector), "%s", aText);
  return std::get<Selector>(selector).Matches(aLabels);
}

}

Test(Selector, RequiresAllPartsToMatch)
{
  const Labels labels{ { "team", "clerks" }, { "urgency", "low" } };
  cr_assert(Selects("*", {}));
  cr_assert(Selects("team=clerks", labels));
  cr_assert(Selects("team=clerks,urgency!=high,urgency", labels));
  cr_assert(Selects("owner!=ann", labels));
  cr_assert(!Selects("team=clerks,urgency=high", labels));
  cr_assert(!Selects("owner", labels));
}

// A script may pass an empty variable as the selector of "cancel". If that
// selected all work, the jobs of every team would be cancelled.
Test(Selector, RejectsPartsWithoutAName)
{
  for (const char* text : { "", ",", "=x", "!=x", "a=b,", "a=b,,c=d" }) {
    cr_assert(!Succeeded(Selector::Parse(text)), "%s", text);
  }
}
