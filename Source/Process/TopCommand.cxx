#include "Process/TopCommand.h"

#include "Process/CommandTable.h"
#include "Process/EntryClient.h"
#include "Process/HistogramPicture.h"
#include "Process/Terminal.h"
#include "Version/JsonText.h"

#include <iostream>
#include <thread>

namespace cactusrail {

namespace {

constexpr Millis kRefresh{ 2000 };
constexpr const char* kClearScreen = "\033[H\033[2J";

ExitCode
DrawOnce(const CommandLine& aLine, const EntryClient& aClient, bool aClear)
{
  ExitCode code = ExitCode::Done;
  const std::optional<HttpReply> reply =
    aClient.CallOrReport("GET", "/v1/metrics", "", code);
  if (!reply.has_value()) {
    return code;
  }
  if (aLine.Output() == OutputFormat::Json) {
    std::cout << reply->body_;
    return ExitCode::Done;
  }
  const Result<MetricsSnapshot> snapshot =
    FromJson<MetricsSnapshot>(reply->body_);
  if (const auto* failure = std::get_if<Failure>(&snapshot)) {
    std::cerr << failure->message_ << '\n';
    return ExitCode::Other;
  }
  std::cout << (aClear ? kClearScreen : "")
            << FormatMetrics(std::get<MetricsSnapshot>(snapshot)) << std::flush;
  return ExitCode::Done;
}

ExitCode
Top(const CommandLine& aLine)
{
  const Result<EntryClient> client = EntryClient::Make(aLine);
  if (const auto* failure = std::get_if<Failure>(&client)) {
    std::cerr << failure->message_ << '\n';
    return ExitCodeOfFailure(*failure);
  }
  const bool repeat = IsTerminal(Stream::Output) && !aLine.Given("once") &&
                      aLine.Output() == OutputFormat::Table;
  for (;;) {
    const ExitCode code =
      DrawOnce(aLine, std::get<EntryClient>(client), repeat);
    if (!repeat || code != ExitCode::Done) {
      return code;
    }
    std::this_thread::sleep_for(kRefresh);
  }
}

}

void
AddTopCommand(CommandTable& aTable)
{
  aTable.Add({ "top",
               {},
               "Draws an entry's latencies per tenant and class; again every "
               "2 s on a terminal, once when piped.",
               "cactusrail top --entry 127.0.0.1:7001",
               { { "once", "", "draw once" } },
               true,
               Top });
}

}
