// Stands in for a runner of a service: announces itself to its side and serves
// HTTP with a number of slots. The query of a request selects the behaviour:
// work=MS takes that long to serve; fail=close closes the connection without an
// answer; fail=truncate sends half an answer; fail=lengthless sends an answer
// that does not state its length; fail=hang never answers. Each request that
// begins is written to stdout as "ran ID MARK", where MARK is the caller's
// X-Mark, so that tests can compare the verdicts that callers received with the
// requests that ran; "busy N" reports each new maximum of concurrent requests.
// HTTP is read from plain sockets, because a library could not produce these
// failures. SIGTERM sends the goodbye and ends the process when the running
// requests have finished.

#include "Connection/HttpCaller.h"
#include "Connection/HttpFraming.h"
#include "Process/StopSignal.h"
#include "StandInOptions.h"

#include <QCoreApplication>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>

#include <map>
#include <memory>
#include <sstream>
#include <string>

namespace {

struct UpstreamFacts
{
  std::string announceAt_;
  std::string service_;
  std::string address_;
  std::uint16_t port_ = 0;
  unsigned slots_ = 0;
  std::int64_t incarnation_ = 0;
};

std::string
AnnouncementJson(const UpstreamFacts& aFacts)
{
  return "{\"service\":\"" + aFacts.service_ +
         "\",\"labels\":[],\"address\":\"" + aFacts.address_ +
         "\",\"port\":" + std::to_string(aFacts.port_) +
         ",\"slots\":" + std::to_string(aFacts.slots_) +
         ",\"incarnation\":" + std::to_string(aFacts.incarnation_) + "}";
}

/** One received request and the connection to answer on. */
struct ReceivedRequest
{
  QPointer<QTcpSocket> socket_;
  std::string target_;
  std::map<std::string, std::string> headers_;
  std::string body_;

  std::string Query(const std::string& aKey) const
  {
    const QUrlQuery query(QUrl(QString::fromStdString(target_)));
    return query.queryItemValue(QString::fromStdString(aKey)).toStdString();
  }
};

/** Parses a complete request, the bounds of which are already known. */
ReceivedRequest
ParseRequest(QTcpSocket* aSocket,
             const std::string& aBytes,
             const cactusrail::HttpRequestBounds& aBounds)
{
  ReceivedRequest request;
  request.socket_ = aSocket;
  request.body_ = aBytes.substr(aBounds.headBytes_, aBounds.bodyBytes_);
  std::istringstream head(aBytes.substr(0, aBounds.headBytes_));
  std::string method;
  std::string line;
  head >> method >> request.target_;
  std::getline(head, line);
  while (std::getline(head, line)) {
    const std::size_t colon = line.find(": ");
    if (colon == std::string::npos) {
      continue;
    }
    const std::size_t length = line.size() - colon - 3;
    const QString name = QString::fromStdString(line.substr(0, colon));
    request.headers_[name.toLower().toStdString()] =
      line.substr(colon + 2, length);
  }
  return request;
}

class Upstream
{
public:
  explicit Upstream(unsigned aSlots)
    : slots_(aSlots)
  {
  }

  bool Listen(const std::string& aAddress, std::uint16_t aPort);
  std::uint16_t Port() const { return server_.serverPort(); }
  void EndWhenIdle();

private:
  void OnConnection(QTcpSocket* aSocket);
  void OnBytes(QTcpSocket* aSocket, std::string& aBuffer);
  void Handle(ReceivedRequest aRequest);
  void Finish(const ReceivedRequest& aRequest);

  unsigned slots_;
  unsigned busy_ = 0;
  unsigned mostBusy_ = 0;
  bool ending_ = false;
  QTcpServer server_;
};

void
Upstream::EndWhenIdle()
{
  ending_ = true;
  if (busy_ == 0) {
    QCoreApplication::quit();
  }
}

bool
Upstream::Listen(const std::string& aAddress, std::uint16_t aPort)
{
  QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
    while (QTcpSocket* socket = server_.nextPendingConnection()) {
      OnConnection(socket);
    }
  });
  return server_.listen(QHostAddress(QString::fromStdString(aAddress)), aPort);
}

void
Upstream::OnConnection(QTcpSocket* aSocket)
{
  auto held = std::make_shared<std::string>();
  QObject::connect(aSocket, &QTcpSocket::readyRead, aSocket, [=, this] {
    OnBytes(aSocket, *held);
  });
  QObject::connect(
    aSocket, &QTcpSocket::disconnected, aSocket, &QObject::deleteLater);
}

void
Upstream::OnBytes(QTcpSocket* aSocket, std::string& aBuffer)
{
  aBuffer += aSocket->readAll().toStdString();
  const std::size_t end = aBuffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return;
  }
  const auto read = cactusrail::ReadHttpBounds(
    std::string_view(aBuffer).substr(0, end + std::size("\r\n\r\n") - 1));
  const auto* bounds = std::get_if<cactusrail::HttpRequestBounds>(&read);
  if (bounds == nullptr) {
    aSocket->abort();
    return;
  }
  const std::size_t whole = bounds->headBytes_ + bounds->bodyBytes_;
  if (aBuffer.size() < whole) {
    return;
  }
  ReceivedRequest request = ParseRequest(aSocket, aBuffer, *bounds);
  aBuffer.erase(0, whole);
  Handle(std::move(request));
}

void
Upstream::Handle(ReceivedRequest aRequest)
{
  std::cout << "ran " << aRequest.headers_["x-request-id"] << " "
            << aRequest.headers_["x-mark"] << std::endl;
  ++busy_;
  if (busy_ > slots_) {
    std::cout << "overloaded " << busy_ << std::endl;
  }
  if (busy_ > mostBusy_) {
    mostBusy_ = busy_;
    std::cout << "busy " << busy_ << std::endl;
  }
  if (aRequest.Query("fail") == "hang") {
    return;
  }
  const std::string work = aRequest.Query("work");
  if (work.empty()) {
    Finish(aRequest);
    return;
  }
  QTimer::singleShot(
    std::stoi(work), &server_, [this, aRequest] { Finish(aRequest); });
}

void
Upstream::Finish(const ReceivedRequest& aRequest)
{
  --busy_;
  if (aRequest.socket_.isNull()) {
    return;
  }
  const auto mark = aRequest.headers_.find("x-mark");
  const std::string served =
    "served " +
    (mark == aRequest.headers_.end() ? std::string("-") : mark->second) + " " +
    aRequest.headers_.at("x-request-id") + " " + aRequest.body_ + " end\n";
  const std::string fail = aRequest.Query("fail");
  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
  if (fail == "lengthless") {
    head += "Connection: close\r\n";
  } else {
    head += "Content-Length: " + std::to_string(served.size()) + "\r\n";
  }
  const std::string whole = head + "\r\n" + served;
  if (fail == "truncate") {
    aRequest.socket_->write(
      whole.data(), static_cast<qint64>(whole.size() - served.size() / 2));
  } else if (fail != "close") {
    aRequest.socket_->write(whole.data(), static_cast<qint64>(whole.size()));
  }
  if (!fail.empty()) {
    aRequest.socket_->disconnectFromHost();
  }
  if (ending_ && busy_ == 0) {
    aRequest.socket_->flush();
    QCoreApplication::quit();
  }
}

}

int
main(int argc, char** argv)
{
  QCoreApplication application(argc, argv);
  namespace options = boost::program_options;
  options::options_description known("standin-upstream");
  known.add_options()("listen", options::value<std::string>()->required())(
    "port", options::value<std::uint16_t>()->default_value(0))(
    "announce",
    options::value<std::string>()->default_value(""),
    "IP:PORT of the side's announce address; empty to disable announcements")(
    "service", options::value<std::string>()->default_value("demo"))(
    "slots", options::value<unsigned>()->default_value(8));
  const auto values = ParseStandInOptions(argc, argv, known);
  if (!values.has_value()) {
    return 2;
  }
  UpstreamFacts facts;
  facts.announceAt_ = (*values)["announce"].as<std::string>();
  facts.service_ = (*values)["service"].as<std::string>();
  facts.address_ = (*values)["listen"].as<std::string>();
  facts.slots_ = (*values)["slots"].as<unsigned>();
  facts.incarnation_ = cactusrail::ReadWallClock();
  Upstream upstream(facts.slots_);
  if (!upstream.Listen(facts.address_, (*values)["port"].as<std::uint16_t>())) {
    std::cerr << "The address is not available. Set --listen and --port to a "
                 "free one.\n";
    return 1;
  }
  facts.port_ = upstream.Port();
  std::cout << "ready http=" << facts.address_ << ":" << facts.port_
            << std::endl;
  cactusrail::HttpCaller caller;
  const auto announce = [&caller, &facts] {
    cactusrail::HttpCall call;
    call.method_ = "POST";
    call.url_ = "http://" + facts.announceAt_ + "/v1/announce";
    call.body_ = AnnouncementJson(facts);
    call.deadline_ =
      cactusrail::ReadMonotonicClock() + cactusrail::Millis(1000);
    caller.Start(std::move(call),
                 [](const cactusrail::Result<cactusrail::HttpReply>&) {});
  };
  QTimer repeat;
  if (!facts.announceAt_.empty()) {
    QObject::connect(&repeat, &QTimer::timeout, &repeat, announce);
    repeat.start(1000);
    announce();
  }
  cactusrail::StopSignal signal;
  QObject::connect(&signal, &cactusrail::StopSignal::Arrived, &repeat, [&] {
    repeat.stop();
    cactusrail::HttpCall call;
    call.method_ = "POST";
    call.url_ = "http://" + facts.announceAt_ + "/v1/goodbye";
    call.deadline_ =
      cactusrail::ReadMonotonicClock() + cactusrail::Millis(1000);
    caller.Start(std::move(call),
                 [&](const cactusrail::Result<cactusrail::HttpReply>&) {
                   upstream.EndWhenIdle();
                 });
  });
  return QCoreApplication::exec();
}
