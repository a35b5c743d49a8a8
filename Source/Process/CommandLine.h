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
  /** Placeholder of the value in the help, such as "FILE"; empty for a flag. */
  std::string value_;
  std::string help_;
  bool repeatable_ = false;
};

/** Format in which a command prints its result. */
enum class OutputFormat : std::uint8_t
{
  /** Columns, for interactive use. */
  Table,
  /** JSON with stable names, for scripts. */
  Json,
};

/**
 * Arguments and options passed to a command, validated against those that the
 * command accepts. Exists for one run of a command.
 */
class CommandLine
{
public:
  /**
   * Parses the words after the command's name. An argument in brackets, such as
   * "[FILE]", is optional. Fails with BadInput and a message for the user.
   */
  static Result<CommandLine> Parse(std::span<const std::string> aWords,
                                   std::span<const std::string> aArguments,
                                   std::span<const CommandOption> aOptions);

  /** Returns the value of an argument or option; empty if it was not given. */
  std::string Text(std::string_view aName) const;
  /** Returns all values of a repeatable option. */
  std::vector<std::string> List(std::string_view aName) const;
  bool Given(std::string_view aName) const;

  /** Returns the integer value of an option, or aDefault if it was not given.
   * Fails with BadInput unless the value is from 0 to aMaximum. */
  Result<std::int64_t> Number(const std::string& aName,
                              std::int64_t aDefault,
                              std::int64_t aMaximum) const;
  /** Returns the NAME=VALUE pairs of a repeatable option. */
  Result<Labels> LabelList(const std::string& aName) const;

  OutputFormat Output() const;

  /**
   * Returns the entries to contact, in order: the --entry options, or else the
   * comma-separated list in CACTUSRAIL_ENTRY. Fails with BadInput if there is
   * none or an address is invalid.
   */
  Result<std::vector<SocketAddress>> Entries() const;

private:
  std::map<std::string, std::vector<std::string>, std::less<>> values_;
};

/** Returns the options of commands that send a request to an entry. */
std::span<const CommandOption>
EntryOptions();

}
