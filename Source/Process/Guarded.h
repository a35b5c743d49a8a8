#pragma once

#include <QObject>
#include <QPointer>

#include <utility>

namespace cactusrail {

/**
 * Wraps a callback so that it does nothing after its owner was destroyed.
 *
 * The object that made a call to the table service may be destroyed before the
 * client delivers the answer, for instance the leader part of an entry when its
 * lease is lost. The wrapper's pointer to the owner is then null.
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
