#include "ProcessFleet.h"

#include "Tests/EventLoop.h"

#include <QCoreApplication>

#include <unistd.h>

#include <map>
#include <sstream>
#include <utility>

namespace cactusrail {

namespace {

constexpr std::string_view kQueue = "/queue/";
constexpr std::string_view kWorker = "/worker/";
constexpr std::string_view kEvacuation = "evacuate/";

/** Returns the data centre of a worker; each worker has its own. */
std::string
DataCentreOf(const std::string& aWorkerId)
{
  return "data centre of " + aWorkerId;
}

/** Returns a loopback address of this process only, so that ports are fixed. */
std::string
LoopbackOf(std::size_t aNode)
{
  const auto process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + process % 200) + "." +
         std::to_string(1 + process / 200 % 200) + "." + std::to_string(aNode);
}

/** Decodes "TASKS" or "TASKS ESTIMATE-MS OBJECTIVE-MS". */
JobDescription
DecodeJob(const std::string& aId, const std::string& aBody)
{
  std::istringstream body(aBody);
  std::uint32_t tasks = 1;
  body >> tasks;
  JobDescription job = MakeJob(aId, tasks, 1000);
  std::int64_t estimateMs = 0;
  std::int64_t objectiveMs = 0;
  if (body >> estimateMs >> objectiveMs) {
    job.steps_.front().estimateMs_ = estimateMs;
    job.latencyObjectiveMs_ = objectiveMs;
    job.acceptedAtMs_ = ReadWallClock() / 1000;
  }
  return job;
}

FleetSettings
CommonOf(const std::string& aName, const std::string& aIp)
{
  FleetSettings settings;
  settings.name_ = aName;
  settings.links_ = { aIp, 7001 };
  settings.metrics_ = { aIp, 7002 };
  settings.stopBound_ = Millis(6000);
  return settings;
}

}

WorkerClientFake::WorkerClientFake(const SocketAddress& aAddress)
  : address_(aAddress.Text())
{
}

WorkerFake&
WorkerClientFake::At(const std::string& aAddress)
{
  static std::map<std::string, WorkerFake> workers;
  return workers.try_emplace(aAddress, WorkerFake("w" + aAddress))
    .first->second;
}

void
WorkerClientFake::Send(const WorkerCall& aCall,
                       std::function<void(const CallAnswer&)> aCallback)
{
  const CallAnswer answer = At(address_).Take(aCall, ReadMonotonicClock());
  constexpr Millis kLatency{ 5 };
  QTimer::singleShot(
    kLatency, &context_, [answer, callback = std::move(aCallback)] {
      callback(answer);
    });
}

Result<FleetConfiguration>
TestPlatform::DecodeConfiguration(const std::string&)
{
  FleetConfiguration configuration;
  configuration.version_ = 1;
  QueueRule queue;
  queue.prefix_ = kQueue;
  queue.service_ = "service";
  queue.maxAttempts_ = 3;
  configuration.queues_.push_back(queue);
  return configuration;
}

std::optional<std::string>
TestPlatform::EvacuatedDataCentre(const RowId& aRow)
{
  if (!aRow.key_.starts_with(kEvacuation)) {
    return std::nullopt;
  }
  return aRow.key_.substr(kEvacuation.size());
}

CallerCall
TestPlatform::DecodeCaller(const HttpExchange& aExchange,
                           const FleetConfiguration* aConfiguration)
{
  CallerCall call;
  call.deadline_ = ReadMonotonicClock() + Millis(3000);
  if (aConfiguration == nullptr) {
    call.what_ = RefuseCall{ CallerRefusal::NotReady, "Not yet." };
    return call;
  }
  const std::string id = aExchange.Path().substr(kQueue.size());
  if (aExchange.Method() == "GET") {
    call.what_ = GetJobState{ id };
  } else if (aExchange.Method() == "DELETE") {
    call.what_ = CancelJob{ id };
  } else {
    call.what_ = SubmitJob{ DecodeJob(id, aExchange.Body()) };
  }
  return call;
}

HttpAnswer
TestPlatform::EncodeReply(const CallerReply& aReply)
{
  HttpAnswer answer;
  switch (aReply.outcome_) {
    case CallerOutcome::Stored:
      break;
    case CallerOutcome::State:
      answer.body_ = JobStateText(aReply.state_);
      break;
    case CallerOutcome::Waiting:
      answer.body_ = std::to_string(aReply.waiting_);
      break;
    case CallerOutcome::NoSuchJob:
      answer.status_ = 410;
      break;
    case CallerOutcome::NoSuchQueue:
      answer.status_ = 404;
      break;
    case CallerOutcome::BadRequest:
      answer.status_ = 400;
      break;
    case CallerOutcome::TryLater:
      answer.status_ = 503;
      answer.body_ = std::to_string(aReply.retryAfter_.count());
      break;
    case CallerOutcome::Rejected:
      answer.status_ = 429;
      answer.body_ = std::to_string(aReply.retryAfter_.count());
      break;
    case CallerOutcome::OutcomeUnknown:
      answer.status_ = 504;
      break;
  }
  return answer;
}

Result<WorkerNotice>
TestPlatform::DecodeNotice(const HttpExchange& aExchange)
{
  if (aExchange.Method() == "DELETE") {
    return WorkerNotice(
      WorkerLeaving{ aExchange.Path().substr(kWorker.size()) });
  }
  WorkerAnnouncement announcement;
  announcement.facts_.id_ = aExchange.Path().substr(kWorker.size());
  announcement.facts_.service_ = "service";
  announcement.facts_.dataCentre_ = DataCentreOf(announcement.facts_.id_);
  announcement.facts_.room_ = { 4000, 64000, 0 };
  announcement.clockMs_ =
    std::chrono::duration_cast<Millis>(ReadMonotonicClock().time_since_epoch())
      .count();
  announcement.sequence_ = static_cast<std::uint64_t>(announcement.clockMs_);
  return WorkerNotice(announcement);
}

ProcessFleet::ProcessFleet(std::size_t aEntries,
                           std::size_t aSides,
                           double aProcessors,
                           const FleetFeatures& aFeatures,
                           Millis aKeepFinished)
  : features_(aFeatures)
  , keepFinished_(aKeepFinished)
{
  MemoryTables& tables = MemoryTables::OfTest();
  RowTransaction configuration;
  configuration.puts_.push_back({ TestPlatform::ConfigurationRow(), "one" });
  tables.Apply(configuration);
  for (std::size_t i = 0; i < aEntries; ++i) {
    AddEntry(aProcessors);
  }
  for (std::size_t i = 0; i < aSides; ++i) {
    const std::string ip = LoopbackOf(100 + i);
    FleetSideSettings settings;
    settings.fleet_ = CommonOf("side" + std::to_string(i), ip);
    settings.announcements_ = { ip, 7003 };
    settings.worker_ = { ip, 7005 };
    settings.maxLease_ = Millis(10000);
    settings.stopTimeout_ = Millis(100);
    settings.features_ = features_;
    sideSettings_.push_back(settings);
    WorkerClientFake::At(settings.worker_.Text()).stopTime_ = Millis(50);
    sides_.push_back(std::get<std::unique_ptr<TestSide>>(
      TestSide::Start(sideSettings_.back())));
  }
  QObject::connect(&announcer_, &QTimer::timeout, [this] { Announce(); });
  constexpr Millis kAnnounce{ 300 };
  announcer_.start(kAnnounce);
  Announce();
}

void
ProcessFleet::AddEntry(double aProcessors)
{
  const std::size_t number = entries_.size();
  const std::string ip = LoopbackOf(1 + number);
  FleetEntrySettings settings;
  settings.fleet_ = CommonOf("entry" + std::to_string(number), ip);
  settings.fleet_.dataCentre_ = "centre" + std::to_string(number);
  settings.callers_ = { ip, 7003 };
  settings.readiness_ = { ip, 7004 };
  settings.processors_ = aProcessors;
  settings.bounds_.features_ = features_;
  settings.bounds_.keepFinished_ = keepFinished_;
  entrySettings_.push_back(settings);
  entries_.push_back(
    std::get<std::unique_ptr<TestEntry>>(TestEntry::Start(settings)));
}

std::string
ProcessFleet::Leader()
{
  const auto& rows = MemoryTables::OfTest().rows_;
  const auto found = rows.find(LeaderRowId());
  if (found == rows.end()) {
    return {};
  }
  const Result<LeaderRecord> record =
    DecodeRecord<LeaderRecord>(found->second.value_);
  return std::get<LeaderRecord>(record).node_;
}

void
ProcessFleet::Announce()
{
  for (std::size_t i = 0; i < sides_.size(); ++i) {
    if (silent_.contains(i)) {
      continue;
    }
    HttpCall call;
    call.method_ = "PUT";
    call.url_ = "http://" + sideSettings_[i].announcements_.Text() +
                std::string(kWorker) + Worker(i).id_;
    call.body_ = "{}";
    call.deadline_ = ReadMonotonicClock() + Millis(1000);
    caller_.Start(std::move(call), [](const Result<HttpReply>&) {});
  }
}

bool
ProcessFleet::Wait(const std::function<bool()>& aCondition)
{
  return WaitInLoop(aCondition, Millis(60000));
}

HttpReply
ProcessFleet::Ask(std::size_t aEntry,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody)
{
  HttpCall call;
  call.method_ = aMethod;
  call.url_ = "http://" + entrySettings_.at(aEntry).callers_.Text() +
              std::string(kQueue) + aPath;
  call.body_ = aBody;
  call.deadline_ = ReadMonotonicClock() + Millis(5000);
  std::optional<Result<HttpReply>> answer;
  caller_.Start(std::move(call), [&answer](Result<HttpReply> aReply) {
    answer = std::move(aReply);
  });
  Wait([&answer] { return answer.has_value(); });
  const auto* reply = std::get_if<HttpReply>(&*answer);
  return reply == nullptr ? HttpReply() : *reply;
}

void
ProcessFleet::Evacuate(std::size_t aSide, bool aEvacuated)
{
  RowId row = TestPlatform::ConfigurationRow();
  row.key_ = std::string(kEvacuation) + DataCentreOf(Worker(aSide).id_);
  RowTransaction transaction;
  if (aEvacuated) {
    transaction.puts_.push_back({ row, "{}" });
  } else {
    transaction.removals_.push_back(row);
  }
  MemoryTables::OfTest().Apply(transaction);
}

bool
ProcessFleet::Completes(std::size_t aEntry, const std::string& aJob)
{
  return Wait([this, aEntry, &aJob] {
    return Ask(aEntry, "GET", aJob).body_ == "completed";
  });
}

void
ProcessFleet::KillEntry(std::size_t aEntry)
{
  entries_.at(aEntry).reset();
}

void
ProcessFleet::StopEntry(std::size_t aEntry)
{
  bool stopped = false;
  entries_.at(aEntry)->Stop([&stopped] { stopped = true; });
  Wait([&stopped] { return stopped; });
  entries_.at(aEntry).reset();
}

void
ProcessFleet::StopSide(std::size_t aSide)
{
  bool stopped = false;
  sides_.at(aSide)->Stop([&stopped] { stopped = true; });
  Wait([&stopped] { return stopped; });
  sides_.at(aSide).reset();
}

void
ProcessFleet::StartSide(std::size_t aSide)
{
  sides_.at(aSide) =
    std::get<std::unique_ptr<TestSide>>(TestSide::Start(sideSettings_[aSide]));
}

void
ProcessFleet::LeavePermanently(std::size_t aSide)
{
  SetAnnounces(aSide, false);
  Worker(aSide).gone_ = true;
  HttpCall call;
  call.method_ = "DELETE";
  call.url_ = "http://" + sideSettings_[aSide].announcements_.Text() +
              std::string(kWorker) + Worker(aSide).id_;
  call.deadline_ = ReadMonotonicClock() + Millis(5000);
  bool answered = false;
  caller_.Start(std::move(call),
                [&answered](const Result<HttpReply>&) { answered = true; });
  Wait([&answered] { return answered; });
  Wait([this, aSide] { return sides_.at(aSide)->WorkerId().empty(); });
}

void
ProcessFleet::SetAnnounces(std::size_t aSide, bool aAnnounces)
{
  if (aAnnounces) {
    silent_.erase(aSide);
  } else {
    silent_.insert(aSide);
  }
}

WorkerFake&
ProcessFleet::Worker(std::size_t aSide)
{
  return WorkerClientFake::At(sideSettings_.at(aSide).worker_.Text());
}

std::string
ProcessFleet::SideName(std::size_t aSide) const
{
  return sideSettings_.at(aSide).fleet_.name_;
}

std::string
ProcessFleet::SideLinks(std::size_t aSide) const
{
  return sideSettings_.at(aSide).fleet_.links_.Text();
}

}
