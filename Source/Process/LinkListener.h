#pragma once

#include "Connection/SideLink.h"
#include "Process/SocketAddress.h"
#include "Request/Failure.h"

#include <QObject>

#include <functional>
#include <memory>

namespace cactusrail {

/** Takes links of our own processes on one address; owned by a process. */
class LinkListener : public QObject
{
  Q_OBJECT

public:
  /** The callback owns the link: it is a child of nothing. */
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
