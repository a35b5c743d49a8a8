#pragma once

#include "Request/RequestStep.h"
#include "Version/Instant.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/**
 * Storage of request steps in the object store: one object per host and time
 * slot. The object's name follows from a request's id, or from a step that
 * names a side, so that no search is needed.
 */

/** Intervals at which an entry and a side store their steps; one slot each. */
constexpr Millis kEntrySlot{ 2000 };
constexpr Millis kSideSlot{ 30000 };

/** Fields of a request's id, "NAME-INCARNATION-LANE-SLOT-NUMBER", from which
 * the name of the entry's object follows. */
struct RequestOrigin
{
  std::string entry_;
  /** The entry's start, in wall-clock microseconds. */
  std::uint64_t incarnation_ = 0;
  /** Number of the slot of length kEntrySlot, counted from the entry's
   * start. */
  std::uint64_t slot_ = 0;
};

/** Returns an id that is unique across entries, their restarts and lanes. */
std::string
MakeRequestId(const RequestOrigin& aOrigin,
              std::int64_t aLane,
              std::uint64_t aNumber);

/** Parses an id; none if the text is not a request id. */
std::optional<RequestOrigin>
ReadRequestId(std::string_view aRequestId);

/** Returns the slot of a wall-clock time, counted from aStartMicros; 0 for
 * times before the start. */
std::uint64_t
SlotOf(std::int64_t aWallMicros, std::uint64_t aStartMicros, Millis aLength);

/** Returns the name of the object of an entry's slot, counted from its
 * start. */
std::string
EntrySegmentName(const RequestOrigin& aOrigin);

/** Returns the name of the object of a side's slot, counted from 1970, so that
 * the incarnations of a side share it. */
std::string
SideSegmentName(std::string_view aSide, std::uint64_t aSlot);

/** Writes one JSON line per step, and reads them; invalid lines are skipped. */
std::string
SegmentText(std::span<const RequestStep> aSteps);
std::vector<RequestStep>
ReadSegment(std::string_view aText);

/**
 * Reads the steps of one request only. Lines of other requests are skipped
 * without parsing: a busy segment holds thousands of lines, and parsing all of
 * them blocked an entry's thread for tens of milliseconds per query.
 */
std::vector<RequestStep>
ReadSegment(std::string_view aText, std::string_view aRequestId);

/** Sorts steps by time and removes duplicates. */
std::vector<RequestStep>
SortedSteps(std::vector<RequestStep> aSteps);

}
