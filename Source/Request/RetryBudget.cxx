#include "Request/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

RetryBudget::RetryBudget(const Rules& aRules)
  : rules_(aRules)
  , tokens_(aRules.maxTokens_ / 2)
{
}

void
RetryBudget::Refill(Instant aNow)
{
  if (aNow <= refilledAt_) {
    return;
  }
  const double seconds =
    std::chrono::duration<double>(aNow - refilledAt_).count();
  tokens_ = std::min(rules_.maxTokens_, tokens_ + seconds * rules_.perSecond_);
  refilledAt_ = aNow;
}

void
RetryBudget::OnRequest(Instant aNow)
{
  Refill(aNow);
  tokens_ = std::min(rules_.maxTokens_, tokens_ + rules_.perRequest_);
}

bool
RetryBudget::TryTake(Instant aNow)
{
  Refill(aNow);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

Instant
RetryBudget::NextAt(Instant aNow) const
{
  const double missing = std::max(0.0, 1 - tokens_);
  const double seconds = missing / rules_.perSecond_;
  return aNow + Micros(std::llround(seconds * 1e6));
}

}
