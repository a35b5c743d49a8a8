// Stands in for a worker of the platform: registers itself in the table service
// and runs tasks under leases. Prints "started TASK EPOCH CHECKPOINT" and
// "ended TASK EPOCH REASON CHECKPOINT" for each actual start and end, so that
// tests can compare them with reports. POST /fault?mode=MODE&count=N makes the
// next N calls fail:
//   stall         never answer, without any effect
//   lose-answer   apply the command, then never answer
//   fail-tasks    every task that starts fails at once (no count)
//   report-less   leave running tasks out of reports (no count)
// mode=none ends every fault. GET /truth returns the complete report, also
// during a fault.

#include "Connection/HttpCaller.h"
#include "Connection/HttpFront.h"
#include "StandInOptions.h"
#include "Version/JsonText.h"
#include "Version/TableRows.h"
#include "Version/WorkRows.h"
#include "WorkerTasks.h"

#include <QCoreApplication>
#include <QTimer>

#include <ctime>
#include <vector>

namespace {

using cactusrail::FromJson;
using cactusrail::HttpAnswer;
using cactusrail::HttpExchange;
using cactusrail::Result;
using cactusrail::ToJson;

constexpr int kAdvanceMs = 20;
constexpr int kRegisterMs = 500;

/**
 * Returns a clock that also advances while the host is suspended, so that
 * leases expire during that time.
 */
std::int64_t
ReadWorkerClock()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return static_cast<std::int64_t>(time.tv_sec) * 1000000 + time.tv_nsec / 1000;
}

class Worker
{
public:
  explicit Worker(WorkerTasks::Facts aFacts)
    : tasks_(std::move(aFacts),
             [](const std::string& aEvent,
                const cactusrail::TaskRef& aTask,
                const std::string& aDetail) {
               std::cout << aEvent << " " << aTask.taskId_ << " "
                         << aTask.epoch_ << " " << aDetail << std::endl;
             })
  {
  }

  void Handle(const HttpExchange& aExchange);
  void Advance() { tasks_.Advance(ReadWorkerClock()); }

private:
  template<typename Command>
  void Take(const HttpExchange& aExchange);
  void Answer(const HttpExchange& aExchange, cactusrail::WorkerReport aReport);
  void SetFault(const HttpExchange& aExchange);
  bool TakeFault(const std::string& aMode);

  WorkerTasks tasks_;
  std::string faultMode_ = "none";
  std::uint64_t faultCount_ = 0;
  bool omitsRunningTasks_ = false;
  /** Holds stalled exchanges, so that they are never answered. */
  std::vector<HttpExchange> stalled_;
};

bool
Worker::TakeFault(const std::string& aMode)
{
  if (faultMode_ != aMode || faultCount_ == 0) {
    return false;
  }
  --faultCount_;
  return true;
}

void
Worker::SetFault(const HttpExchange& aExchange)
{
  faultMode_ = aExchange.Query("mode");
  const std::string count = aExchange.Query("count");
  faultCount_ = count.empty() ? ~0ULL : std::stoull(count);
  tasks_.Options().failsAllTasks_ = faultMode_ == "fail-tasks";
  omitsRunningTasks_ = faultMode_ == "report-less";
  if (faultMode_ == "none") {
    stalled_.clear();
  }
  aExchange.Answer(HttpAnswer{});
}

void
Worker::Answer(const HttpExchange& aExchange, cactusrail::WorkerReport aReport)
{
  if (TakeFault("lose-answer")) {
    stalled_.push_back(aExchange);
    return;
  }
  if (omitsRunningTasks_) {
    aReport.running_.clear();
    aReport.used_ = {};
  }
  HttpAnswer answer;
  answer.body_ = ToJson(aReport);
  aExchange.Answer(answer);
}

template<typename Command>
void
Worker::Take(const HttpExchange& aExchange)
{
  const Result<Command> parsed = FromJson<Command>(aExchange.Body());
  if (const auto* failure = std::get_if<cactusrail::Failure>(&parsed)) {
    HttpAnswer answer;
    answer.status_ = 400;
    answer.body_ = failure->message_;
    aExchange.Answer(answer);
    return;
  }
  Answer(aExchange,
         tasks_.Handle(std::get<Command>(parsed), ReadWorkerClock()));
}

void
Worker::Handle(const HttpExchange& aExchange)
{
  const std::string& path = aExchange.Path();
  if (path == "/fault") {
    SetFault(aExchange);
    return;
  }
  if (path == "/truth") {
    HttpAnswer answer;
    answer.body_ = ToJson(tasks_.Report(ReadWorkerClock()));
    aExchange.Answer(answer);
    return;
  }
  if (TakeFault("stall")) {
    stalled_.push_back(aExchange);
    return;
  }
  if (path == cactusrail::RenewCommand::kPath) {
    Take<cactusrail::RenewCommand>(aExchange);
  } else if (path == cactusrail::StartCommand::kPath) {
    Take<cactusrail::StartCommand>(aExchange);
  } else if (path == cactusrail::StopCommand::kPath) {
    Take<cactusrail::StopCommand>(aExchange);
  } else if (path == "/v1/status") {
    Answer(aExchange, tasks_.Report(ReadWorkerClock()));
  } else {
    HttpAnswer answer;
    answer.status_ = 404;
    aExchange.Answer(answer);
  }
}

/**
 * Writes the row "worker/ID", with retries until the table service accepts it.
 */
class Registration
{
public:
  Registration(std::string aTable, const cactusrail::WorkerRow& aRow)
    : table_(std::move(aTable))
  {
    transaction_.puts_.push_back(
      { cactusrail::kWorkerPrefix + aRow.id_, ToJson(aRow) });
  }

  void Try()
  {
    cactusrail::HttpCall call;
    call.method_ = "POST";
    call.url_ = "http://" + table_ + "/v1/transact";
    call.body_ = ToJson(transaction_);
    call.deadline_ =
      cactusrail::ReadMonotonicClock() + cactusrail::Millis(1000);
    caller_.Start(std::move(call), [this](const auto& aReply) {
      const auto* reply = std::get_if<cactusrail::HttpReply>(&aReply);
      if (reply == nullptr || reply->status_ != 200) {
        QTimer::singleShot(kRegisterMs, [this] { Try(); });
      }
    });
  }

private:
  std::string table_;
  cactusrail::TableTransaction transaction_;
  cactusrail::HttpCaller caller_;
};

}

int
main(int argc, char** argv)
{
  QCoreApplication application(argc, argv);
  namespace options = boost::program_options;
  options::options_description known("standin-worker");
  known.add_options()("listen", options::value<std::string>()->required())(
    "port", options::value<std::uint16_t>()->default_value(0))(
    "table", options::value<std::string>()->required(), "IP:PORT")(
    "id", options::value<std::string>()->required())(
    "data-centre", options::value<std::string>()->default_value("dc1"))(
    "rack", options::value<std::string>()->default_value("r1"))(
    "milli-cpus", options::value<std::int64_t>()->default_value(16000))(
    "memory-mb", options::value<std::int64_t>()->default_value(60000))(
    "accelerators", options::value<std::int64_t>()->default_value(0))(
    "stated-milli-cpus",
    options::value<std::int64_t>()->default_value(-1),
    "reported capacity, if it differs from the real one")(
    "checkpoint-ms", options::value<std::int64_t>()->default_value(500));
  const auto values = ParseStandInOptions(argc, argv, known);
  if (!values.has_value()) {
    return 2;
  }
  const auto text = [&values](const char* aName) {
    return (*values)[aName].as<std::string>();
  };
  const auto number = [&values](const char* aName) {
    return (*values)[aName].as<std::int64_t>();
  };
  cactusrail::WorkerRow row;
  row.id_ = text("id");
  row.address_ = text("listen");
  row.dataCentre_ = text("data-centre");
  row.rack_ = text("rack");
  row.incarnation_ = static_cast<std::uint64_t>(cactusrail::ReadWallClock());
  row.capacity_ = { number("milli-cpus"),
                    number("memory-mb"),
                    number("accelerators") };
  WorkerTasks::Facts facts;
  facts.id_ = row.id_;
  facts.cell_ = cactusrail::CellName(row);
  facts.incarnation_ = row.incarnation_;
  facts.capacity_ = row.capacity_;
  if (number("stated-milli-cpus") >= 0) {
    row.capacity_.milliCpus_ = number("stated-milli-cpus");
  }
  facts.reportedCapacity_ = row.capacity_;
  facts.checkpointEveryMs_ = number("checkpoint-ms");
  Worker worker(std::move(facts));
  const auto front = cactusrail::HttpFront::Listen(
    row.address_,
    (*values)["port"].as<std::uint16_t>(),
    cactusrail::HttpLimits{},
    [&worker](const HttpExchange& aExchange) { worker.Handle(aExchange); });
  if (const auto* failure = std::get_if<cactusrail::Failure>(&front)) {
    std::cerr << failure->message_ << '\n';
    return 1;
  }
  row.port_ = std::get<std::unique_ptr<cactusrail::HttpFront>>(front)->Port();
  std::cout << "ready http=" << row.address_ << ":" << row.port_
            << " incarnation=" << row.incarnation_ << std::endl;
  Registration registration(text("table"), row);
  registration.Try();
  QTimer advance;
  QObject::connect(
    &advance, &QTimer::timeout, &advance, [&worker] { worker.Advance(); });
  advance.start(kAdvanceMs);
  return QCoreApplication::exec();
}
