#pragma once

#include "Process/CommandLine.h"
#include "Process/ExitCode.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace cactusrail {

/** One command of the program. */
struct Command
{
  /** Words that select the command, such as "create tenant". */
  std::string words_;
  /** Positional arguments in order; one in brackets is optional. */
  std::vector<std::string> arguments_;
  std::string summary_;
  /** Complete command line for the help text. */
  std::string example_;
  std::vector<CommandOption> options_;
  /** Whether the command accepts --entry, --key-file and --output. */
  bool needsEntry_ = true;
  std::function<ExitCode(const CommandLine&)> run_;

  /** Returns the command's own options, those of entry commands, and --help. */
  std::vector<CommandOption> AllOptions() const;
};

/**
 * All commands of the program. Selects the command from the command line, runs
 * it and prints the help. Owned by main; each group of commands adds its own.
 */
class CommandTable
{
public:
  void Add(Command aCommand);

  /** Runs the command that the words begin with. */
  ExitCode Run(std::span<const std::string> aWords) const;

  /** Returns the usage of all commands. */
  std::string Overview() const;

  std::span<const Command> Commands() const;

private:
  const Command* Find(std::span<const std::string> aWords) const;

  std::vector<Command> commands_;
};

/** Returns the help of one command, with its example and the exit codes. */
std::string
CommandHelp(const Command& aCommand);

}
