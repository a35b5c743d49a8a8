#include "Request/AwakeClock.h"

#include <algorithm>

namespace cactusrail {

void
AwakeClock::OnTick(Instant aNow)
{
  const bool ticked = lastTick_ != Instant();
  if (ticked && aNow - lastTick_ > kLongestTick) {
    stoodStillAt_ = lastTick_;
    wokeAt_ = aNow;
    lost_ += aNow - lastTick_ - kLongestTick;
  }
  lastTick_ = aNow;
}

Instant
AwakeClock::At(Instant aTime) const
{
  if (lastTick_ == Instant()) {
    return aTime;
  }
  const Micros longest = kLongestTick;
  if (aTime >= lastTick_) {
    return lastTick_ - lost_ + std::min(aTime - lastTick_, longest);
  }
  if (aTime >= wokeAt_) {
    return aTime - lost_;
  }
  return wokeAt_ - lost_ - longest + std::min(aTime - stoodStillAt_, longest);
}

}
