#pragma once

#include "Process/CommandLine.h"
#include "Process/ExitCode.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace cactusrail {

/** One verb of the program. */
struct Command
{
  /** What the user types, "create tenant". */
  std::string words_;
  /** Positional arguments in order; one in brackets may be left out. */
  std::vector<std::string> arguments_;
  std::string summary_;
  /** A whole line that can be copied. */
  std::string example_;
  std::vector<CommandOption> options_;
  /** It takes --entry, --key-file and --output. */
  bool asksEntry_ = true;
  std::function<ExitCode(const CommandLine&)> run_;

  /** Its own options, those of its kind, and --help. */
  std::vector<CommandOption> AllOptions() const;
};

/**
 * All verbs of the program: finds the one that is meant, prints the help, runs
 * it. Owned by main; each group of verbs adds its own.
 */
class CommandTable
{
public:
  void Add(Command aCommand);

  /** Runs the verb that the words begin with. */
  ExitCode Run(std::span<const std::string> aWords) const;

  /** The usage of all verbs. */
  std::string Overview() const;

  std::span<const Command> Commands() const;

private:
  const Command* Find(std::span<const std::string> aWords) const;

  std::vector<Command> commands_;
};

/** The help of one verb, with its example and the exit codes. */
std::string
CommandHelp(const Command& aCommand);

}
