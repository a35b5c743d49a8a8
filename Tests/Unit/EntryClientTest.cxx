#include "Process/EntryClient.h"
#include "Connection/HttpFront.h"

#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>

#include <criterion/criterion.h>

using namespace cactusrail;

namespace {

/** Event loop, an entry that responds, and the number of requests it received.
 */
class EntryFixture
{
public:
  EntryFixture()
    : application_(argc_, &argv_)
  {
    auto front = HttpFront::Listen(
      "127.0.0.1", 0, HttpLimits{}, [this](const HttpExchange& aExchange) {
        ++requests_;
        HttpAnswer answer;
        answer.body_ = "here";
        aExchange.Answer(answer);
      });
    front_ = std::move(std::get<std::unique_ptr<HttpFront>>(front));
  }

  EntryClient Client(std::uint16_t aFirstPort) const
  {
    const std::vector<std::string> words{
      "--entry",
      "127.0.0.1:" + std::to_string(aFirstPort),
      "--entry",
      "127.0.0.1:" + std::to_string(front_->Port())
    };
    const auto line = CommandLine::Parse(words, {}, EntryOptions());
    return std::get<EntryClient>(
      EntryClient::Make(std::get<CommandLine>(line)));
  }

  int requests_ = 0;

private:
  int argc_ = 1;
  char name_[2] = "t";
  char* argv_ = name_;
  QCoreApplication application_;
  std::unique_ptr<HttpFront> front_;
};

/** Returns a port without a listener. */
std::uint16_t
ClosedPort()
{
  QTcpServer server;
  server.listen(QHostAddress::LocalHost, 0);
  return server.serverPort();
}

}

Test(EntryClient, TriesTheNextEntryIfOneIsUnreachable)
{
  EntryFixture fixture;
  const EntryClient client = fixture.Client(ClosedPort());
  const auto got = client.Call("GET", "/", "");
  cr_assert(std::get<HttpReply>(got).body_ == "here");
  const auto put = client.Call("PUT", "/", "x");
  cr_assert(std::get<HttpReply>(put).body_ == "here");
  cr_assert(fixture.requests_ == 2);
}

// Guards against sending a change twice. An entry receives a drain command and
// dies before it responds; sent to the next entry, the command would run twice.
// The client must report that the change may have been made.
Test(EntryClient, ChangeWithUnknownOutcomeIsNotSentToAnotherEntry)
{
  EntryFixture fixture;
  QTcpServer dying;
  dying.listen(QHostAddress::LocalHost, 0);
  int read = 0;
  QObject::connect(&dying, &QTcpServer::newConnection, &dying, [&] {
    QTcpSocket* socket = dying.nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [&read, socket] {
      ++read;
      socket->abort();
    });
  });
  const EntryClient client = fixture.Client(dying.serverPort());
  const auto result = client.Call("POST", "/v1/drain", "x");
  const auto* failure = std::get_if<Failure>(&result);
  cr_assert(failure != nullptr);
  cr_assert(failure->verdict_ == Verdict::MayHaveRun);
  cr_assert(read == 1 && fixture.requests_ == 0);
}
