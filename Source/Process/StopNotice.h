#pragma once

#include "Process/Instant.h"

namespace cactusrail {

/**
 * How long an entry that is being stopped still takes new connections: until
 * the balancer in front of it knows. Pure. Owned by the entry's process.
 *
 * A balancer asks whether the entry is ready, each second as a rule, and sends
 * it callers until it has heard twice that it is not. No fixed time is right,
 * as either process may be held up, so the answers given are counted.
 */
class StopNotice
{
public:
  /** The stop begins now; it must be over at aBound. */
  void Begin(Instant aNow, Instant aBound);

  /** The balancer asked, and was told whether the entry is ready. */
  void OnAsked(bool aToldReady, Instant aNow);

  /** Whether new connections are still taken. */
  bool TakesConnections(Instant aNow) const;

private:
  bool begun_ = false;
  /** Answers since then that said "not ready". */
  int told_ = 0;
  Instant askedAt_;
  /** Callers are taken until then whatever the balancer was told. */
  Instant leastUntil_;
  /** Nothing is waited for beyond this. */
  Instant mostUntil_;
};

}
