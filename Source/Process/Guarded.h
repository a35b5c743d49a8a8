#pragma once

#include <QObject>
#include <QPointer>

#include <utility>

namespace cactusrail {

/**
 * A callback that does nothing once its owner is gone.
 *
 * Failure guarded against: the part of an entry that leads is destroyed when
 * the lease is lost, while calls to the table that it made have no answer yet.
 * Their callbacks come later, from a client that lives on, and the process died
 * in the first one (SIGSEGV). The pointer is null by then.
 */
template<typename Callback>
auto
Guarded(QObject* aOwner, Callback aCallback)
{
  return [owner = QPointer<QObject>(aOwner),
          callback = std::move(aCallback)](auto&&... aArguments) {
    if (!owner.isNull()) {
      callback(std::forward<decltype(aArguments)>(aArguments)...);
    }
  };
}

}
