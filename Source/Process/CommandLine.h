#pragma once

#include "Connection/WireMessages.h"
#include "Process/SettingsFile.h"
#include "Request/Failure.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** An option of a command, "--name". */
struct CommandOption
{
  std::string name_;
  /** What stands for its value in the help, "FILE"; empty for a flag. */
  std::string value_;
  std::string help_;
  bool repeatable_ = false;
};

/** How a command prints its result. */
enum class OutputFormat : std::uint8_t
{
  /** For people: columns. */
  Table,
  /** For scripts: JSON, whose names stay. */
  Json,
};

/**
 * The arguments and options that a command was given, checked against those
 * that it takes. Lives for one run of a command.
 */
class CommandLine
{
public:
  /**
   * Reads the words after the command's own. An argument in brackets,
   * "[FILE]", may be left out. Fails with BadInput and a whole sentence.
   */
  static Result<CommandLine> Parse(std::span<const std::string> aWords,
                                   std::span<const std::string> aArguments,
                                   std::span<const CommandOption> aOptions);

  /** The value of an argument or option; empty if it was not given. */
  std::string Text(std::string_view aName) const;
  /** All values of a repeatable option. */
  std::vector<std::string> List(std::string_view aName) const;
  bool Given(std::string_view aName) const;

  /** A whole number from 0 on, or its default if it was not given. */
  Result<std::int64_t> Number(const std::string& aName,
                              std::int64_t aDefault,
                              std::int64_t aMaximum) const;
  /** The NAME=VALUE pairs of a repeatable option. */
  Result<Labels> LabelList(const std::string& aName) const;

  OutputFormat Output() const;

  /**
   * The entries to ask, in order: --entry, or else CACTUSRAIL_ENTRY, which may
   * hold several, with commas between. Fails with BadInput if there is none.
   */
  Result<std::vector<SocketAddress>> Entries() const;

private:
  std::map<std::string, std::vector<std::string>, std::less<>> values_;
};

/** The options of every command that asks an entry. */
std::span<const CommandOption>
EntryOptions();

}
