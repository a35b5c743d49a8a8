#include "Process/WorkPages.h"

#include "Connection/TableClient.h"
#include "Process/Scheduler.h"
#include "Version/JobLedger.h"
#include "Version/JsonText.h"
#include "Version/Selector.h"
#include "Version/WorkVerbs.h"

#include <QUrl>

#include <utility>
#include <vector>

namespace cactusrail {

namespace {

constexpr Millis kTableTimeout{ 2000 };
constexpr int kUnavailable = 503;

/** One line of the list of jobs. */
struct JobSummary
{
  std::string id_;
  std::string tenant_;
  std::string wanted_;
  bool over_ = false;
  std::uint32_t tasks_ = 0;
  std::uint32_t completed_ = 0;
  std::uint32_t failed_ = 0;
  std::uint32_t ended_ = 0;
  std::uint32_t held_ = 0;
  std::uint32_t waiting_ = 0;
  /** May have run and is not started again without an operator. */
  std::uint32_t parked_ = 0;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("id", id_),
       cereal::make_nvp("tenant", tenant_),
       cereal::make_nvp("state", wanted_),
       cereal::make_nvp("over", over_),
       cereal::make_nvp("tasks", tasks_),
       cereal::make_nvp("completed", completed_),
       cereal::make_nvp("failed", failed_),
       cereal::make_nvp("ended", ended_),
       cereal::make_nvp("held", held_),
       cereal::make_nvp("waiting", waiting_),
       cereal::make_nvp("mayHaveRun", parked_));
  }
};

struct JobList
{
  std::vector<JobSummary> jobs_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("jobs", jobs_));
  }
};

JobSummary
Summarize(const JobRow& aJob, bool aOver)
{
  JobSummary summary;
  summary.id_ = aJob.spec_.id_;
  summary.tenant_ = aJob.spec_.tenant_;
  const bool finished = aOver && aJob.wanted_ != Wanted::Stopped &&
                        aJob.wanted_ != Wanted::Cancelled;
  summary.wanted_ = finished ? "finished" : WantedText(aJob.wanted_);
  summary.over_ = aOver;
  summary.tasks_ = aJob.spec_.tasks_;
  summary.completed_ = aJob.completed_;
  summary.failed_ = aJob.failed_;
  summary.ended_ = aJob.ended_;
  summary.waiting_ = aJob.spec_.tasks_ - aJob.fresh_;
  for (const TaskRecord& task : aJob.open_) {
    summary.held_ += task.state_ == TaskState::Held ? 1 : 0;
    summary.waiting_ += task.state_ == TaskState::Pending ? 1 : 0;
    summary.parked_ += task.state_ == TaskState::Parked ? 1 : 0;
  }
  return summary;
}

HttpAnswer
JsonAnswer(std::string aText)
{
  HttpAnswer answer;
  answer.body_ = std::move(aText) + "\n";
  return answer;
}

std::string
Decoded(const std::string& aText)
{
  return QUrl::fromPercentEncoding(QByteArray::fromStdString(aText))
    .toStdString();
}

}

class WorkPages::Private
{
public:
  Private(TableClient& aTable,
          ConfigurationHolder& aConfiguration,
          Scheduler& aScheduler)
    : table_(aTable)
    , configuration_(aConfiguration)
    , scheduler_(aScheduler)
  {
  }

  using Session = std::shared_ptr<VerbSession>;

  void TakeVerb(const HttpExchange& aExchange);
  void Advance(const HttpExchange& aExchange,
               const Session& aSession,
               const VerbStep& aStep);
  void List(const HttpExchange& aExchange);
  void Inspect(const HttpExchange& aExchange);
  void Cells(const HttpExchange& aExchange);
  void Evict(const HttpExchange& aExchange);
  void ReadBoth(const std::string& aId,
                const HttpExchange& aExchange,
                std::function<void(const std::vector<TableRow>&)> aCallback);

  TableClient& table_;
  ConfigurationHolder& configuration_;
  Scheduler& scheduler_;
};

void
WorkPages::Private::TakeVerb(const HttpExchange& aExchange)
{
  Result<VerbRequest> parsed = FromJson<VerbRequest>(aExchange.Body());
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    aExchange.Answer(OperatorError(400, failure->message_));
    return;
  }
  CreationFacts facts;
  for (const TenantConfig& tenant : configuration_.Current()->tenants_) {
    facts.quotas_[tenant.name_] =
      static_cast<std::int64_t>(tenant.quotaMilliCpus_);
  }
  auto session = std::make_shared<VerbSession>(
    std::move(std::get<VerbRequest>(parsed)), std::move(facts));
  Advance(aExchange, session, session->Begin());
}

void
WorkPages::Private::Advance(const HttpExchange& aExchange,
                            const Session& aSession,
                            const VerbStep& aStep)
{
  const Instant deadline = ReadMonotonicClock() + kTableTimeout;
  if (const auto* read = std::get_if<VerbRead>(&aStep)) {
    table_.Read(
      read->prefix_, deadline, [this, aExchange, aSession](const auto& aRows) {
        Advance(aExchange, aSession, aSession->OnRows(aRows));
      });
    return;
  }
  if (const auto* write = std::get_if<VerbWrite>(&aStep)) {
    table_.Transact(write->transaction_,
                    deadline,
                    [this, aExchange, aSession](const auto& aOutcome) {
                      Advance(
                        aExchange, aSession, aSession->OnWritten(aOutcome));
                    });
    return;
  }
  const auto& answer = std::get<VerbAnswer>(aStep);
  if (answer.status_ != 200) {
    aExchange.Answer(OperatorError(answer.status_, answer.message_));
    return;
  }
  scheduler_.Core().Nudge();
  aExchange.Answer(JsonAnswer(ToJson(answer.operation_)));
}

void
WorkPages::Private::ReadBoth(
  const std::string& aId,
  const HttpExchange& aExchange,
  std::function<void(const std::vector<TableRow>&)> aCallback)
{
  const auto fail = [aExchange](const Failure& aFailure) {
    aExchange.Answer(OperatorError(
      kUnavailable, "The jobs can't be read now: " + aFailure.message_));
  };
  // Open jobs first: a job that ends between the reads is then seen twice, and
  // never missed.
  table_.Read(
    kJobPrefix + aId,
    ReadMonotonicClock() + kTableTimeout,
    [this, aId, fail, callback = std::move(aCallback)](const auto& aOpen) {
      if (const auto* failure = std::get_if<Failure>(&aOpen)) {
        fail(*failure);
        return;
      }
      auto rows = std::get<std::vector<TableRow>>(aOpen);
      table_.Read(kDonePrefix + aId,
                  ReadMonotonicClock() + kTableTimeout,
                  [rows, fail, callback](const auto& aDone) mutable {
                    if (const auto* failure = std::get_if<Failure>(&aDone)) {
                      fail(*failure);
                      return;
                    }
                    const auto& done = std::get<std::vector<TableRow>>(aDone);
                    rows.insert(rows.end(), done.begin(), done.end());
                    callback(rows);
                  });
    });
}

void
WorkPages::Private::List(const HttpExchange& aExchange)
{
  const std::string text = Decoded(aExchange.Query("selector"));
  const Result<Selector> parsed = Selector::Parse(text.empty() ? "*" : text);
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    aExchange.Answer(OperatorError(400, failure->message_));
    return;
  }
  const auto selector = std::get<Selector>(parsed);
  ReadBoth("", aExchange, [aExchange, selector](const auto& aRows) {
    std::map<std::string, JobSummary> summaries;
    for (const TableRow& row : aRows) {
      const Result<JobRow> job = FromJson<JobRow>(row.value_);
      const auto* value = std::get_if<JobRow>(&job);
      if (value != nullptr && selector.Matches(value->spec_.labels_)) {
        summaries[value->spec_.id_] =
          Summarize(*value, row.key_.starts_with(kDonePrefix));
      }
    }
    JobList list;
    for (const auto& [id, summary] : summaries) {
      list.jobs_.push_back(summary);
    }
    aExchange.Answer(JsonAnswer(ToJson(list)));
  });
}

void
WorkPages::Private::Inspect(const HttpExchange& aExchange)
{
  const std::string id = aExchange.Query("id");
  ReadBoth(id, aExchange, [aExchange, id](const auto& aRows) {
    std::string found;
    for (const TableRow& row : aRows) {
      if (row.key_ == kJobPrefix + id || row.key_ == kDonePrefix + id) {
        found = row.value_;
      }
    }
    aExchange.Answer(found.empty()
                       ? OperatorError(404, "There is no job '" + id + "'.")
                       : JsonAnswer(found));
  });
}

void
WorkPages::Private::Cells(const HttpExchange& aExchange)
{
  table_.Read(kCellPrefix,
              ReadMonotonicClock() + kTableTimeout,
              [aExchange](const auto& aRows) {
                if (const auto* failure = std::get_if<Failure>(&aRows)) {
                  aExchange.Answer(
                    OperatorError(kUnavailable, failure->message_));
                  return;
                }
                TableListing listing;
                listing.rows_ = std::get<std::vector<TableRow>>(aRows);
                aExchange.Answer(JsonAnswer(ToJson(listing)));
              });
}

void
WorkPages::Private::Evict(const HttpExchange& aExchange)
{
  const std::string task = aExchange.Query("task");
  if (!scheduler_.Core().Evict(task)) {
    aExchange.Answer(OperatorError(
      404, "This entry's cells hold no task '" + task + "'; ask the others."));
    return;
  }
  aExchange.Answer(JsonAnswer(R"({"evicting":true})"));
}

WorkPages::WorkPages(TableClient& aTable,
                     ConfigurationHolder& aConfiguration,
                     Scheduler& aScheduler)
  : private_(std::make_unique<Private>(aTable, aConfiguration, aScheduler))
{
}

WorkPages::~WorkPages() = default;

void
WorkPages::AddRoutes(OperatorRoutes& aRoutes)
{
  Private* self = private_.get();
  using Page = void (Private::*)(const HttpExchange&);
  const auto add = [&](const char* aMethod, const char* aPath, Page aPage) {
    aRoutes.Add(aMethod, aPath, [self, aPage](const HttpExchange& aExchange) {
      (self->*aPage)(aExchange);
    });
  };
  add("POST", "/v1/work", &Private::TakeVerb);
  add("GET", "/v1/jobs", &Private::List);
  add("GET", "/v1/jobs/inspect", &Private::Inspect);
  add("GET", "/v1/cells", &Private::Cells);
  add("POST", "/v1/evict", &Private::Evict);
}

}
