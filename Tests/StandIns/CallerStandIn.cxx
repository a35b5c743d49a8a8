// Stands in for callers: keeps a number of requests open against one URL and
// prints requests per second and latencies at the end.

#include "Connection/HttpCaller.h"
#include "StandInOptions.h"

#include <QCoreApplication>

#include <algorithm>
#include <map>
#include <vector>

namespace {

using cactusrail::HttpCall;
using cactusrail::HttpReply;
using cactusrail::Instant;
using cactusrail::ReadMonotonicClock;
using cactusrail::Result;

struct LoadPlan
{
  std::string url_;
  std::string method_;
  std::string key_;
  std::string body_;
  std::size_t requests_ = 0;
  std::size_t concurrency_ = 0;
};

class Load
{
public:
  explicit Load(LoadPlan aPlan)
    : plan_(std::move(aPlan))
  {
  }

  void Begin();
  int Report() const;

private:
  void StartOne();
  void OnReply(Instant aStartedAt, const Result<HttpReply>& aReply);

  LoadPlan plan_;
  cactusrail::HttpCaller caller_;
  std::size_t started_ = 0;
  std::size_t finished_ = 0;
  Instant beganAt_;
  std::vector<std::int64_t> latencies_;
  std::map<std::string, std::size_t> outcomes_;
  std::string lastRequestId_;
};

void
Load::Begin()
{
  beganAt_ = ReadMonotonicClock();
  const std::size_t first = std::min(plan_.concurrency_, plan_.requests_);
  for (std::size_t i = 0; i < first; ++i) {
    StartOne();
  }
}

void
Load::StartOne()
{
  ++started_;
  HttpCall call;
  call.method_ = plan_.method_;
  call.url_ = plan_.url_;
  call.body_ = plan_.body_;
  if (!plan_.key_.empty()) {
    call.headers_.emplace_back("Authorization", "Bearer " + plan_.key_);
  }
  const Instant now = ReadMonotonicClock();
  call.deadline_ = now + std::chrono::seconds(30);
  caller_.Start(std::move(call), [this, now](const Result<HttpReply>& aReply) {
    OnReply(now, aReply);
  });
}

void
Load::OnReply(Instant aStartedAt, const Result<HttpReply>& aReply)
{
  ++finished_;
  latencies_.push_back((ReadMonotonicClock() - aStartedAt).count());
  if (const auto* reply = std::get_if<HttpReply>(&aReply)) {
    ++outcomes_["status " + std::to_string(reply->status_)];
    for (const auto& [name, value] : reply->headers_) {
      if (name == "X-Request-Id") {
        lastRequestId_ = value;
      }
    }
  } else {
    ++outcomes_[std::get<cactusrail::Failure>(aReply).message_];
  }
  if (started_ < plan_.requests_) {
    StartOne();
  } else if (finished_ == plan_.requests_) {
    QCoreApplication::exit(Report());
  }
}

int
Load::Report() const
{
  std::vector<std::int64_t> sorted = latencies_;
  std::sort(sorted.begin(), sorted.end());
  const auto quantile = [&sorted](double aQuantile) {
    const auto index =
      static_cast<std::size_t>(aQuantile * static_cast<double>(sorted.size()));
    return static_cast<double>(sorted.at(std::min(index, sorted.size() - 1))) /
           1000.0;
  };
  const double seconds =
    static_cast<double>((ReadMonotonicClock() - beganAt_).count()) / 1e6;
  std::cout << "requests=" << finished_
            << " per-second=" << static_cast<double>(finished_) / seconds
            << " p50-ms=" << quantile(0.5) << " p99-ms=" << quantile(0.99)
            << " last-id=" << lastRequestId_ << '\n';
  for (const auto& [outcome, count] : outcomes_) {
    std::cout << "  " << count << " " << outcome << '\n';
  }
  const bool allGood =
    outcomes_.size() == 1 && outcomes_.begin()->first == "status 200";
  return allGood ? 0 : 1;
}

}

int
main(int argc, char** argv)
{
  QCoreApplication application(argc, argv);
  namespace options = boost::program_options;
  LoadPlan plan;
  options::options_description known("standin-caller");
  known.add_options()("url",
                      options::value<std::string>(&plan.url_)->required())(
    "method", options::value<std::string>(&plan.method_)->default_value("GET"))(
    "key", options::value<std::string>(&plan.key_)->default_value(""))(
    "body", options::value<std::string>(&plan.body_)->default_value(""))(
    "requests",
    options::value<std::size_t>(&plan.requests_)->default_value(100))(
    "concurrency",
    options::value<std::size_t>(&plan.concurrency_)->default_value(8));
  if (!ParseStandInOptions(argc, argv, known).has_value()) {
    return 2;
  }
  Load load(plan);
  load.Begin();
  return QCoreApplication::exec();
}
