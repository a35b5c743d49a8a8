#pragma once

#include "Connection/SideLink.h"
#include "Process/SocketAddress.h"
#include "Request/Failure.h"

#include <QObject>

#include <functional>
#include <memory>

namespace cactusrail {

/** Accepts links from other cactusrail processes on one address; owned by a
 * process. */
class LinkListener : public QObject
{
  Q_OBJECT

public:
  /** The callback takes ownership of the link, which has no QObject parent. */
  using Callback = std::function<void(SideLink*)>;

  static Result<std::unique_ptr<LinkListener>> Listen(
    const SocketAddress& aAddress,
    Callback aCallback);
  ~LinkListener() override;

  void Close();

private:
  class Private;
  explicit LinkListener(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> private_;
};

}
