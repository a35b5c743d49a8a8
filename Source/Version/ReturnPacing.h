#pragma once

#include "Process/Instant.h"

#include <cstdint>

namespace cactusrail {

/**
 * Paces a process's writes to the table service after an outage. If every
 * process sent what it had held back at once, the service would go down again:
 * so each waits for a random part of a second, starts at a small rate, doubles
 * it while writes succeed and halves it when one fails. Pure; the caller brings
 * the random number.
 */
class ReturnPacing
{
public:
  struct Rules
  {
    double firstPerSecond_ = 2;
    double mostPerSecond_ = 50;
    Millis doubleEvery_{ 1000 };
    Millis longestWait_{ 2000 };
  };

  explicit ReturnPacing(const Rules& aRules);

  /** The service can't be reached: only probes are sent, one at a time. */
  void OnOutage(Instant aNow, std::uint64_t aRandom);
  void OnSuccess(Instant aNow);
  void OnFailure(Instant aNow, std::uint64_t aRandom);

  /** Takes the right to send one write now, if there is one. */
  bool TryTake(Instant aNow);
  /** When TryTake may succeed at the earliest. */
  Instant NextAt() const;
  /** Whether writes are held back at all. */
  bool IsPaced() const;

private:
  Instant After(Instant aNow, std::uint64_t aRandom) const;

  Rules rules_;
  bool paced_ = false;
  double perSecond_ = 0;
  Instant nextAt_;
  Instant doubledAt_;
};

}
