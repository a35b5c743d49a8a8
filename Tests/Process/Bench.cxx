#include "Bench.h"

#include "Connection/OperatorSignature.h"
#include "Request/ExplainVerdict.h"
#include "Version/JobSummary.h"
#include "Version/JsonText.h"
#include "Version/TableRows.h"
#include "Version/WorkRows.h"
#include "Version/WorkVerbs.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace cactusrail;

namespace {

constexpr std::chrono::seconds kCallBound{ 25 };
constexpr const char* kTenantKey = "bench-key";
/** SHA-256 of kTenantKey. */
constexpr const char* kTenantKeyHash =
  "b0962662e937d44c699c8305d90cbf190b3150c59b13863d1380b5cc3c711bb7";

struct StepList
{
  std::vector<RequestStep> steps_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("steps", steps_));
  }
};

std::string
HeaderOf(const HttpReply& aReply, std::string_view aName)
{
  for (const auto& [name, value] : aReply.headers_) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

/**
 * Returns whether an entry refused a change because the table service has not
 * answered it since its start. Such a change was not made.
 */
bool
IsRefusedBeforeTableAnswer(const Result<HttpReply>& aPut)
{
  const auto* reply = std::get_if<HttpReply>(&aPut);
  return reply != nullptr && reply->status_ == 503 &&
         reply->body_.find("has not answered yet") != std::string::npos;
}

}

Bench::Bench()
  : application_(argumentCount_, &arguments_)
{
}

Bench::~Bench() = default;

Child&
Bench::Add(const std::string& aName,
           const std::string& aProgram,
           const QStringList& aArguments)
{
  std::unique_ptr<Child>& place = children_[aName];
  if (place != nullptr) {
    replaced_.push_back(std::move(place));
  }
  place = std::make_unique<Child>(aName, aProgram, aArguments);
  return *place;
}

std::string
Bench::WriteSettings(const std::string& aName, const std::string& aText)
{
  std::string path = SettingsPath(aName);
  std::ofstream(path) << aText;
  return path;
}

std::string
Bench::SettingsPath(const std::string& aName) const
{
  return folder_.filePath(QString::fromStdString(aName + ".ini")).toStdString();
}

Child&
Bench::StartPlatform()
{
  return Add("platform",
             STANDIN_FOLDER "/standin-platform",
             { "--listen", "127.0.0.1" });
}

Child&
Bench::StartEntry(const std::string& aName,
                  const std::string& aExtra,
                  const std::string& aMembership)
{
  const std::string path = WriteSettings(
    aName,
    "[platform]\ntable = " + (*this)["platform"].Value("http") +
      "\n[entry]\nname = " + aName +
      "\ndata-centre = dc1\nlisten = 127.0.0.1:0\noperators = 127.0.0.1:0\n"
      "membership = " +
      aMembership + "\n" + aExtra);
  return Add(
    aName, CACTUSRAIL_PROGRAM, { "entry", QString::fromStdString(path) });
}

Child&
Bench::StartSide(const std::string& aName,
                 const std::string& aExtra,
                 const std::string& aEntries)
{
  std::string entries = aEntries;
  for (const auto& [name, child] : children_) {
    if (name.starts_with("entry")) {
      entries += (entries.empty() ? "" : ",") + child->Value("membership");
    }
  }
  const std::string path = WriteSettings(
    aName,
    "[side]\nname = " + aName +
      "\ndata-centre = dc1\nlisten = 127.0.0.1:0\nannounce = 127.0.0.1:0\n"
      "heartbeat-ms = 100\nentries = " +
      entries + "\n" + aExtra +
      "\n[platform]\ntable = " + (*this)["platform"].Value("http") + "\n");
  return Add(
    aName, CACTUSRAIL_PROGRAM, { "side", QString::fromStdString(path) });
}

Child&
Bench::RestartSide(const std::string& aName)
{
  const std::string path = SettingsPath(aName);
  std::ifstream before(path);
  std::string text;
  std::string line;
  while (std::getline(before, line)) {
    if (line.starts_with("listen = ")) {
      line = "listen = " + (*this)[aName].Value("link");
    } else if (line.starts_with("announce = ")) {
      line = "announce = " + (*this)[aName].Value("announce");
    }
    text += line + "\n";
  }
  WriteSettings(aName, text);
  return Add(
    aName, CACTUSRAIL_PROGRAM, { "side", QString::fromStdString(path) });
}

Child&
Bench::StartUpstream(const std::string& aSide,
                     const std::string& aService,
                     const QStringList& aExtra)
{
  QStringList arguments{
    "--listen",   "127.0.0.1",
    "--announce", QString::fromStdString((*this)[aSide].Value("announce")),
    "--service",  QString::fromStdString(aService),
  };
  arguments += aExtra;
  return Add(
    "upstream-" + aSide, STANDIN_FOLDER "/standin-upstream", arguments);
}

Child&
Bench::StartWorker(const std::string& aName, const QStringList& aExtra)
{
  QStringList arguments{
    "--listen", "127.0.0.1",
    "--table",  QString::fromStdString((*this)["platform"].Value("http")),
    "--id",     QString::fromStdString(aName),
  };
  arguments += aExtra;
  Child& worker = Add(aName, STANDIN_FOLDER "/standin-worker", arguments);
  WaitUntil(
    [this, &aName] {
      const auto got = Ask("GET",
                           "http://" + (*this)["platform"].Value("http") +
                             "/v1/rows?prefix=" + kWorkerPrefix + aName);
      const auto* reply = std::get_if<HttpReply>(&got);
      return reply != nullptr &&
             reply->body_.find(kWorkerPrefix + aName) != std::string::npos;
    },
    aName + " to be registered");
  return worker;
}

void
Bench::StartRunner(const std::string& aSide,
                   const std::string& aService,
                   const QStringList& aExtra)
{
  StartSide(aSide);
  StartUpstream(aSide, aService, aExtra);
}

void
Bench::StartUsual(std::size_t aEntries, std::size_t aRunners)
{
  StartPlatform();
  for (std::size_t number = 1; number <= aEntries; ++number) {
    StartEntry("entry" + std::to_string(number));
  }
  for (std::size_t number = 1; number <= aRunners; ++number) {
    StartRunner("side" + std::to_string(number));
  }
  Configure("entry1");
  for (std::size_t entry = 1; entry <= aEntries; ++entry) {
    for (std::size_t side = 1; side <= aRunners; ++side) {
      WaitForSide("entry" + std::to_string(entry),
                  "side" + std::to_string(side));
    }
  }
}

void
Bench::ReplaceKeys(const std::string& aName, const std::string& aKeys)
{
  std::ifstream old(SettingsPath(aName));
  std::string text(std::istreambuf_iterator<char>(old), {});
  const std::size_t start = text.find("keys = ");
  text.replace(start, text.find('\n', start) - start, "keys = " + aKeys);
  WriteSettings(aName, text);
  const auto reloads = [this, &aName] {
    std::size_t count = 0;
    const std::string& log = (*this)[aName].Log();
    for (std::size_t at = log.find("keys-reloaded"); at != std::string::npos;
         at = log.find("keys-reloaded", at + 1)) {
      ++count;
    }
    return count;
  };
  const std::size_t before = reloads();
  (*this)[aName].Signal(SIGHUP);
  WaitUntil([&] { return reloads() > before; }, aName + " to apply its keys");
}

Child&
Bench::operator[](const std::string& aName)
{
  return *children_.at(aName);
}

std::string
Bench::ConfigText(std::uint64_t aVersion)
{
  return "{\"version\":" + std::to_string(aVersion) +
         ",\"tenants\":[{\"name\":\"clerk\",\"keySha256\":\"" + kTenantKeyHash +
         "\",\"share\":1,\"quotaMilliCpus\":0}],\"services\":["
         "{\"name\":\"once\",\"labels\":[],\"idempotent\":false,"
         "\"timeoutMs\":10000,\"paused\":false},"
         "{\"name\":\"again\",\"labels\":[],\"idempotent\":true,"
         "\"timeoutMs\":10000,\"paused\":false},"
         "{\"name\":\"brief\",\"labels\":[],\"idempotent\":false,"
         "\"timeoutMs\":1500,\"paused\":false}],"
         "\"weights\":{\"tailLatency\":1.0,\"batchThroughput\":1.0,"
         "\"evictions\":1.0}}";
}

void
Bench::Configure(const std::string& aEntry)
{
  Result<HttpReply> put = Failure{};
  WaitUntil(
    [&] {
      put = Ask("PUT",
                "http://" + (*this)[aEntry].Value("operators") + "/v1/config",
                ConfigText(1));
      return !IsRefusedBeforeTableAnswer(put);
    },
    aEntry + " to have read the table service");
  const auto* reply = std::get_if<HttpReply>(&put);
  cr_assert(reply != nullptr && reply->status_ == 200,
            "The configuration was not accepted: %s",
            reply == nullptr ? std::get<Failure>(put).message_.c_str()
                             : reply->body_.c_str());
  for (const auto& [name, child] : children_) {
    if (!name.starts_with("entry")) {
      continue;
    }
    WaitUntil(
      [this, name = name] {
        const auto got = AskOperators(name, "/readyz");
        const auto* ready = std::get_if<HttpReply>(&got);
        return ready != nullptr && ready->status_ == 200;
      },
      name + " to have the configuration");
  }
}

void
Bench::WaitForSide(const std::string& aEntry,
                   const std::string& aSide,
                   bool aUsable)
{
  WaitUntil(
    [this, &aEntry, &aSide, aUsable] {
      const auto got = AskOperators(aEntry, "/v1/sides");
      const auto* reply = std::get_if<HttpReply>(&got);
      if (reply == nullptr) {
        return false;
      }
      std::istringstream lines(reply->body_);
      std::string line;
      bool usable = false;
      while (std::getline(lines, line)) {
        usable = usable || (line.starts_with(aSide + " ") &&
                            line.find(" usable ") != std::string::npos);
      }
      return usable == aUsable;
    },
    aSide + (aUsable ? " to be usable at " : " to be unusable at ") + aEntry);
}

std::size_t
Bench::Send(const std::string& aEntry, const CallPlan& aPlan)
{
  const std::size_t index = calls_.size();
  CallRecord& record = calls_.emplace_back();
  record.mark_ =
    aPlan.mark_.empty() ? "m" + std::to_string(nextMark_++) : aPlan.mark_;
  record.atMostOnce_ = aPlan.service_ != "again" && aPlan.method_ != "GET";
  HttpCall call;
  call.method_ = aPlan.method_;
  call.url_ = "http://" + (*this)[aEntry].Value("http") + "/s/" +
              aPlan.service_ + "/work?" + aPlan.query_;
  call.headers_ = { { "Authorization", std::string("Bearer ") + kTenantKey },
                    { "X-Mark", record.mark_ } };
  if (!aPlan.idempotencyKey_.empty()) {
    call.headers_.emplace_back("Idempotency-Key", aPlan.idempotencyKey_);
  }
  call.body_ = aPlan.body_;
  record.sentAt_ = ReadMonotonicClock();
  call.deadline_ = record.sentAt_ + kCallBound;
  caller_.Start(std::move(call),
                [this, index](const Result<HttpReply>& aReply) {
                  CallRecord& ended = calls_[index];
                  ended.ended_ = true;
                  ended.endedAt_ = ReadMonotonicClock();
                  if (const auto* failure = std::get_if<Failure>(&aReply)) {
                    ended.failure_ = failure->message_;
                  }
                  if (const auto* reply = std::get_if<HttpReply>(&aReply)) {
                    ended.status_ = reply->status_;
                    ended.requestId_ = HeaderOf(*reply, "X-Request-Id");
                    ended.verdictText_ = HeaderOf(*reply, "X-Verdict");
                    ended.body_ = reply->body_;
                  }
                });
  return index;
}

const CallRecord&
Bench::SendAndWait(const std::string& aEntry, const CallPlan& aPlan)
{
  const std::size_t index = Send(aEntry, aPlan);
  WaitUntil([this, index] { return calls_[index].ended_; }, "a call's answer");
  return calls_[index];
}

void
Bench::WaitForCalls()
{
  WaitUntil(
    [this] {
      return std::all_of(calls_.begin(), calls_.end(), [](const auto& aCall) {
        return aCall.ended_;
      });
    },
    "all calls to end");
}

Result<HttpReply>
Bench::Ask(const std::string& aMethod,
           const std::string& aUrl,
           const std::string& aBody)
{
  HttpCall call;
  call.method_ = aMethod;
  call.url_ = aUrl;
  call.body_ = aBody;
  call.deadline_ = ReadMonotonicClock() + kCallBound;
  SignCall(call);
  // Shared, because the call may outlive a test that timed out.
  auto result = std::make_shared<std::optional<Result<HttpReply>>>();
  caller_.Start(std::move(call), [result](const Result<HttpReply>& aReply) {
    *result = aReply;
  });
  WaitUntil([result] { return result->has_value(); }, aMethod + " " + aUrl);
  return **result;
}

Result<HttpReply>
Bench::AskOperators(const std::string& aEntry, const std::string& aTarget)
{
  return Ask("GET", "http://" + (*this)[aEntry].Value("operators") + aTarget);
}

void
Bench::SetFault(const std::string& aMode, const std::string& aCount)
{
  const std::string count = aCount.empty() ? "" : "&count=" + aCount;
  Ask("POST",
      "http://" + (*this)["platform"].Value("http") + "/fault?mode=" + aMode +
        count);
}

void
Bench::CreateJobs(const std::vector<std::string>& aEntries,
                  const std::vector<JobSpec>& aJobs)
{
  // Shared, because the calls may outlive a test that timed out.
  auto replies = std::make_shared<std::vector<Result<HttpReply>>>();
  for (std::size_t index = 0; index < aJobs.size(); ++index) {
    VerbRequest request;
    request.operationId_ = "create-" + aJobs[index].id_;
    request.verb_ = "create";
    request.spec_ = aJobs[index];
    const std::string& entry = aEntries[index % aEntries.size()];
    HttpCall call;
    call.method_ = "POST";
    call.url_ = "http://" + (*this)[entry].Value("operators") + "/v1/work";
    call.body_ = ToJson(request);
    call.deadline_ = ReadMonotonicClock() + kCallBound;
    SignCall(call);
    caller_.Start(std::move(call), [replies](const auto& aReply) {
      replies->push_back(aReply);
    });
  }
  WaitUntil([&] { return replies->size() == aJobs.size(); },
            "the jobs to be created");
  for (const Result<HttpReply>& got : *replies) {
    const auto* reply = std::get_if<HttpReply>(&got);
    cr_assert(reply != nullptr && reply->status_ == 200,
              "A job was not created: %s",
              reply == nullptr ? std::get<Failure>(got).message_.c_str()
                               : reply->body_.c_str());
  }
}

void
Bench::WaitForJob(const std::string& aEntry, const std::string& aJob)
{
  JobSummary job;
  WaitUntil(
    [&] {
      const auto got = AskOperators(aEntry, "/v1/jobs");
      const auto* reply = std::get_if<HttpReply>(&got);
      if (reply == nullptr || reply->status_ != 200) {
        return false;
      }
      const Result<JobList> list = FromJson<JobList>(reply->body_);
      for (const JobSummary& each : std::get<JobList>(list).jobs_) {
        if (each.id_ == aJob) {
          job = each;
        }
      }
      return job.over_;
    },
    [&job, &aJob] {
      return "job " + aJob + " to be over; its state is " + ToJson(job);
    });
  cr_assert(job.completed_ == job.tasks_,
            "Of the %u tasks of job %s, %u completed.",
            job.tasks_,
            aJob.c_str(),
            job.completed_);
}

std::string
Bench::WaitForCellOwner(const std::string& aEntry)
{
  std::string owner;
  WaitUntil(
    [&] {
      const auto got = AskOperators(aEntry, "/v1/cells");
      const auto* reply = std::get_if<HttpReply>(&got);
      if (reply == nullptr || reply->status_ != 200) {
        return false;
      }
      const auto listing = FromJson<TableListing>(reply->body_);
      for (const TableRow& row : std::get<TableListing>(listing).rows_) {
        owner = std::get<CellRow>(FromJson<CellRow>(row.value_)).owner_;
      }
      return !owner.empty();
    },
    "the cell to have an owner");
  return owner;
}

void
Bench::WaitForLines(const std::string& aName,
                    const std::string& aPrefix,
                    std::size_t aCount)
{
  WaitUntil([&] { return (*this)[aName].Lines(aPrefix).size() >= aCount; },
            std::to_string(aCount) + " lines '" + aPrefix + "' of " + aName);
}

std::map<std::string, std::size_t>
Bench::Runs(bool aById) const
{
  std::map<std::string, std::size_t> runs;
  const auto add = [&runs, aById](const Child& aChild) {
    for (const std::string& line : aChild.Lines("ran ")) {
      std::istringstream words(line);
      std::string ran;
      std::string id;
      std::string mark;
      words >> ran >> id >> mark;
      ++runs[aById ? id : mark];
    }
  };
  for (const auto& [name, child] : children_) {
    add(*child);
  }
  for (const std::unique_ptr<Child>& child : replaced_) {
    add(*child);
  }
  return runs;
}

std::size_t
Bench::RunsOf(const std::string& aMark) const
{
  const auto runs = Runs();
  const auto found = runs.find(aMark);
  return found == runs.end() ? 0 : found->second;
}

bool
Bench::RanAt(const std::string& aUpstream, const std::string& aMark)
{
  const auto lines = (*this)[aUpstream].Lines("ran ");
  return std::any_of(lines.begin(), lines.end(), [&](const auto& aLine) {
    return aLine.ends_with(" " + aMark);
  });
}

std::string
Bench::RanIdOf(const std::string& aMark) const
{
  for (const auto& [name, child] : children_) {
    for (const std::string& line : child->Lines("ran ")) {
      std::istringstream words(line);
      std::string ran;
      std::string id;
      std::string mark;
      words >> ran >> id >> mark;
      if (mark == aMark) {
        return id;
      }
    }
  }
  return {};
}

std::vector<RequestStep>
Bench::Explain(const std::string& aEntry, const std::string& aRequestId)
{
  const auto got = AskOperators(aEntry, "/v1/explain?id=" + aRequestId);
  const auto* reply = std::get_if<HttpReply>(&got);
  if (reply == nullptr || reply->status_ != 200) {
    return {};
  }
  Result<StepList> list = FromJson<StepList>(reply->body_);
  return Succeeded(list) ? std::get<StepList>(list).steps_
                         : std::vector<RequestStep>();
}

Verdict
Bench::Conclude(const std::vector<RequestStep>& aSteps)
{
  return ExplainVerdict(aSteps).verdict_;
}

Instant
Bench::FirstSignal() const
{
  Instant first;
  for (const auto& [name, child] : children_) {
    const Instant at = child->SignalledAt();
    if (at != Instant() && (first == Instant() || at < first)) {
      first = at;
    }
  }
  return first;
}

Tally
Bench::VerifyOutcomes(const std::string& aTestName, const std::string& aEntry)
{
  WaitForCalls();
  const auto runs = Runs();
  const auto runsById = Runs(true);
  const Tally tally = Compare(calls_, runs, runsById);
  std::cerr << FailedCallsText(calls_, runs, FirstSignal());
  std::size_t unknownOutcomes = 0;
  std::size_t contradictions = 0;
  for (const CallRecord& call : calls_) {
    if (call.requestId_.empty()) {
      continue;
    }
    const Verdict verdict = Conclude(Explain(aEntry, call.requestId_));
    const bool ran = runsById.contains(call.requestId_);
    unknownOutcomes += verdict == Verdict::MayHaveRun ? 1 : 0;
    const bool wrong = (verdict == Verdict::DidNotRun && ran) ||
                       (verdict == Verdict::Ran && !ran);
    contradictions += wrong ? 1 : 0;
    if (wrong) {
      std::cerr << "explain of " << call.requestId_ << " says "
                << VerdictText(verdict) << '\n';
    }
  }
  std::cerr << TallyText(aTestName, tally)
            << " explain-doubtful=" << unknownOutcomes
            << " explain-untrue=" << contradictions << std::endl;
  cr_assert(tally.doubled_ == 0, "A request ran twice.");
  cr_assert(tally.falseNotRun_ == 0, "A false 'did not run' was reported.");
  cr_assert(tally.wrongBody_ == 0,
            "An answer belonged to another request or was incomplete.");
  cr_assert(contradictions == 0, "An explanation contradicts the runs.");
  return tally;
}
