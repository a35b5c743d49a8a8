#include "Process/StopNotice.h"

#include <algorithm>

namespace cactusrail {

namespace {

/** Number of "not ready" answers since the stop began, consecutive or not,
 * after which the balancer is taken to have removed the entry. */
constexpr int kRequiredNotReadyAnswers = 2;

/** Covers two health checks one second apart, and connections that were in
 * flight when the second one was answered. */
constexpr Millis kMinNotice{ 2300 };

/** Maximum duration of the notice. A balancer whose last health check is older
 * than this is not waited for either: its interval is too long, or it no longer
 * sends health checks. */
constexpr Millis kMaxNotice{ 5000 };

}

void
StopNotice::Begin(Instant aNow, Instant aDeadline)
{
  begun_ = true;
  notReadyAnswers_ = 0;
  maxEnd_ = std::min(aNow + kMaxNotice, aDeadline);
  minEnd_ = std::min(aNow + kMinNotice, maxEnd_);
}

void
StopNotice::OnHealthCheck(bool aReportedReady, Instant aNow)
{
  lastHealthCheck_ = aNow;
  notReadyAnswers_ += begun_ && !aReportedReady ? 1 : 0;
}

bool
StopNotice::AcceptsConnections(Instant aNow) const
{
  if (!begun_ || aNow < minEnd_) {
    return true;
  }
  const bool sendsHealthChecks =
    lastHealthCheck_ != Instant() && aNow - lastHealthCheck_ < kMaxNotice;
  return sendsHealthChecks && notReadyAnswers_ < kRequiredNotReadyAnswers &&
         aNow < maxEnd_;
}

}
