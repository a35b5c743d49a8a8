#include "Process/StoreBreaker.h"

#include "Process/CallerCall.h"
#include "Process/Log.h"
#include "Process/Metrics.h"

#include <functional>
#include <string>

namespace cactusrail {

namespace {

double
SpreadStartOf(std::string_view aNode)
{
  constexpr std::size_t kSteps = 1000;
  return static_cast<double>(std::hash<std::string_view>()(aNode) % kSteps) /
         kSteps;
}

}

StoreBreaker::StoreBreaker(std::string_view aNode)
  : breaker_(SpreadStartOf(aNode))
{
}

void
StoreBreaker::SetEnabled(bool aEnabled)
{
  enabled_ = aEnabled;
  Metrics::OfProcess().Set(Gauge::StoreBreakerOpen, Rejects() ? 1 : 0);
}

void
StoreBreaker::OnAnswered(Instant aAt)
{
  const bool rejected = breaker_.Rejects();
  breaker_.OnSuccess(aAt);
  if (rejected && !breaker_.Rejects() && enabled_) {
    LogClosed(aAt);
  }
}

void
StoreBreaker::LogClosed(Instant aNow) const
{
  const auto open =
    std::chrono::duration_cast<Millis>(aNow - breaker_.OpenedAt());
  LogChange("breaker-closed", { { "openMs", std::to_string(open.count()) } });
  Metrics::OfProcess().Set(Gauge::StoreBreakerOpen, 0);
}

bool
StoreBreaker::OnFailed(Instant aSentAt, Instant aNow)
{
  const bool rejected = breaker_.Rejects();
  breaker_.OnFailure(aSentAt, aNow);
  if (rejected || !Rejects()) {
    return false;
  }
  LogChange("breaker-opened",
            { { "failures", std::to_string(breaker_.Failures()) } });
  Metrics::OfProcess().Set(Gauge::StoreBreakerOpen, 1);
  return true;
}

bool
StoreBreaker::TakeProbe(Instant aNow)
{
  return enabled_ && breaker_.TakeProbe(aNow);
}

void
StoreBreaker::OnProbeEnded(bool aSuccess, Instant aNow)
{
  if (aSuccess) {
    OnAnswered(aNow);
  } else {
    breaker_.OnProbeFailure(aNow);
  }
}

Millis
StoreBreaker::RetryAfter(Instant aNow)
{
  return Rejects() ? breaker_.RetryAfter(aNow) : CallerReply().retryAfter_;
}

}
