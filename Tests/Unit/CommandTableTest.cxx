#include "Process/AllCommands.h"
#include "Process/Completion.h"
#include "Process/Confirmation.h"

#include <criterion/criterion.h>
#include <criterion/redirect.h>

#include <algorithm>
#include <fstream>
#include <iterator>

using namespace cactusrail;

namespace {

ExitCode
RunWords(const std::vector<std::string>& aWords)
{
  return AllCommands().Run(aWords);
}

std::string
FileText(const std::string& aPath)
{
  std::ifstream file(CACTUSRAIL_ROOT "/" + aPath);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}

Test(CommandTable, EveryCommandHasHelpWithItsOwnExample)
{
  const CommandTable table = AllCommands();
  for (const Command& command : table.Commands()) {
    const std::string help = CommandHelp(command);
    cr_assert(help.find("cactusrail " + command.words_) != std::string::npos);
    cr_assert(command.example_.find("cactusrail") != std::string::npos,
              "%s has no example",
              command.words_.c_str());
    cr_assert(help.find("exit codes: 0 done, 1 other, 2 usage") !=
              std::string::npos);
    std::vector<std::string> words{ command.words_, "--help" };
    const std::size_t space = command.words_.find(' ');
    if (space != std::string::npos) {
      words = { command.words_.substr(0, space),
                command.words_.substr(space + 1),
                "--help" };
    }
    cr_redirect_stdout();
    cr_assert(table.Run(words) == ExitCode::Done);
  }
}

Test(CommandTable, InvalidCommandLineIsAUsageError, .init = cr_redirect_stderr)
{
  cr_assert(RunWords({}) == ExitCode::Usage);
  cr_assert(RunWords({ "frobnicate" }) == ExitCode::Usage);
  cr_assert(RunWords({ "explain" }) == ExitCode::Usage);
  cr_assert(RunWords({ "explain", "a", "b" }) == ExitCode::Usage);
  cr_assert(RunWords({ "explain", "a", "--no-such" }) == ExitCode::Usage);
  cr_assert(RunWords({ "explain", "a", "--entry", "host:1" }) ==
            ExitCode::Usage);
  cr_assert(
    RunWords({ "explain", "a", "--entry", "127.0.0.1:1", "--output", "xml" }) ==
    ExitCode::Usage);
  // The meaning of an abbreviated option could change in the next version.
  cr_assert(RunWords({ "explain", "a", "--entr", "127.0.0.1:1" }) ==
            ExitCode::Usage);
  cr_assert(RunWords({ "config", "check", "/no/such/file" }) ==
            ExitCode::Usage);
}

Test(CommandLine, EntriesComeInTheOrderGivenAndElseFromTheEnvironment)
{
  const std::vector<std::string> words{
    "--entry", "127.0.0.1:1", "--entry", "127.0.0.1:2"
  };
  const auto parsed = CommandLine::Parse(words, {}, EntryOptions());
  const auto entries = std::get<CommandLine>(parsed).Entries();
  const auto& list = std::get<std::vector<SocketAddress>>(entries);
  cr_assert(list.size() == 2 && list[0].port_ == 1 && list[1].port_ == 2);

  setenv("CACTUSRAIL_ENTRY", "127.0.0.1:3, 127.0.0.1:4", 1);
  const auto bare = CommandLine::Parse({}, {}, EntryOptions());
  const auto fallback = std::get<CommandLine>(bare).Entries();
  cr_assert(std::get<std::vector<SocketAddress>>(fallback).size() == 2);

  unsetenv("CACTUSRAIL_ENTRY");
  cr_assert(!Succeeded(std::get<CommandLine>(bare).Entries()));
}

// A mistyped selector can match forty jobs instead of one. Without a terminal
// for a confirmation and without --yes, the command must not act.
Test(Confirmation, SeveralMatchesRequireConfirmation)
{
  const auto yes = [] { return true; };
  const auto no = [] { return false; };
  cr_assert(DecideSelection(1, false, false, false, no) ==
            SelectionDecision::Act);
  cr_assert(DecideSelection(2, false, false, false, yes) ==
            SelectionDecision::Refuse);
  cr_assert(DecideSelection(2, false, false, true, no) ==
            SelectionDecision::Refuse);
  cr_assert(DecideSelection(2, false, false, true, yes) ==
            SelectionDecision::Act);
  cr_assert(DecideSelection(2, false, true, false, no) ==
            SelectionDecision::Act);
  cr_assert(DecideSelection(2, true, true, true, yes) ==
            SelectionDecision::OnlyShow);
}

// A word that contains a placeholder of the library's error message made the
// command hang, as a line of a settings file did.
Test(CommandTable, WordWithAPlaceholderIsRejected, .timeout = 20)
{
  cr_redirect_stderr();
  cr_assert(RunWords({ "version", "--%canonical_option%" }) == ExitCode::Usage);
  cr_assert(RunWords({ "version", "--%prefix%=%option%" }) == ExitCode::Usage);
}

Test(Completion, TheCommittedScriptIsTheGeneratedOne)
{
  cr_assert(FileText("Utilities/completion/cactusrail.bash") ==
              BashCompletion(AllCommands()),
            "run: cactusrail completion > "
            "Utilities/completion/cactusrail.bash");
}
