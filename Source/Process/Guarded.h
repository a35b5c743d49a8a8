#pragma once

#include <QObject>
#include <QPointer>

#include <utility>

namespace cactusrail {

/**
 * A callback that does nothing once its owner is gone.
 *
 * What made a call to the table may be destroyed before the answer comes from a
 * client that lives on, as the part of an entry that leads is when the lease is
 * lost. The pointer is null by then.
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
