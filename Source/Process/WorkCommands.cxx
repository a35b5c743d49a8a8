#include "Process/WorkCommands.h"

#include "Process/CommandTable.h"
#include "Process/Confirmation.h"
#include "Process/EntryClient.h"

#include "Process/Terminal.h"
#include "Process/TextTable.h"
#include "Version/JobSummary.h"
#include "Version/JsonText.h"
#include "Version/WorkVerbs.h"

#include <QUrl>
#include <QUuid>

#include <array>
#include <iostream>
#include <thread>

namespace cactusrail {

namespace {

constexpr Millis kWaitPoll{ 500 };
constexpr std::int64_t kDefaultMilliCpus = 1000;

ExitCode
Report(const Failure& aFailure)
{
  std::cerr << aFailure.message_ << '\n';
  return ExitCodeOfFailure(aFailure);
}

/** Returns a random id. For a repeated id, the entry returns the first
 * outcome. */
std::string
NewOperationId()
{
  return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

std::string
Escaped(const std::string& aText)
{
  return QUrl::toPercentEncoding(QString::fromStdString(aText)).toStdString();
}

/** Returns the jobs that match a selector. After a failure, which is already
 * reported, returns none and sets aCode. */
std::optional<JobList>
ReadJobs(const EntryClient& aClient,
         const std::string& aSelector,
         ExitCode& aCode)
{
  const std::optional<HttpReply> reply = aClient.CallOrReport(
    "GET", "/v1/jobs?selector=" + Escaped(aSelector), "", aCode);
  if (!reply.has_value()) {
    return std::nullopt;
  }
  Result<JobList> parsed = FromJson<JobList>(reply->body_);
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    std::cerr << failure->message_ << '\n';
    aCode = ExitCode::Other;
    return std::nullopt;
  }
  return std::move(std::get<JobList>(parsed));
}

std::string
JobTable(const JobList& aList)
{
  TextTable table;
  table.AddRow({ "JOB",
                 "TENANT",
                 "STATE",
                 "TASKS",
                 "COMPLETED",
                 "FAILED",
                 "HELD",
                 "WAITING",
                 "MAY-HAVE-RUN" });
  for (const JobSummary& job : aList.jobs_) {
    table.AddRow({ job.id_,
                   job.tenant_,
                   job.wanted_,
                   std::to_string(job.tasks_),
                   std::to_string(job.completed_),
                   std::to_string(job.failed_),
                   std::to_string(job.held_),
                   std::to_string(job.waiting_),
                   std::to_string(job.parked_) });
  }
  return table.Text();
}

/** Sends a verb and prints its outcome. */
ExitCode
SendVerb(const CommandLine& aLine,
         const EntryClient& aClient,
         const VerbRequest& aRequest)
{
  // Print the id first: it is needed to query the outcome after a lost
  // response.
  std::cerr << "operation " << aRequest.operationId_ << '\n';
  ExitCode code = ExitCode::Done;
  const std::optional<HttpReply> reply =
    aClient.CallOrReport("POST", "/v1/work", ToJson(aRequest), code);
  if (!reply.has_value()) {
    return code;
  }
  const Result<OperationRow> parsed = FromJson<OperationRow>(reply->body_);
  const auto* operation = std::get_if<OperationRow>(&parsed);
  if (aLine.Output() == OutputFormat::Json || operation == nullptr) {
    std::cout << reply->body_;
    return ExitCode::Done;
  }
  TextTable table;
  table.AddRow({ "JOB", "CHANGED", "OUTCOME" });
  for (const JobOutcome& job : operation->jobs_) {
    table.AddRow({ job.jobId_, job.changed_ ? "yes" : "no", job.outcome_ });
  }
  std::cout << table.Text();
  return ExitCode::Done;
}

std::string
OperationOf(const CommandLine& aLine)
{
  return aLine.Given("operation") ? aLine.Text("operation") : NewOperationId();
}

/** Parses a numeric option. Returns false and sets the error if it is invalid.
 */
template<typename Number>
bool
ReadNumber(const CommandLine& aLine,
           const std::string& aName,
           Number& aNumber,
           std::optional<Failure>& aError)
{
  constexpr std::int64_t kMaximum = 1000000000;
  const Result<std::int64_t> read =
    aLine.Number(aName, static_cast<std::int64_t>(aNumber), kMaximum);
  if (const auto* failure = std::get_if<Failure>(&read)) {
    aError = *failure;
    return false;
  }
  aNumber = static_cast<Number>(std::get<std::int64_t>(read));
  return true;
}

Result<WorkKind>
KindOf(const CommandLine& aLine)
{
  const std::string kind = aLine.Given("kind") ? aLine.Text("kind") : "batch";
  if (kind == "batch") {
    return WorkKind::Batch;
  }
  if (kind == "watcher") {
    return WorkKind::Watcher;
  }
  if (kind == "service") {
    return WorkKind::Service;
  }
  return NotRun(FailureKind::BadInput,
                "The option --kind must be batch, watcher or service, not '" +
                  kind + "'.");
}

Result<JobSpec>
SpecOf(const CommandLine& aLine)
{
  const Result<WorkKind> kind = KindOf(aLine);
  if (const auto* failure = std::get_if<Failure>(&kind)) {
    return *failure;
  }
  const Result<Labels> labels = aLine.LabelList("label");
  if (const auto* failure = std::get_if<Failure>(&labels)) {
    return *failure;
  }
  JobSpec spec;
  spec.id_ = aLine.Text("ID");
  spec.kind_ = std::get<WorkKind>(kind);
  spec.tenant_ = aLine.Text("tenant");
  spec.program_ = aLine.Text("program");
  spec.labels_ = std::get<Labels>(labels);
  spec.idempotent_ = aLine.Given("idempotent");
  spec.declared_.milliCpus_ = kDefaultMilliCpus;
  std::optional<Failure> error;
  const bool read =
    ReadNumber(aLine, "tasks", spec.tasks_, error) &&
    ReadNumber(aLine, "milli-cpus", spec.declared_.milliCpus_, error) &&
    ReadNumber(aLine, "memory-mb", spec.declared_.memoryMb_, error) &&
    ReadNumber(aLine, "accelerators", spec.declared_.accelerators_, error) &&
    ReadNumber(aLine, "run-ms", spec.declaredRunMs_, error);
  if (!read) {
    return *error;
  }
  return spec;
}

ExitCode
CreateJob(const CommandLine& aLine)
{
  const Result<JobSpec> spec = SpecOf(aLine);
  if (const auto* failure = std::get_if<Failure>(&spec)) {
    return Report(*failure);
  }
  const Result<EntryClient> client = EntryClient::Make(aLine);
  if (const auto* failure = std::get_if<Failure>(&client)) {
    return Report(*failure);
  }
  VerbRequest request;
  request.verb_ = "create";
  request.operationId_ = OperationOf(aLine);
  request.spec_ = std::get<JobSpec>(spec);
  if (aLine.Given("dry-run")) {
    std::cout << ToJson(request.spec_) << '\n';
    return ExitCode::Done;
  }
  return SendVerb(aLine, std::get<EntryClient>(client), request);
}

ExitCode
ListJobs(const CommandLine& aLine)
{
  const Result<EntryClient> client = EntryClient::Make(aLine);
  if (const auto* failure = std::get_if<Failure>(&client)) {
    return Report(*failure);
  }
  const std::string selector = aLine.Text("SELECTOR");
  ExitCode code = ExitCode::Done;
  const std::optional<JobList> list = ReadJobs(
    std::get<EntryClient>(client), selector.empty() ? "*" : selector, code);
  if (list.has_value()) {
    std::cout << (aLine.Output() == OutputFormat::Json ? ToJson(*list) + "\n"
                                                       : JobTable(*list));
  }
  return code;
}

ExitCode
InspectJob(const CommandLine& aLine)
{
  const Result<EntryClient> client = EntryClient::Make(aLine);
  if (const auto* failure = std::get_if<Failure>(&client)) {
    return Report(*failure);
  }
  ExitCode code = ExitCode::Done;
  const std::optional<HttpReply> reply =
    std::get<EntryClient>(client).CallOrReport(
      "GET", "/v1/jobs/inspect?id=" + Escaped(aLine.Text("ID")), "", code);
  if (reply.has_value()) {
    std::cout << reply->body_;
  }
  return code;
}

/** Waits until no worker holds a task of the selected jobs. */
ExitCode
WaitUntilNoneHeld(const EntryClient& aClient, const std::string& aSelector)
{
  ProgressLine progress;
  for (;;) {
    ExitCode code = ExitCode::Done;
    const std::optional<JobList> list = ReadJobs(aClient, aSelector, code);
    if (!list.has_value()) {
      return code;
    }
    std::uint64_t held = 0;
    for (const JobSummary& job : list->jobs_) {
      held += job.held_;
    }
    progress.Show(std::to_string(held) + " tasks are still on workers");
    if (held == 0) {
      return ExitCode::Done;
    }
    std::this_thread::sleep_for(kWaitPoll);
  }
}

ExitCode
ChangeJobs(const CommandLine& aLine, const std::string& aVerb)
{
  const Result<EntryClient> made = EntryClient::Make(aLine);
  if (const auto* failure = std::get_if<Failure>(&made)) {
    return Report(*failure);
  }
  const auto& client = std::get<EntryClient>(made);
  const std::string selector = aLine.Text("SELECTOR");
  ExitCode code = ExitCode::Done;
  const std::optional<JobList> list = ReadJobs(client, selector, code);
  if (!list.has_value()) {
    return code;
  }
  std::vector<std::string> chosen;
  for (const JobSummary& job : list->jobs_) {
    if (!job.over_) {
      chosen.push_back(job.id_);
    }
  }
  // Send a repeated operation even if no job matches now: the entry returns the
  // first outcome.
  if (chosen.empty() && !aLine.Given("operation")) {
    std::cerr << "The selector matches no job that is still open.\n";
    return ExitCode::NotFound;
  }
  switch (ConfirmSelection(aLine, aVerb, chosen)) {
    case SelectionDecision::OnlyShow:
      return ExitCode::Done;
    case SelectionDecision::Refuse:
      return ExitCode::Refused;
    case SelectionDecision::Act:
      break;
  }
  VerbRequest request;
  request.verb_ = aVerb;
  request.selector_ = selector;
  request.operationId_ = OperationOf(aLine);
  code = SendVerb(aLine, client, request);
  if (code == ExitCode::Done && aLine.Given("wait")) {
    return WaitUntilNoneHeld(client, selector);
  }
  return code;
}

void
AddSelectorVerb(CommandTable& aTable,
                const std::string& aVerb,
                const std::string& aSummary)
{
  std::vector<CommandOption> options(SelectorOptions().begin(),
                                     SelectorOptions().end());
  options.push_back({ "operation",
                      "ID",
                      "a name for this operation; a repeat under the same name "
                      "returns the first outcome" });
  options.push_back(
    { "wait", "", "wait until none of their tasks is held on a worker" });
  aTable.Add(
    { aVerb,
      { "SELECTOR" },
      aSummary,
      "cactusrail " + aVerb +
        " team=vouchers,urgency!=high --yes --entry 127.0.0.1:7001",
      options,
      true,
      [aVerb](const CommandLine& aLine) { return ChangeJobs(aLine, aVerb); } });
}

void
AddCreateJob(CommandTable& aTable)
{
  aTable.Add(
    { "create job",
      { "ID" },
      "Creates a batch job, watcher or service with identical tasks.",
      "cactusrail create job payouts --tenant payouts --program payout "
      "--tasks 6 --milli-cpus 4000 --label team=vouchers "
      "--entry 127.0.0.1:7001",
      { { "tenant", "NAME", "tenant that owns the job" },
        { "program", "NAME", "program that each task runs" },
        { "kind", "batch|watcher|service", "batch by default" },
        { "tasks", "NUMBER", "number of tasks; 1" },
        { "milli-cpus", "NUMBER", "thousandths of a processor per task; 1000" },
        { "memory-mb", "NUMBER", "MB of memory per task; 0" },
        { "accelerators", "NUMBER", "accelerators per task; 0" },
        { "run-ms", "NUMBER", "expected run time of a task in ms; 0: open" },
        { "idempotent", "", "a task may run more than once" },
        { "label", "NAME=VALUE", "a label; repeatable", true },
        { "operation", "ID", "a name for this operation; see pause" },
        { "dry-run", "", "print the job and create nothing" } },
      true,
      CreateJob });
}

}

void
AddWorkCommands(CommandTable& aTable)
{
  AddCreateJob(aTable);
  aTable.Add({ "list jobs",
               { "[SELECTOR]" },
               "Lists the jobs that match a selector of labels; all jobs "
               "without a selector.",
               "cactusrail list jobs team=vouchers --entry 127.0.0.1:7001",
               {},
               true,
               ListJobs });
  aTable.Add({ "inspect job",
               { "ID" },
               "Prints the recorded state of one job as JSON.",
               "cactusrail inspect job payouts --entry 127.0.0.1:7001",
               {},
               true,
               InspectJob });
  AddSelectorVerb(aTable,
                  "pause",
                  "Starts no more tasks of these jobs until resume; each task "
                  "that runs is checkpointed and stopped.");
  AddSelectorVerb(aTable, "resume", "Ends a pause or a drain.");
  AddSelectorVerb(aTable,
                  "drain",
                  "Starts no more tasks of these jobs until resume; each task "
                  "that runs goes on until it ends.");
  AddSelectorVerb(aTable,
                  "stop",
                  "Ends these jobs permanently; each task that runs is "
                  "checkpointed and stopped.");
  AddSelectorVerb(aTable,
                  "cancel",
                  "Ends these jobs permanently; each task that runs is stopped "
                  "immediately.");
}

}
