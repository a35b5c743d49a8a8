#include "Version/ReturnPacing.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

ReturnPacing::ReturnPacing(const Rules& aRules)
  : rules_(aRules)
{
}

Instant
ReturnPacing::After(Instant aNow, std::uint64_t aRandom) const
{
  const auto most =
    static_cast<std::uint64_t>(Micros(rules_.longestWait_).count());
  return aNow + Micros(static_cast<std::int64_t>(aRandom % (most + 1)));
}

void
ReturnPacing::OnOutage(Instant aNow, std::uint64_t aRandom)
{
  paced_ = true;
  perSecond_ = rules_.firstPerSecond_;
  nextAt_ = After(aNow, aRandom);
  doubledAt_ = nextAt_;
}

void
ReturnPacing::OnSuccess(Instant aNow)
{
  if (!paced_ || aNow < doubledAt_ + rules_.doubleEvery_) {
    return;
  }
  perSecond_ *= 2;
  doubledAt_ = aNow;
  paced_ = perSecond_ <= rules_.mostPerSecond_;
}

void
ReturnPacing::OnFailure(Instant aNow, std::uint64_t aRandom)
{
  if (!paced_) {
    OnOutage(aNow, aRandom);
    return;
  }
  perSecond_ = std::max(rules_.firstPerSecond_ / 2, perSecond_ / 2);
  nextAt_ = std::max(nextAt_, After(aNow, aRandom));
  doubledAt_ = aNow;
}

bool
ReturnPacing::TryTake(Instant aNow)
{
  if (!paced_) {
    return true;
  }
  if (aNow < nextAt_) {
    return false;
  }
  nextAt_ = aNow + Micros(std::llround(1e6 / perSecond_));
  return true;
}

Instant
ReturnPacing::NextAt() const
{
  return nextAt_;
}

bool
ReturnPacing::IsPaced() const
{
  return paced_;
}

}
