#pragma once

#include "Connection/WireMessages.h"
#include "Process/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** How long a silent side still gets new work; the bound of promise 7. */
constexpr Millis kSideSilence{ 2000 };

/** What an entry knows of one side, from its latest heartbeat. */
struct SideView
{
  HeartbeatMessage heartbeat_;
  /** The side gets nothing new after this unless it is heard again. */
  Instant usableUntil_;
};

/** What a heartbeat changed. */
enum class MembershipChange : std::uint8_t
{
  None,
  Joined,
  Restarted,
  StateChanged,
  /** Older than what is known: dropped. */
  Stale,
};

/**
 * The sides that an entry has heard of. There is no list: a side is known by
 * its heartbeats alone and forgotten by their absence. Pure; SharedMembership
 * gives threads access to one.
 */
class MembershipView
{
public:
  MembershipChange Observe(const HeartbeatMessage& aHeartbeat, Instant aNow);

  /** A side by id, usable or not. */
  std::optional<SideView> Find(std::string_view aSideId) const;

  /** Not heard for so long that it gets nothing new; true if unknown. */
  bool IsSilent(std::string_view aSideId, Instant aNow) const;

  /** All sides, by id. */
  std::vector<SideView> All() const;

  /** Forgets sides that have been silent for long; returns their ids. */
  std::vector<std::string> Forget(Instant aNow);

private:
  std::map<std::string, SideView, std::less<>> sides_;
};

}
