#include "Process/WorkCommands.h"

#include "Process/CommandTable.h"
#include "Process/Confirmation.h"
#include "Process/EntryClient.h"
#include "Process/TextTable.h"
#include "Version/JobSummary.h"
#include "Version/JsonText.h"
#include "Version/WorkVerbs.h"

#include <QUrl>
#include <QUuid>

#include <algorithm>
#include <iostream>
#include <iterator>
#include <map>

namespace cactusrail {

namespace {

constexpr int kRepeats = 3;

ExitCode
Report(const Failure& aFailure)
{
  std::cerr << aFailure.message_ << '\n';
  return ExitCodeOfFailure(aFailure);
}

std::string
OperationIdOf(const CommandLine& aLine)
{
  return aLine.Given("operation")
           ? aLine.Text("operation")
           : QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

/** What an operator is told when no answer came. */
std::string
RepeatHint(const VerbRequest& aRequest)
{
  return "Repeat it with --operation " + aRequest.operationId_ +
         " to learn its one outcome.";
}

/** Sends a verb; an answer that was lost is asked for again, which is safe
 * because an operation id has one outcome. */
std::optional<HttpReply>
Send(const EntryClient& aClient, const VerbRequest& aRequest, ExitCode& aCode)
{
  const std::string body = ToJson(aRequest);
  for (int repeat = 1; repeat < kRepeats; ++repeat) {
    const Result<HttpReply> result = aClient.Call("POST", "/v1/work", body);
    const auto* failure = std::get_if<Failure>(&result);
    if (failure == nullptr || failure->verdict_ == Verdict::DidNotRun) {
      break;
    }
  }
  std::optional<HttpReply> reply =
    aClient.CallOrReport("POST", "/v1/work", body, aCode);
  if (!reply.has_value() && aCode == ExitCode::Unreachable) {
    std::cerr << RepeatHint(aRequest) << '\n';
  }
  return reply;
}

ExitCode
PrintOperation(const CommandLine& aLine, const std::string& aBody)
{
  const Result<OperationRow> parsed = FromJson<OperationRow>(aBody);
  const auto* operation = std::get_if<OperationRow>(&parsed);
  if (aLine.Output() == OutputFormat::Json || operation == nullptr) {
    std::cout << aBody;
    return ExitCode::Done;
  }
  TextTable table;
  table.AddRow({ "JOB", "CHANGED", "OUTCOME" });
  for (const JobOutcome& job : operation->jobs_) {
    table.AddRow({ job.jobId_, job.changed_ ? "yes" : "no", job.outcome_ });
  }
  std::cout << table.Text() << "operation: " << operation->request_.operationId_
            << '\n';
  return ExitCode::Done;
}

ExitCode
RunVerb(const CommandLine& aLine, const VerbRequest& aRequest)
{
  const Result<EntryClient> client = EntryClient::Make(aLine);
  if (const auto* failure = std::get_if<Failure>(&client)) {
    return Report(*failure);
  }
  ExitCode code = ExitCode::Done;
  const std::optional<HttpReply> reply =
    Send(std::get<EntryClient>(client), aRequest, code);
  return reply.has_value() ? PrintOperation(aLine, reply->body_) : code;
}

/** Reads a whole number of an option into aNumber; false if it is none. */
template<typename Number>
bool
TakeNumber(const CommandLine& aLine, const char* aName, Number& aNumber)
{
  if (!aLine.Given(aName)) {
    return true;
  }
  constexpr std::int64_t kMost = 1000000000;
  const Result<std::int64_t> number = ParseWholeNumber(aLine.Text(aName));
  const auto* value = std::get_if<std::int64_t>(&number);
  if (value == nullptr || *value < 0 || *value > kMost) {
    std::cerr << "The option --" << aName
              << " must be a whole number from 0 to " << kMost << ".\n";
    return false;
  }
  aNumber = static_cast<Number>(*value);
  return true;
}

bool
TakeKind(const CommandLine& aLine, JobSpec& aSpec)
{
  static const std::map<std::string, WorkKind> kKinds{
    { "", WorkKind::Batch },
    { "batch", WorkKind::Batch },
    { "watcher", WorkKind::Watcher },
    { "service", WorkKind::Service }
  };
  const auto kind = kKinds.find(aLine.Text("kind"));
  if (kind == kKinds.end()) {
    std::cerr << "The option --kind must be batch, watcher or service.\n";
    return false;
  }
  aSpec.kind_ = kind->second;
  return true;
}

bool
TakeLabels(const CommandLine& aLine, JobSpec& aSpec)
{
  for (const std::string& text : aLine.List("label")) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos || equals == 0) {
      std::cerr << "The option --label must be NAME=VALUE, not '" << text
                << "'.\n";
      return false;
    }
    aSpec.labels_.emplace_back(text.substr(0, equals), text.substr(equals + 1));
  }
  return true;
}

ExitCode
CreateJob(const CommandLine& aLine)
{
  VerbRequest request;
  request.verb_ = "create";
  request.operationId_ = OperationIdOf(aLine);
  JobSpec& spec = request.spec_;
  spec.id_ = aLine.Text("ID");
  spec.tenant_ = aLine.Text("tenant");
  spec.program_ = aLine.Text("program");
  spec.idempotent_ = aLine.Given("idempotent");
  const bool good =
    TakeKind(aLine, spec) && TakeLabels(aLine, spec) &&
    TakeNumber(aLine, "tasks", spec.tasks_) &&
    TakeNumber(aLine, "millicpus", spec.declared_.milliCpus_) &&
    TakeNumber(aLine, "memory-mb", spec.declared_.memoryMb_) &&
    TakeNumber(aLine, "accelerators", spec.declared_.accelerators_) &&
    TakeNumber(aLine, "run-ms", spec.declaredRunMs_);
  return good ? RunVerb(aLine, request) : ExitCode::Usage;
}

Result<JobList>
ListOf(const std::string& aBody)
{
  return FromJson<JobList>(aBody);
}

/** The jobs that a selector chooses, as an entry lists them. */
std::optional<std::string>
AskJobs(const CommandLine& aLine, const std::string& aSelector, ExitCode& aCode)
{
  const Result<EntryClient> client = EntryClient::Make(aLine);
  if (const auto* failure = std::get_if<Failure>(&client)) {
    aCode = Report(*failure);
    return std::nullopt;
  }
  const std::string encoded =
    QUrl::toPercentEncoding(QString::fromStdString(aSelector)).toStdString();
  std::optional<HttpReply> reply = std::get<EntryClient>(client).CallOrReport(
    "GET", "/v1/jobs?selector=" + encoded, "", aCode);
  return reply.has_value() ? std::optional(std::move(reply->body_))
                           : std::nullopt;
}

ExitCode
ListJobs(const CommandLine& aLine)
{
  const std::string selector = aLine.Text("[SELECTOR]");
  ExitCode code = ExitCode::Done;
  const std::optional<std::string> body =
    AskJobs(aLine, selector.empty() ? "*" : selector, code);
  if (!body.has_value()) {
    return code;
  }
  const Result<JobList> parsed = ListOf(*body);
  const auto* list = std::get_if<JobList>(&parsed);
  if (aLine.Output() == OutputFormat::Json || list == nullptr) {
    std::cout << *body;
    return ExitCode::Done;
  }
  TextTable table;
  table.AddRow({ "JOB",
                 "TENANT",
                 "STATE",
                 "TASKS",
                 "COMPLETED",
                 "FAILED",
                 "ENDED",
                 "HELD",
                 "WAITING",
                 "MAY-HAVE-RUN" });
  for (const JobSummary& job : list->jobs_) {
    table.AddRow({ job.id_,
                   job.tenant_,
                   job.wanted_,
                   std::to_string(job.tasks_),
                   std::to_string(job.completed_),
                   std::to_string(job.failed_),
                   std::to_string(job.ended_),
                   std::to_string(job.held_),
                   std::to_string(job.waiting_),
                   std::to_string(job.parked_) });
  }
  std::cout << table.Text();
  return ExitCode::Done;
}

ExitCode
InspectJob(const CommandLine& aLine)
{
  const Result<EntryClient> client = EntryClient::Make(aLine);
  if (const auto* failure = std::get_if<Failure>(&client)) {
    return Report(*failure);
  }
  ExitCode code = ExitCode::Done;
  const std::string encoded =
    QUrl::toPercentEncoding(QString::fromStdString(aLine.Text("ID")))
      .toStdString();
  const std::optional<HttpReply> reply =
    std::get<EntryClient>(client).CallOrReport(
      "GET", "/v1/jobs/inspect?id=" + encoded, "", code);
  if (reply.has_value()) {
    std::cout << reply->body_;
  }
  return code;
}

/** Shows what the selector chooses now and asks; the verb itself then acts on
 * what it chooses when it applies. */
ExitCode
ChangeJobs(const CommandLine& aLine, const std::string& aVerb)
{
  VerbRequest request;
  request.verb_ = aVerb;
  request.selector_ = aLine.Text("SELECTOR");
  request.operationId_ = OperationIdOf(aLine);
  ExitCode code = ExitCode::Done;
  const std::optional<std::string> body =
    AskJobs(aLine, request.selector_, code);
  if (!body.has_value()) {
    return code;
  }
  const Result<JobList> parsed = ListOf(*body);
  std::vector<std::string> chosen;
  if (const auto* list = std::get_if<JobList>(&parsed)) {
    for (const JobSummary& job : list->jobs_) {
      if (!job.over_) {
        chosen.push_back(job.id_);
      }
    }
  }
  switch (ConfirmChoice(aLine, aVerb, chosen)) {
    case ChoiceDecision::OnlyShow:
      return ExitCode::Done;
    case ChoiceDecision::Refuse:
      return ExitCode::Refused;
    default:
      return RunVerb(aLine, request);
  }
}

CommandOption
OperationOption()
{
  return { "operation",
           "ID",
           "names the operation; a repeat returns the first outcome" };
}

void
AddJobVerbs(CommandTable& aTable)
{
  struct Verb
  {
    const char* word_;
    const char* summary_;
  };
  static constexpr Verb kVerbs[] = {
    { "pause", "Starts nothing more of the jobs; what runs is checkpointed." },
    { "resume", "Lets paused, drained and possibly-run tasks start again." },
    { "drain", "Starts nothing more of the jobs; what runs goes on." },
    { "stop", "Ends the jobs for good; what runs is checkpointed first." },
    { "cancel", "Ends the jobs for good and at once." },
  };
  for (const Verb& verb : kVerbs) {
    const std::string word = verb.word_;
    std::vector<CommandOption> options(ChoiceOptions().begin(),
                                       ChoiceOptions().end());
    options.push_back(OperationOption());
    aTable.Add(
      { word,
        { "SELECTOR" },
        verb.summary_,
        "cactusrail " + word + " team=vouchers --entry 127.0.0.1:7001",
        options,
        true,
        [word](const CommandLine& aLine) { return ChangeJobs(aLine, word); } });
  }
}

}

void
AddWorkCommands(CommandTable& aTable)
{
  aTable.Add(
    { "create job",
      { "ID" },
      "Adds a batch job, a watcher or a service that runs on workers.",
      "cactusrail create job payouts --tenant clerk --tasks 6 "
      "--millicpus 4000 --run-ms 60000 --entry 127.0.0.1:7001",
      { { "kind", "KIND", "batch, watcher or service; batch" },
        { "tenant", "NAME", "whose it is" },
        { "program", "NAME", "what it runs" },
        { "tasks", "NUMBER", "how many tasks; 1" },
        { "millicpus", "NUMBER", "thousandths of a processor, a task" },
        { "memory-mb", "NUMBER", "memory, a task" },
        { "accelerators", "NUMBER", "accelerators, a task" },
        { "run-ms", "NUMBER", "how long a task runs; 0 for no end" },
        { "idempotent", "", "tasks may run more than once" },
        { "label", "NAME=VALUE", "a label; repeatable", true },
        OperationOption() },
      true,
      CreateJob });
  aTable.Add({ "list jobs",
               { "[SELECTOR]" },
               "Prints the jobs that a selector chooses, ended ones too.",
               "cactusrail list jobs team=vouchers --entry 127.0.0.1:7001",
               {},
               true,
               ListJobs });
  aTable.Add({ "inspect job",
               { "ID" },
               "Prints all that is recorded of a job.",
               "cactusrail inspect job payouts --entry 127.0.0.1:7001",
               {},
               true,
               InspectJob });
  AddJobVerbs(aTable);
}

}
