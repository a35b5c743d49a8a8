#include "Version/RecoveryRateLimiter.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

RecoveryRateLimiter::RecoveryRateLimiter(const Rules& aRules)
  : rules_(aRules)
{
}

Instant
RecoveryRateLimiter::RandomDelayFrom(Instant aNow, std::uint64_t aRandom) const
{
  const auto maxWaitMicros =
    static_cast<std::uint64_t>(Micros(rules_.maxWait_).count());
  return aNow +
         Micros(static_cast<std::int64_t>(aRandom % (maxWaitMicros + 1)));
}

void
RecoveryRateLimiter::OnOutage(Instant aNow, std::uint64_t aRandom)
{
  limited_ = true;
  perSecond_ = rules_.initialPerSecond_;
  nextAt_ = RandomDelayFrom(aNow, aRandom);
  rateChangedAt_ = nextAt_;
}

void
RecoveryRateLimiter::OnSuccess(Instant aNow)
{
  if (!limited_ || aNow < rateChangedAt_ + rules_.doublingInterval_) {
    return;
  }
  perSecond_ *= 2;
  rateChangedAt_ = aNow;
  limited_ = perSecond_ <= rules_.maxPerSecond_;
}

void
RecoveryRateLimiter::OnFailure(Instant aNow, std::uint64_t aRandom)
{
  if (!limited_) {
    OnOutage(aNow, aRandom);
    return;
  }
  perSecond_ = std::max(rules_.initialPerSecond_ / 2, perSecond_ / 2);
  nextAt_ = std::max(nextAt_, RandomDelayFrom(aNow, aRandom));
  rateChangedAt_ = aNow;
}

bool
RecoveryRateLimiter::TryTake(Instant aNow)
{
  if (!limited_) {
    return true;
  }
  if (aNow < nextAt_) {
    return false;
  }
  nextAt_ = aNow + Micros(std::llround(1e6 / perSecond_));
  return true;
}

Instant
RecoveryRateLimiter::NextAt() const
{
  return nextAt_;
}

bool
RecoveryRateLimiter::IsLimited() const
{
  return limited_;
}

}
