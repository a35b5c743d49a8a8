#include "Process/WorkPages.h"

#include "Connection/HttpCaller.h"
#include "Connection/OperatorSignature.h"
#include "Connection/TableClient.h"
#include "Process/EntryDirectory.h"
#include "Process/Journal.h"
#include "Process/Scheduler.h"
#include "Version/JobSummary.h"
#include "Version/JsonText.h"
#include "Version/RecordedTaskStep.h"
#include "Version/Selector.h"
#include "Version/WorkVerbs.h"

#include <QUrl>

#include <algorithm>
#include <utility>
#include <vector>

namespace cactusrail {

namespace {

constexpr Millis kTableTimeout{ 2000 };
constexpr Millis kRecallTimeout{ 1000 };
constexpr int kUnavailable = 503;

/** Steps of a task, in the format in which /v1/explain returns the steps of a
 * request. */
struct TaskSteps
{
  std::vector<RequestStep> steps_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("steps", steps_));
  }
};

/** Collected results about a task while queries to entries and to the table are
 * in flight. */
struct TaskQuery
{
  HttpExchange exchange_;
  std::string id_;
  TaskSteps known_;
  std::optional<RequestStep> tableStep_;
  std::size_t open_ = 0;

  void Done();
};

void
TaskQuery::Done()
{
  if (--open_ > 0) {
    return;
  }
  auto& steps = known_.steps_;
  std::stable_sort(
    steps.begin(), steps.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.wallMicros_ < aRight.wallMicros_;
    });
  if (tableStep_.has_value()) {
    tableStep_->wallMicros_ = ReadWallClock();
    tableStep_->host_ = "table";
    steps.push_back(*tableStep_);
  }
  HttpAnswer answer;
  answer.body_ = ToJson(known_) + "\n";
  exchange_.Answer(steps.empty()
                     ? OperatorError(404, "There is no task '" + id_ + "'.")
                     : answer);
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
          Scheduler& aScheduler,
          const Journal& aJournal,
          const EntryDirectory& aDirectory)
    : table_(aTable)
    , configuration_(aConfiguration)
    , scheduler_(aScheduler)
    , journal_(aJournal)
    , directory_(aDirectory)
  {
  }

  using Session = std::shared_ptr<VerbSession>;

  void HandleVerb(const HttpExchange& aExchange);
  void Advance(const HttpExchange& aExchange,
               const Session& aSession,
               const VerbStep& aStep);
  void List(const HttpExchange& aExchange);
  void Inspect(const HttpExchange& aExchange);
  void Cells(const HttpExchange& aExchange);
  void Evict(const HttpExchange& aExchange);
  void ExplainTask(const HttpExchange& aExchange);
  void QueryEntry(const EntryRecord& aEntry,
                  const std::shared_ptr<TaskQuery>& aQuery);
  void QueryTable(const TaskName& aName,
                  const std::shared_ptr<TaskQuery>& aQuery);
  void ReadBoth(const std::string& aId,
                const HttpExchange& aExchange,
                std::function<void(const std::vector<TableRow>&)> aCallback);

  TableClient& table_;
  ConfigurationHolder& configuration_;
  Scheduler& scheduler_;
  const Journal& journal_;
  const EntryDirectory& directory_;
  HttpCaller caller_;
};

void
WorkPages::Private::HandleVerb(const HttpExchange& aExchange)
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
  scheduler_.Core().RequestPoll();
  aExchange.Answer(JsonAnswer(ToJson(answer.operation_)));
}

void
WorkPages::Private::ReadBoth(
  const std::string& aId,
  const HttpExchange& aExchange,
  std::function<void(const std::vector<TableRow>&)> aCallback)
{
  const auto fail = [aExchange](const Failure& aFailure) {
    aExchange.Answer(OperatorError(kUnavailable,
                                   "The jobs can't be read from the table: " +
                                     aFailure.message_));
  };
  // Read the open jobs first: a job that ends between the reads is then found
  // twice instead of missed.
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
    aExchange.Answer(
      OperatorError(404,
                    "This entry's cells hold no task '" + task +
                      "'; send the request to the other entries."));
    return;
  }
  aExchange.Answer(JsonAnswer(R"({"evicting":true})"));
}

void
WorkPages::Private::ExplainTask(const HttpExchange& aExchange)
{
  const std::string id = aExchange.Query("id");
  const std::optional<TaskName> name = ParseTaskName(id);
  if (!name.has_value()) {
    aExchange.Answer(
      OperatorError(400, "'" + id + "' is not the id of a task, JOB.INDEX."));
    return;
  }
  auto query =
    std::make_shared<TaskQuery>(TaskQuery{ aExchange, id, {}, {}, 2 });
  query->known_.steps_ = journal_.Recall(id);
  // Query all entries: each one that owned the task's cell has steps of the
  // task in memory while its process runs.
  for (const EntryRecord& entry : directory_.Others()) {
    ++query->open_;
    QueryEntry(entry, query);
  }
  QueryTable(*name, query);
  query->Done();
}

void
WorkPages::Private::QueryEntry(const EntryRecord& aEntry,
                               const std::shared_ptr<TaskQuery>& aQuery)
{
  HttpCall call;
  call.method_ = "GET";
  call.url_ = "http://" + aEntry.operators_ + "/v1/explain?id=" + aQuery->id_;
  call.deadline_ = ReadMonotonicClock() + kRecallTimeout;
  SignCall(call);
  caller_.Start(std::move(call), [aQuery](const auto& aReply) {
    if (const auto* reply = std::get_if<HttpReply>(&aReply)) {
      const Result<TaskSteps> parsed = FromJson<TaskSteps>(reply->body_);
      if (const auto* steps = std::get_if<TaskSteps>(&parsed)) {
        auto& known = aQuery->known_.steps_;
        known.insert(known.end(), steps->steps_.begin(), steps->steps_.end());
      }
    }
    aQuery->Done();
  });
}

void
WorkPages::Private::QueryTable(const TaskName& aName,
                               const std::shared_ptr<TaskQuery>& aQuery)
{
  const auto take = [aName, aQuery](const auto& aRows, bool aOver) {
    const auto* rows = std::get_if<std::vector<TableRow>>(&aRows);
    const std::string key = (aOver ? kDonePrefix : kJobPrefix) + aName.jobId_;
    for (const TableRow& row :
         rows == nullptr ? std::vector<TableRow>() : *rows) {
      const Result<JobRow> job = FromJson<JobRow>(row.value_);
      if (row.key_ == key && Succeeded(job)) {
        aQuery->tableStep_ =
          RecordedTaskStep(std::get<JobRow>(job), aOver, aName.index_);
      }
    }
  };
  const Instant deadline = ReadMonotonicClock() + kTableTimeout;
  table_.Read(kJobPrefix + aName.jobId_,
              deadline,
              [this, take, aName, aQuery, deadline](const auto& aOpen) {
                take(aOpen, false);
                table_.Read(kDonePrefix + aName.jobId_,
                            deadline,
                            [take, aQuery](const auto& aDone) {
                              take(aDone, true);
                              aQuery->Done();
                            });
              });
}

WorkPages::WorkPages(TableClient& aTable,
                     ConfigurationHolder& aConfiguration,
                     Scheduler& aScheduler,
                     const Journal& aJournal,
                     const EntryDirectory& aDirectory)
  : private_(std::make_unique<Private>(aTable,
                                       aConfiguration,
                                       aScheduler,
                                       aJournal,
                                       aDirectory))
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
  add("POST", "/v1/work", &Private::HandleVerb);
  add("GET", "/v1/jobs", &Private::List);
  add("GET", "/v1/jobs/inspect", &Private::Inspect);
  add("GET", "/v1/cells", &Private::Cells);
  add("POST", "/v1/evict", &Private::Evict);
  add("GET", "/v1/tasks/explain", &Private::ExplainTask);
}

}
