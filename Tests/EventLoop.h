#pragma once

#include "Version/Instant.h"

#include <QCoreApplication>
#include <QEventLoop>

#include <functional>

namespace cactusrail {

/**
 * Runs the event loop until aCondition returns true; returns false if that does
 * not happen within aMost.
 */
inline bool
WaitInLoop(const std::function<bool()>& aCondition,
           Millis aMost = Millis(30000))
{
  const Instant until = ReadMonotonicClock() + aMost;
  while (!aCondition() && ReadMonotonicClock() < until) {
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
  }
  return aCondition();
}

}
