#include "Process/StopNotice.h"

#include <algorithm>

namespace cactusrail {

namespace {

/** Consecutive "not ready" answers after which a balancer removes an entry. */
constexpr int kBelieved = 2;

/** Covers two health checks one second apart, and connections that were in
 * flight when the second one was answered. */
constexpr Millis kLeastNotice{ 2300 };

/** A balancer whose last health check is older than this is not waited for,
 * because its interval is too long or it no longer sends health checks. */
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
