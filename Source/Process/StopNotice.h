#pragma once

#include "Version/Instant.h"

namespace cactusrail {

/**
 * Decides how long a stopping entry still accepts new connections: until the
 * load balancer's health checks have reported "not ready". Performs no I/O.
 * Owned by the entry's process.
 *
 * A balancer usually sends a health check each second and routes callers to the
 * entry until it has received two "not ready" answers. A fixed delay would not
 * be reliable, since either process may be delayed, so the answers are counted.
 */
class StopNotice
{
public:
  /** Begins the stop, which must end by aDeadline. */
  void Begin(Instant aNow, Instant aDeadline);

  /** Records a health check of the balancer and the readiness it reported. */
  void OnHealthCheck(bool aReportedReady, Instant aNow);

  /** Returns whether new connections are still accepted. */
  bool AcceptsConnections(Instant aNow) const;

private:
  bool begun_ = false;
  /** Number of "not ready" answers since the stop began. */
  int notReadyAnswers_ = 0;
  Instant lastHealthCheck_;
  /** Earliest time at which new connections may be refused. */
  Instant minEnd_;
  /** Time after which new connections are refused in any case. */
  Instant maxEnd_;
};

}
