#include "Request/RoutingSides.h"

#include <chrono>
#include <vector>

namespace cactusrail {

namespace {

/** Heartbeats carry no time that two hosts share; they take about this long. */
constexpr Millis kHeartbeatLag{ 2 };

}

RoutingSides::RoutingSides(std::string aDataCentre, std::uint64_t aSeed)
  : dataCentre_(std::move(aDataCentre))
  , draws_(aSeed != 0)
  , random_(aSeed)
{
}

RoutingSides::Service&
RoutingSides::ServiceNamed(std::string_view aService)
{
  const auto found = services_.find(aService);
  if (found != services_.end()) {
    return found->second;
  }
  return services_[std::string(aService)];
}

void
RoutingSides::OnHeartbeat(const HeartbeatMessage& aHeartbeat, Instant aNow)
{
  if (aHeartbeat.state_ != SideState::Ready) {
    Remove(aHeartbeat.sideId_);
    return;
  }
  auto found = sides_.find(aHeartbeat.sideId_);
  // A restarted upstream has nothing of what we sent to the one before, and its
  // latency is unknown.
  if (found != sides_.end() &&
      (found->second.incarnation_ != aHeartbeat.upstreamIncarnation_ ||
       found->second.service_ != aHeartbeat.service_)) {
    Remove(aHeartbeat.sideId_);
    found = sides_.end();
  }
  Service& service = ServiceNamed(aHeartbeat.service_);
  if (found == sides_.end()) {
    const bool near = aHeartbeat.dataCentre_ == dataCentre_;
    const Router::Runner runner = service.router_.Add(near, aHeartbeat.slots_);
    names_[{ &service, runner }] = aHeartbeat.sideId_;
    const Side side{
      aHeartbeat.service_, aHeartbeat.upstreamIncarnation_, runner, aNow
    };
    found = sides_.emplace(aHeartbeat.sideId_, side).first;
  }
  const RunnerReport report{ aHeartbeat.slots_,
                             aHeartbeat.busy_,
                             aHeartbeat.queued_,
                             aNow - kHeartbeatLag };
  service.router_.OnReport(found->second.runner_, report, aNow);
}

void
RoutingSides::Remove(std::string_view aSideId)
{
  const auto found = sides_.find(aSideId);
  if (found == sides_.end()) {
    return;
  }
  Service& service = ServiceNamed(found->second.service_);
  service.router_.Remove(found->second.runner_);
  names_.erase({ &service, found->second.runner_ });
  sides_.erase(found);
}

std::optional<std::string>
RoutingSides::Choose(std::string_view aService,
                     const std::set<SideIncarnation>& aTried,
                     Instant aNow)
{
  std::vector<Router::Runner> excluded;
  for (const auto& [sideId, incarnation] : aTried) {
    const auto side = sides_.find(sideId);
    if (side != sides_.end() && side->second.incarnation_ == incarnation &&
        side->second.service_ == aService) {
      excluded.push_back(side->second.runner_);
    }
  }
  Service& service = ServiceNamed(aService);
  const std::optional<Router::Runner> runner =
    service.router_.Choose(excluded, draws_ ? random_() : 0, aNow);
  if (!runner.has_value()) {
    return std::nullopt;
  }
  return names_.at({ &service, *runner });
}

void
RoutingSides::OnSent(std::string_view aSideId, Instant aNow)
{
  const auto found = sides_.find(aSideId);
  if (found != sides_.end()) {
    ServiceNamed(found->second.service_)
      .router_.OnSent(found->second.runner_, aNow);
  }
}

void
RoutingSides::OnEnd(std::string_view aSideId,
                    AttemptEnd aEnd,
                    Instant aSentAt,
                    Instant aNow)
{
  const auto found = sides_.find(aSideId);
  // An attempt that was sent before the side came back was counted for the
  // runner that it was then; it must not free a slot of the new one.
  if (found == sides_.end() || aSentAt < found->second.addedAt_) {
    return;
  }
  Router& router = ServiceNamed(found->second.service_).router_;
  const Router::Runner runner = found->second.runner_;
  switch (aEnd) {
    case AttemptEnd::Answered:
      router.OnAnswer(runner, aNow - aSentAt, aNow);
      break;
    case AttemptEnd::Failed:
      router.OnFailure(runner, aNow);
      break;
    case AttemptEnd::Cancelled:
      router.OnCancelled(runner, aNow);
      break;
  }
}

void
RoutingSides::OnRequest(std::string_view aService, Instant aNow)
{
  ServiceNamed(aService).budget_.OnRequest(aNow);
}

bool
RoutingSides::TryRetry(std::string_view aService, Instant aNow)
{
  return ServiceNamed(aService).budget_.TryTake(aNow);
}

}
