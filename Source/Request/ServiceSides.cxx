#include "Request/ServiceSides.h"

#include <algorithm>
#include <vector>

namespace cactusrail {

ServiceSides::ServiceSides(std::string aDataCentre)
  : dataCentre_(std::move(aDataCentre))
  , router_(Router::Rules{})
  , budget_(RetryBudget::Rules{})
{
}

void
ServiceSides::Observe(const HeartbeatMessage& aHeartbeat,
                      Instant aUsableUntil,
                      Instant aNow)
{
  const std::string& id = aHeartbeat.sideId_;
  const auto known = members_.find(id);
  const bool renewed =
    known != members_.end() &&
    known->second.incarnation_ != aHeartbeat.upstreamIncarnation_;
  if (renewed || aHeartbeat.state_ != SideState::Ready) {
    Remove(id);
  }
  if (aHeartbeat.state_ != SideState::Ready) {
    return;
  }
  auto [place, isNew] = members_.try_emplace(id);
  Member& member = place->second;
  if (isNew) {
    member.runner_ =
      router_.Add(aHeartbeat.dataCentre_ == dataCentre_, aHeartbeat.slots_);
    names_[member.runner_] = id;
  }
  member.incarnation_ = aHeartbeat.upstreamIncarnation_;
  member.usableUntil_ = aUsableUntil;
  RunnerReport report;
  report.slots_ = aHeartbeat.slots_;
  report.busy_ = aHeartbeat.busy_;
  report.queued_ = aHeartbeat.queued_;
  report.measuredAt_ = aNow;
  router_.OnReport(member.runner_, report, aNow);
}

void
ServiceSides::Remove(const std::string& aSideId)
{
  const auto found = members_.find(aSideId);
  if (found == members_.end()) {
    return;
  }
  router_.Remove(found->second.runner_);
  names_.erase(found->second.runner_);
  members_.erase(found);
}

bool
ServiceSides::AnyUsable(Instant aAwake) const
{
  return std::any_of(
    members_.begin(), members_.end(), [aAwake](const auto& aMember) {
      return aMember.second.usableUntil_ > aAwake;
    });
}

std::optional<ServiceSides::Choice>
ServiceSides::Choose(const Tried& aTried,
                     std::uint64_t aRandom,
                     Instant aAwake,
                     Instant aNow) const
{
  std::vector<Router::Runner> excluded;
  for (const auto& [id, member] : members_) {
    const bool unresponsive = member.usableUntil_ <= aAwake;
    if (unresponsive || aTried.contains({ id, member.incarnation_ })) {
      excluded.push_back(member.runner_);
    }
  }
  const std::optional<Router::Runner> runner =
    router_.Choose(excluded, aRandom, aNow);
  if (!runner.has_value()) {
    return std::nullopt;
  }
  const std::string& id = names_.at(*runner);
  return Choice{ id, members_.at(id).incarnation_, *runner };
}

bool
ServiceSides::IsCurrent(const Choice& aChoice) const
{
  // A side that left and returned has another runner, or the same index with no
  // attempt sent to it yet.
  const auto found = members_.find(aChoice.sideId_);
  return found != members_.end() && found->second.runner_ == aChoice.runner_ &&
         found->second.incarnation_ == aChoice.incarnation_;
}

void
ServiceSides::OnSent(const Choice& aChoice, Instant aNow)
{
  if (IsCurrent(aChoice)) {
    router_.OnSent(aChoice.runner_, aNow);
  }
}

void
ServiceSides::OnAnswer(const Choice& aChoice, Micros aLatency, Instant aNow)
{
  if (IsCurrent(aChoice)) {
    router_.OnAnswer(aChoice.runner_, aLatency, aNow);
  }
}

void
ServiceSides::OnFailure(const Choice& aChoice, Instant aNow)
{
  if (IsCurrent(aChoice)) {
    router_.OnFailure(aChoice.runner_, aNow);
  }
}

void
ServiceSides::OnCancelled(const Choice& aChoice, Instant aNow)
{
  if (IsCurrent(aChoice)) {
    router_.OnCancelled(aChoice.runner_, aNow);
  }
}

RetryBudget&
ServiceSides::Budget()
{
  return budget_;
}

}
