#include "Connection/HttpCaller.h"
#include "Tests/EventLoop.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <criterion/criterion.h>

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace cactusrail;

namespace {

/**
 * A listening socket whose accept queue is full, so that the kernel drops the
 * SYN of each further connection. Simulates a network partition to a caller.
 */
class FullListener
{
public:
  FullListener()
    : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    cr_assert(::bind(descriptor_, generic, size) == 0);
    cr_assert(::listen(descriptor_, 0) == 0);
    ::getsockname(descriptor_, generic, &size);
    port_ = ntohs(address.sin_port);
    FillAcceptQueue();
  }

  /** Ends the partition: accepts waiting and new connections. */
  void EndPartition(QTcpServer& aServer)
  {
    fillers_.clear();
    ::listen(descriptor_, 64);
    aServer.setSocketDescriptor(descriptor_);
  }

  std::uint16_t Port() const { return port_; }

private:
  /** Opens connections until one is not established. */
  void FillAcceptQueue()
  {
    constexpr int kMaxConnections = 16;
    for (int i = 0; i < kMaxConnections; ++i) {
      auto socket = std::make_unique<QTcpSocket>();
      socket->connectToHost(QHostAddress::LocalHost, port_);
      const bool made = socket->waitForConnected(100);
      fillers_.push_back(std::move(socket));
      if (!made) {
        return;
      }
    }
  }

  int descriptor_;
  std::uint16_t port_ = 0;
  std::vector<std::unique_ptr<QTcpSocket>> fillers_;
};

HttpCall
CallTo(std::uint16_t aPort, const std::string& aPath, Instant aDeadline)
{
  HttpCall call;
  call.method_ = "GET";
  call.url_ = "http://127.0.0.1:" + std::to_string(aPort) + aPath;
  call.deadline_ = aDeadline;
  return call;
}

}

// Guards against a call that reuses a connection attempt of an aborted call.
// When a network partition interrupted the attempt, TCP retransmits the SYN
// only seconds later, so an entry had no table service for 4 s after the
// partition.
Test(HttpCaller, CallAfterPartitionOpensNewConnection)
{
  int argc = 1;
  char name[] = "test";
  char* argv[] = { name, nullptr };
  const QCoreApplication application(argc, argv);
  FullListener listener;
  HttpCaller caller;
  bool firstCallFailed = false;
  caller.Start(
    CallTo(listener.Port(), "/first", ReadMonotonicClock() + Millis(300)),
    [&firstCallFailed](const Result<HttpReply>& aReply) {
      firstCallFailed = std::holds_alternative<Failure>(aReply);
    });
  cr_assert(WaitInLoop([&firstCallFailed] { return firstCallFailed; }));

  QTcpServer server;
  std::vector<std::string> receivedData;
  QObject::connect(&server, &QTcpServer::newConnection, &server, [&] {
    while (QTcpSocket* socket = server.nextPendingConnection()) {
      QObject::connect(socket, &QTcpSocket::readyRead, &server, [&, socket] {
        receivedData.push_back(socket->readAll().toStdString());
      });
    }
  });
  listener.EndPartition(server);
  caller.Start(
    CallTo(listener.Port(), "/second", ReadMonotonicClock() + Millis(20000)),
    [](const Result<HttpReply>&) {});
  // Bounds the time by other connections, one after another: a hundred of them
  // take some milliseconds, and TCP retransmits an old SYN after a second.
  constexpr int kOtherConnections = 100;
  const auto isCall = [](const std::string& aBytes) {
    return aBytes.starts_with("GET /second");
  };
  const auto called = [&receivedData, &isCall] {
    return std::any_of(receivedData.begin(), receivedData.end(), isCall);
  };
  for (int i = 0; i < kOtherConnections && !called(); ++i) {
    const std::size_t before = receivedData.size();
    QTcpSocket other;
    QObject::connect(&other, &QTcpSocket::connected, &other, [&other] {
      other.write("other");
    });
    other.connectToHost(QHostAddress::LocalHost, listener.Port());
    cr_assert(WaitInLoop(
      [&receivedData, before] { return receivedData.size() > before; }));
  }
  cr_assert(called(),
            "%d other connections were served before the call",
            kOtherConnections);
}
