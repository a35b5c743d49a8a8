#pragma once

#include "Connection/WireMessages.h"
#include "Version/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** Time after the latest heartbeat at which a side stops getting new work; the
 * limit of promise 7. */
constexpr Millis kSideHeartbeatTimeout{ 2000 };

/** State of one side, from its latest heartbeat. */
struct SideView
{
  HeartbeatMessage heartbeat_;
  /** Time after which the side gets no new work unless a heartbeat arrives. */
  Instant usableUntil_;
};

/** Change of the membership by a heartbeat. */
enum class MembershipChange : std::uint8_t
{
  None,
  Joined,
  Restarted,
  StateChanged,
  /** The heartbeat is not newer than the known one and was dropped. */
  Stale,
};

/**
 * Set of the sides from which an entry receives heartbeats. Sides are not
 * configured: a heartbeat adds a side, and the absence of heartbeats removes
 * it. Performs no I/O; SharedMembership provides access from several threads.
 */
class MembershipView
{
public:
  MembershipChange Observe(const HeartbeatMessage& aHeartbeat, Instant aNow);

  /** Returns the side with an id, whether it is usable or not. */
  std::optional<SideView> Find(std::string_view aSideId) const;

  /** Returns whether the side's heartbeats have been absent for so long that it
   * gets no new work; true if the side is unknown. */
  bool IsUnresponsive(std::string_view aSideId, Instant aNow) const;

  /** Returns all sides, ordered by id. */
  std::vector<SideView> All() const;

  /** Removes the sides that have been unusable for over 60 s; returns their
   * ids. */
  std::vector<std::string> Forget(Instant aNow);

private:
  std::map<std::string, SideView, std::less<>> sides_;
};

}
