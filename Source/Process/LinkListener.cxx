#include "Process/LinkListener.h"

#include <QHostAddress>
#include <QTcpServer>

#include <utility>

namespace cactusrail {

class LinkListener::Private
{
public:
  QTcpServer server_;
  Callback callback_;
};

LinkListener::LinkListener(std::unique_ptr<Private> aPrivate)
  : private_(std::move(aPrivate))
{
  connect(&private_->server_, &QTcpServer::newConnection, this, [this] {
    while (QTcpSocket* socket = private_->server_.nextPendingConnection()) {
      private_->callback_(new SideLink(socket, nullptr));
    }
  });
}

LinkListener::~LinkListener() = default;

Result<std::unique_ptr<LinkListener>>
LinkListener::Listen(const SocketAddress& aAddress, Callback aCallback)
{
  auto self = std::make_unique<Private>();
  self->callback_ = std::move(aCallback);
  const QHostAddress host(QString::fromStdString(aAddress.ip_));
  if (!self->server_.listen(host, aAddress.port_)) {
    return NotRun(FailureKind::Refused,
                  "Can't listen for links on " + aAddress.Text() + ": " +
                    self->server_.errorString().toStdString() +
                    ". Choose an address of this host with a free port.");
  }
  return std::unique_ptr<LinkListener>(new LinkListener(std::move(self)));
}

void
LinkListener::Close()
{
  private_->server_.close();
}

}
