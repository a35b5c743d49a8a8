#include "Process/MembershipView.h"

namespace cactusrail {

namespace {

/** Time for which operators can still read the last state of an unusable side.
 */
constexpr Millis kSideRetention{ 60000 };

}

MembershipChange
MembershipView::Observe(const HeartbeatMessage& aHeartbeat, Instant aNow)
{
  auto [place, isNew] = sides_.try_emplace(aHeartbeat.sideId_);
  SideView& view = place->second;
  const HeartbeatMessage& known = view.heartbeat_;
  if (!isNew) {
    // Datagrams may be delayed or duplicated: a stale "ready" after a goodbye
    // would make a leaving upstream usable again. Incarnations are start times.
    const bool older = aHeartbeat.sideIncarnation_ < known.sideIncarnation_ ||
                       (aHeartbeat.sideIncarnation_ == known.sideIncarnation_ &&
                        aHeartbeat.sequence_ <= known.sequence_);
    if (older) {
      return MembershipChange::Stale;
    }
  }
  MembershipChange change = MembershipChange::None;
  if (isNew) {
    change = MembershipChange::Joined;
  } else if (aHeartbeat.sideIncarnation_ != known.sideIncarnation_ ||
             aHeartbeat.upstreamIncarnation_ != known.upstreamIncarnation_) {
    change = MembershipChange::Restarted;
  } else if (aHeartbeat.state_ != known.state_) {
    change = MembershipChange::StateChanged;
  }
  view.heartbeat_ = aHeartbeat;
  view.usableUntil_ = aNow + kSideHeartbeatTimeout;
  return change;
}

std::optional<SideView>
MembershipView::Find(std::string_view aSideId) const
{
  const auto found = sides_.find(aSideId);
  if (found == sides_.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool
MembershipView::IsUnresponsive(std::string_view aSideId, Instant aNow) const
{
  const auto found = sides_.find(aSideId);
  return found == sides_.end() || found->second.usableUntil_ <= aNow;
}

std::vector<SideView>
MembershipView::All() const
{
  std::vector<SideView> all;
  all.reserve(sides_.size());
  for (const auto& [id, view] : sides_) {
    all.push_back(view);
  }
  return all;
}

std::vector<std::string>
MembershipView::Forget(Instant aNow)
{
  std::vector<std::string> forgotten;
  for (auto place = sides_.begin(); place != sides_.end();) {
    if (place->second.usableUntil_ + kSideRetention < aNow) {
      forgotten.push_back(place->first);
      place = sides_.erase(place);
    } else {
      ++place;
    }
  }
  return forgotten;
}

}
