#include "Process/StopNotice.h"

#include <algorithm>

namespace cactusrail {

namespace {

/** A balancer believes so many answers in a row. */
constexpr int kBelieved = 2;

/** Two questions a second apart, and connections that were under way when the
 * second was answered. */
constexpr Millis kLeastNotice{ 2300 };

/** A balancer that asks less often than this is not waited for, nor is one that
 * asks no more. */
constexpr Millis kMostNotice{ 5000 };

}

void
StopNotice::Begin(Instant aNow, Instant aBound)
{
  begun_ = true;
  told_ = 0;
  mostUntil_ = std::min(aNow + kMostNotice, aBound);
  leastUntil_ = std::min(aNow + kLeastNotice, mostUntil_);
}

void
StopNotice::OnAsked(bool aToldReady, Instant aNow)
{
  askedAt_ = aNow;
  told_ += begun_ && !aToldReady ? 1 : 0;
}

bool
StopNotice::TakesConnections(Instant aNow) const
{
  if (!begun_ || aNow < leastUntil_) {
    return true;
  }
  const bool asks = askedAt_ != Instant() && aNow - askedAt_ < kMostNotice;
  return asks && told_ < kBelieved && aNow < mostUntil_;
}

}
