#pragma once

#include "Process/Instant.h"
#include "Request/RequestStep.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/**
 * How the steps of requests are kept in the object store: one object a host and
 * slot of time, named so that a request's id, or a step that names a side,
 * leads to it without a search.
 */

/** Steps of one entry go out this often, those of one side that often. */
constexpr Millis kEntrySlot{ 2000 };
constexpr Millis kSideSlot{ 30000 };

/** What a request's id says; "NAME-INCARNATION-LANE-SLOT-NUMBER". */
struct RequestOrigin
{
  std::string entry_;
  /** The entry's start, in wall-clock microseconds. */
  std::uint64_t incarnation_ = 0;
  /** Of kEntrySlot, counted from the entry's start. */
  std::uint64_t slot_ = 0;
};

/** An id that is unique over entries, their restarts and lanes. */
std::string
MakeRequestId(const RequestOrigin& aOrigin,
              std::int64_t aLane,
              std::uint64_t aNumber);

/** What an id says, or nothing if it isn't one of ours. */
std::optional<RequestOrigin>
ReadRequestId(std::string_view aRequestId);

/** The slot that a wall-clock time falls in; 0 if it is before the start. */
std::uint64_t
SlotOf(std::int64_t aWallMicros, std::uint64_t aStartMicros, Millis aLength);

/** The object of an entry's slot, counted from its start. */
std::string
EntrySegmentName(const RequestOrigin& aOrigin);

/** The object of a side's slot, counted from 1970: restarts share it. */
std::string
SideSegmentName(std::string_view aSide, std::uint64_t aSlot);

/** One line a step, and back; lines that can't be read are left out. */
std::string
SegmentText(std::span<const RequestStep> aSteps);
std::vector<RequestStep>
ReadSegment(std::string_view aText);

/**
 * The steps of one request alone. Lines of others are passed over unparsed: a
 * busy segment holds thousands, and parsing them all held an entry's thread for
 * tens of milliseconds a question.
 */
std::vector<RequestStep>
ReadSegment(std::string_view aText, std::string_view aRequestId);

/** In order of time, each step once. */
std::vector<RequestStep>
SortedSteps(std::vector<RequestStep> aSteps);

}
