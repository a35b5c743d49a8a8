#include "Request/AwakeClock.h"

#include <algorithm>

namespace cactusrail {

void
AwakeClock::OnTick(Instant aNow)
{
  const Instant awake = At(aNow);
  const bool ticked = lastTick_ != Instant();
  if (ticked && aNow - lastTick_ > kLongestTick) {
    stoodStillAt_ = lastTick_;
    awakeAtStandstill_ = awakeAtLastTick_;
    wokeAt_ = aNow;
  }
  lastTick_ = aNow;
  awakeAtLastTick_ = awake;
}

Instant
AwakeClock::At(Instant aTime) const
{
  if (lastTick_ == Instant()) {
    return aTime;
  }
  const Micros longest = kLongestTick;
  if (aTime >= lastTick_) {
    return awakeAtLastTick_ + std::min(aTime - lastTick_, longest);
  }
  if (aTime >= wokeAt_) {
    return awakeAtLastTick_ - (lastTick_ - aTime);
  }
  return awakeAtStandstill_ + std::min(aTime - stoodStillAt_, longest);
}

}
