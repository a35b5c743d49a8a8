#include "Request/AwakeClock.h"

#include <algorithm>

namespace cactusrail {

void
AwakeClock::OnTick(Instant aNow)
{
  const bool ticked = lastTick_ != Instant();
  if (ticked && aNow - lastTick_ > kMaxTick) {
    stalledAt_ = lastTick_;
    resumedAt_ = aNow;
    excluded_ += aNow - lastTick_ - kMaxTick;
  }
  lastTick_ = aNow;
}

Instant
AwakeClock::At(Instant aTime) const
{
  if (lastTick_ == Instant()) {
    return aTime;
  }
  const Micros longest = kMaxTick;
  if (aTime >= lastTick_) {
    return lastTick_ - excluded_ + std::min(aTime - lastTick_, longest);
  }
  if (aTime >= resumedAt_) {
    return aTime - excluded_;
  }
  return resumedAt_ - excluded_ - longest +
         std::min(aTime - stalledAt_, longest);
}

}
