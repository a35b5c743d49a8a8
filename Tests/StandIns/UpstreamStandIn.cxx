// Takes the place of a runner of a service: announces itself to its side and
// serves HTTP with a number of slots. The query of a request tells it how to
// behave: work=MS serves for so long; fail=close ends the connection without an
// answer; fail=truncate sends half an answer; fail=hang never answers.
// Every request that it begins is written to stdout: "ran ID", so that tests
// can compare what callers were told with what truly ran. SIGUSR1 sends the
// goodbye; SIGTERM ends it.

#include "Connection/HttpCaller.h"
#include "Connection/HttpFront.h"
#include "StandInOptions.h"

#include <QCoreApplication>
#include <QTimer>

#include <vector>

namespace {

using cactusrail::HttpAnswer;
using cactusrail::HttpExchange;

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

class Upstream
{
public:
  explicit Upstream(unsigned aSlots)
    : slots_(aSlots)
  {
  }

  void Handle(const HttpExchange& aExchange);

private:
  unsigned slots_;
  unsigned busy_ = 0;
  std::vector<HttpExchange> hanging_;
};

void
Upstream::Handle(const HttpExchange& aExchange)
{
  std::cout << "ran " << aExchange.Header("X-Request-Id") << std::endl;
  ++busy_;
  if (busy_ > slots_) {
    std::cout << "overloaded " << busy_ << std::endl;
  }
  const std::string fail = aExchange.Query("fail");
  if (fail == "hang") {
    hanging_.push_back(aExchange);
    return;
  }
  const std::string work = aExchange.Query("work");
  const int workMs = work.empty() ? 0 : std::stoi(work);
  const auto finish = [this, aExchange, fail] {
    --busy_;
    HttpAnswer answer;
    answer.contentType_ = "text/plain";
    answer.body_ = "served " + aExchange.Header("X-Request-Id") + " " +
                   aExchange.Body() + "\n";
    aExchange.Answer(answer);
  };
  if (workMs == 0) {
    finish();
    return;
  }
  QTimer::singleShot(workMs, finish);
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
    "IP:PORT of the side's announce address; empty to stay unannounced")(
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
  const auto front = cactusrail::HttpFront::Listen(
    facts.address_,
    (*values)["port"].as<std::uint16_t>(),
    cactusrail::HttpLimits{},
    [&upstream](const HttpExchange& aExchange) { upstream.Handle(aExchange); });
  if (const auto* failure = std::get_if<cactusrail::Failure>(&front)) {
    std::cerr << failure->message_ << '\n';
    return 1;
  }
  facts.port_ = std::get<std::unique_ptr<cactusrail::HttpFront>>(front)->Port();
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
  return QCoreApplication::exec();
}
