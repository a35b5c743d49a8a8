#include "Process/StepSegments.h"
#include "Process/Journal.h"

#include <criterion/criterion.h>

#include <limits>

using namespace cactusrail;

Test(StepSegments, RequestIdGivesSegmentName)
{
  const RequestOrigin origin{ "entry-a-7", 1764700000000000, 4321 };
  const std::string id = MakeRequestId(origin, 3, 99);
  const auto read = ReadRequestId(id);
  cr_assert(read.has_value());
  cr_assert(read->entry_ == origin.entry_);
  cr_assert(read->incarnation_ == origin.incarnation_);
  cr_assert(read->slot_ == origin.slot_);
  cr_assert(EntrySegmentName(*read) == EntrySegmentName(origin));
}

Test(StepSegments, RejectsInvalidIds)
{
  for (const char* text :
       { "", "-", "----", "a-b", "e-!-0-1-1", "-1-0-1-1", "e-1-0-~-1" }) {
    cr_assert(!ReadRequestId(text).has_value(), "accepted: %s", text);
  }
}

Test(StepSegments, SkipsInvalidLines)
{
  RequestStep step;
  step.requestId_ = "r1";
  step.step_ = "received";
  const std::string text = SegmentText({ &step, 1 });
  const auto read = ReadSegment(text + "{\"requestId\":\n" + text);
  cr_assert(read.size() == 2);
  cr_assert(SortedSteps(read).size() == 1);
}

// Guards against steps of other requests in the result of a query for one
// request, in particular of a request whose id has the queried id as a prefix.
Test(StepSegments, ReadsStepsOfOneRequestOnly)
{
  RequestStep one;
  one.requestId_ = "e-1-0-1-1";
  RequestStep other;
  other.requestId_ = "e-1-0-1-11";
  const std::string text =
    SegmentText({ &other, 1 }) + SegmentText({ &one, 1 });
  const auto read = ReadSegment(text, "e-1-0-1-1");
  cr_assert(read.size() == 1);
  cr_assert(read.front().requestId_ == "e-1-0-1-1");
}

Test(Journal, ReturnsEachNewStepOnce)
{
  Journal journal("entry/e", 100);
  RequestStep step;
  step.requestId_ = "r0";
  journal.Add(step);
  cr_assert(journal.NewSteps() == 0);
  journal.CollectNew();
  step.requestId_ = "r1";
  journal.Add(step);
  constexpr auto kForever = std::numeric_limits<std::int64_t>::max();
  cr_assert(journal.TakeNew(0).empty());
  cr_assert(journal.TakeNew(kForever).size() == 1);
  cr_assert(journal.TakeNew(kForever).empty());
  cr_assert(journal.Recall("r0").size() == 1);
}
