#include "Process/ExplainCommand.h"

#include "Process/CommandTable.h"
#include "Process/EntryClient.h"
#include "Process/TextTable.h"
#include "Request/ExplainVerdict.h"
#include "Request/RequestStep.h"
#include "Version/JsonText.h"
#include "Version/RecordedTaskStep.h"

#include <QDateTime>
#include <QUrl>

#include <iostream>

namespace cactusrail {

namespace {

/** Steps of a request in an entry's response. */
struct StepList
{
  std::vector<RequestStep> steps_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("steps", steps_));
  }
};

/** JSON output of the explain command, for scripts. */
struct ExplainOutput
{
  std::string requestId_;
  std::string verdict_;
  std::string reason_;
  std::vector<RequestStep> steps_;

  template<class Archive>
  void serialize(Archive& ar)
  {
    ar(cereal::make_nvp("requestId", requestId_),
       cereal::make_nvp("verdict", verdict_),
       cereal::make_nvp("reason", reason_),
       cereal::make_nvp("steps", steps_));
  }
};

std::string
ClockText(std::int64_t aWallMicros)
{
  return QDateTime::fromMSecsSinceEpoch(aWallMicros / 1000, Qt::UTC)
    .toString(Qt::ISODateWithMs)
    .toStdString();
}

void
PrintSteps(const std::vector<RequestStep>& aSteps,
           const Explanation& aExplanation)
{
  TextTable table;
  table.AddRow({ "TIME", "PROCESS", "STEP", "DETAIL" });
  for (const RequestStep& step : aSteps) {
    table.AddRow(
      { ClockText(step.wallMicros_), step.host_, step.step_, step.detail_ });
  }
  std::cout << table.Text() << "verdict: " << VerdictText(aExplanation.verdict_)
            << '\n'
            << aExplanation.reason_ << '\n';
}

/** Requests a page from an entry and returns its body. Prints a failure and
 * returns none. */
std::optional<std::string>
RequestPage(const CommandLine& aLine,
            const std::string& aTarget,
            ExitCode& aCode)
{
  const Result<EntryClient> client = EntryClient::Make(aLine);
  if (const auto* failure = std::get_if<Failure>(&client)) {
    std::cerr << failure->message_ << '\n';
    aCode = ExitCodeOfFailure(*failure);
    return std::nullopt;
  }
  std::optional<HttpReply> reply =
    std::get<EntryClient>(client).CallOrReport("GET", aTarget, "", aCode);
  return reply.has_value() ? std::optional(std::move(reply->body_))
                           : std::nullopt;
}

/** Returns the page for a task or a request. Task ids have the form JOB.INDEX;
 * a request id never ends with .INDEX. */
std::string
ExplainPage(const std::string& aId)
{
  const bool task = ParseTaskName(aId).has_value();
  return task ? "/v1/tasks/explain" : "/v1/explain";
}

ExitCode
Explain(const CommandLine& aLine)
{
  const std::string id = aLine.Text("ID");
  const std::string escaped =
    QUrl::toPercentEncoding(QString::fromStdString(id)).toStdString();
  ExitCode code = ExitCode::Done;
  const std::optional<std::string> body =
    RequestPage(aLine, ExplainPage(id) + "?id=" + escaped, code);
  if (!body.has_value()) {
    return code;
  }
  const Result<StepList> parsed = FromJson<StepList>(*body);
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    std::cerr << failure->message_ << '\n';
    return ExitCode::Other;
  }
  const auto& steps = std::get<StepList>(parsed).steps_;
  const Explanation explanation = ExplainVerdict(steps);
  if (aLine.Output() == OutputFormat::Json) {
    const ExplainOutput output{ id,
                                std::string(VerdictText(explanation.verdict_)),
                                explanation.reason_,
                                steps };
    std::cout << ToJson(output) << '\n';
  } else {
    PrintSteps(steps, explanation);
  }
  return ExitCode::Done;
}

ExitCode
PrintSides(const CommandLine& aLine)
{
  ExitCode code = ExitCode::Done;
  const std::optional<std::string> body = RequestPage(aLine, "/v1/sides", code);
  if (body.has_value()) {
    std::cout << *body;
  }
  return code;
}

}

void
AddExplainCommands(CommandTable& aTable)
{
  aTable.Add({ "explain",
               { "ID" },
               "Prints the steps and the verdict of one request or task.",
               "cactusrail explain entry1-k3-0-17 --entry 127.0.0.1:7001",
               {},
               true,
               Explain });
  aTable.Add({ "list sides",
               {},
               "Prints the sides of an entry, with their state at that entry.",
               "cactusrail list sides --entry 127.0.0.1:7001",
               {},
               true,
               PrintSides });
}

}
