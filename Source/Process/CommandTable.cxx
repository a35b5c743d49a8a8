#include "Process/CommandTable.h"

#include <algorithm>
#include <iostream>

namespace cactusrail {

namespace {

constexpr std::size_t kHelpColumn = 26;
constexpr const char* kExitCodes =
  "exit codes: 0 done, 1 other, 2 usage, 3 not found, 4 conflict, 5 refused,\n"
  "            6 unreachable\n";

std::string
Padded(std::string aText)
{
  if (aText.size() < kHelpColumn) {
    aText.append(kHelpColumn - aText.size(), ' ');
  }
  return aText;
}

std::string
UsageLine(const Command& aCommand)
{
  std::string line = aCommand.words_;
  for (const std::string& argument : aCommand.arguments_) {
    line += " " + argument;
  }
  return line;
}

/** Splits text such as "create tenant" into its words. */
std::vector<std::string>
SplitAtSpaces(const std::string& aText)
{
  std::vector<std::string> words;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find(' ', start), aText.size());
    words.push_back(aText.substr(start, end - start));
    start = end + 1;
  }
  return words;
}

bool
BeginsWith(std::span<const std::string> aWords,
           std::span<const std::string> aVerb)
{
  return aWords.size() >= aVerb.size() &&
         std::equal(aVerb.begin(), aVerb.end(), aWords.begin());
}

}

std::vector<CommandOption>
Command::AllOptions() const
{
  std::vector<CommandOption> all = options_;
  if (needsEntry_) {
    all.insert(all.end(), EntryOptions().begin(), EntryOptions().end());
  }
  all.push_back({ "help", "", "print this help" });
  return all;
}

std::string
CommandHelp(const Command& aCommand)
{
  std::string text = "usage: cactusrail " + UsageLine(aCommand) +
                     " [options]\n\n" + aCommand.summary_ + "\n\noptions:\n";
  for (const CommandOption& option : aCommand.AllOptions()) {
    const std::string value =
      option.value_.empty() ? std::string() : " " + option.value_;
    text +=
      "  " + Padded("--" + option.name_ + value) + " " + option.help_ + "\n";
  }
  return text + "\nexample:\n  " + aCommand.example_ + "\n\n" + kExitCodes;
}

void
CommandTable::Add(Command aCommand)
{
  commands_.push_back(std::move(aCommand));
}

std::span<const Command>
CommandTable::Commands() const
{
  return commands_;
}

std::string
CommandTable::Overview() const
{
  std::string text = "usage: cactusrail COMMAND [arguments] [options]\n\n";
  for (const Command& command : commands_) {
    text += "  " + Padded(UsageLine(command)) + " " + command.summary_ + "\n";
  }
  return text + "\n'cactusrail COMMAND --help' says more.\n" + kExitCodes;
}

const Command*
CommandTable::Find(std::span<const std::string> aWords) const
{
  const Command* found = nullptr;
  for (const Command& command : commands_) {
    const bool longer =
      found == nullptr || command.words_.size() > found->words_.size();
    if (longer && BeginsWith(aWords, SplitAtSpaces(command.words_))) {
      found = &command;
    }
  }
  return found;
}

ExitCode
CommandTable::Run(std::span<const std::string> aWords) const
{
  if (aWords.empty() || aWords[0] == "--help" || aWords[0] == "help") {
    (aWords.empty() ? std::cerr : std::cout) << Overview();
    return aWords.empty() ? ExitCode::Usage : ExitCode::Done;
  }
  const Command* command = Find(aWords);
  if (command == nullptr) {
    std::cerr << "There is no such command.\n" << Overview();
    return ExitCode::Usage;
  }
  const std::vector<CommandOption> options = command->AllOptions();
  const std::size_t own = SplitAtSpaces(command->words_).size();
  const Result<CommandLine> line =
    CommandLine::Parse(aWords.subspan(own), command->arguments_, options);
  if (const auto* failure = std::get_if<Failure>(&line)) {
    std::cerr << failure->message_ << "\nusage: cactusrail "
              << UsageLine(*command) << " [options]; see 'cactusrail "
              << command->words_ << " --help'.\n";
    return ExitCode::Usage;
  }
  if (std::get<CommandLine>(line).Given("help")) {
    std::cout << CommandHelp(*command);
    return ExitCode::Done;
  }
  return command->run_(std::get<CommandLine>(line));
}

}
