#include "Connection/HttpFront.h"

#include <QCoreApplication>
#include <QTcpSocket>

#include <criterion/criterion.h>

#include <vector>

using namespace cactusrail;

namespace {

/** An HttpFront in this process, with small limits, and one client. */
class Fixture
{
public:
  explicit Fixture(Millis aReceiveTimeout = Millis(200))
  {
    HttpLimits limits;
    limits.maxHeadBytes_ = 500;
    limits.maxBodyBytes_ = 1000;
    limits.receiveTimeout_ = aReceiveTimeout;
    auto front = HttpFront::Listen(
      "127.0.0.1", 0, limits, [this](const HttpExchange& aExchange) {
        exchanges_.push_back(aExchange);
      });
    front_ = std::move(std::get<std::unique_ptr<HttpFront>>(front));
  }

  void Connect() { client_.connectToHost("127.0.0.1", front_->Port()); }

  template<typename Condition>
  void Until(const Condition& aCondition)
  {
    const Instant bound = ReadMonotonicClock() + std::chrono::seconds(20);
    while (!aCondition()) {
      cr_assert(ReadMonotonicClock() < bound,
                "The condition was not met within 20 s.");
      QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
  }

  int argumentCount_ = 1;
  std::string name_ = "test";
  char* arguments_ = name_.data();
  QCoreApplication application_{ argumentCount_, &arguments_ };
  std::vector<HttpExchange> exchanges_;
  std::unique_ptr<HttpFront> front_;
  QTcpSocket client_;
};

}

Test(HttpGuard, CountsRejectedRequests)
{
  Fixture fixture;
  const auto send = [&fixture](const std::string& aBytes) {
    QTcpSocket client;
    client.connectToHost("127.0.0.1", fixture.front_->Port());
    client.write(aBytes.data(), static_cast<qint64>(aBytes.size()));
    fixture.Until([&client] {
      return client.state() == QAbstractSocket::UnconnectedState &&
             client.bytesAvailable() > 0;
    });
    return client.readAll().toStdString();
  };
  cr_assert(send("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
  cr_assert(send("GET / HTTP/1.1\r\nX: " + std::string(600, 'x') + "\r\n\r\n")
              .starts_with("HTTP/1.1 431"));
  cr_assert(send("GET /" + std::string(600, 'x')).starts_with("HTTP/1.1 431"));
  cr_assert(send("PUT / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n")
              .starts_with("HTTP/1.1 413"));
  cr_assert(send("PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc")
              .starts_with("HTTP/1.1 408"));
  const HttpGuardCounts& counts = fixture.front_->Counts();
  cr_assert(counts.malformed_ == 1);
  cr_assert(counts.headTooLarge_ == 2);
  cr_assert(counts.bodyTooLarge_ == 1);
  cr_assert(counts.timedOutRequests_ == 1);
  cr_assert(fixture.exchanges_.empty(),
            "The library received malformed input.");
}

// Guards against a crash of QHttpServer 6.4.2, which writes to a freed socket
// when the caller disconnects before its response is written.
Test(HttpGuard, AnswerToDisconnectedCallerIsDiscarded)
{
  Fixture fixture;
  fixture.Connect();
  fixture.client_.write("GET / HTTP/1.1\r\n\r\n");
  fixture.Until([&] { return fixture.exchanges_.size() == 1; });
  bool notified = false;
  fixture.exchanges_[0].OnDisconnected([&notified] { notified = true; });
  fixture.client_.abort();
  fixture.Until(
    [&] { return fixture.front_->Counts().callersDisconnected_ == 1; });
  cr_assert(notified);
  HttpAnswer answer;
  answer.body_ = std::string(100000, 'x');
  fixture.exchanges_[0].Answer(answer);
  fixture.exchanges_.clear();
  fixture.Until([&] { return fixture.front_->Unanswered() == 0; });
}

// Guards against a shutdown that closes a connection with a partly received
// request, whose caller then can't determine whether the request ran. The
// request must be received completely and answered before the close.
Test(HttpGuard, StopCompletesPartlyReceivedRequest)
{
  Fixture fixture(std::chrono::seconds(20));
  fixture.Connect();
  fixture.client_.write("PUT / HTTP/1.1\r\nContent-Length: 6\r\n\r\nabc");
  fixture.Until([&] { return fixture.front_->Connections() == 1; });
  fixture.client_.waitForBytesWritten(1000);
  fixture.Until([&] { return fixture.front_->Unanswered() == 1; });
  fixture.front_->StopListening();
  fixture.Until([&] { return !fixture.front_->Listening(); });
  fixture.client_.write("def");
  fixture.Until([&] { return fixture.exchanges_.size() == 1; });
  cr_assert(fixture.exchanges_[0].Body() == "abcdef");
  fixture.exchanges_[0].Answer(HttpAnswer{});
  fixture.Until([&] {
    return fixture.client_.state() == QAbstractSocket::UnconnectedState;
  });
  cr_assert(fixture.client_.readAll().startsWith("HTTP/1.1 200"));
  cr_assert(fixture.front_->Unanswered() == 0);
}
