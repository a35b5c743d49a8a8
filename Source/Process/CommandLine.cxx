#include "Process/CommandLine.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace cactusrail {

namespace {

namespace options = boost::program_options;

constexpr const char* kEntryVariable = "CACTUSRAIL_ENTRY";

Failure
UsageError(std::string aMessage)
{
  return NotRun(FailureKind::BadInput, std::move(aMessage));
}

bool
IsOptional(std::string_view aArgument)
{
  return aArgument.starts_with('[');
}

std::string
BareName(std::string_view aArgument)
{
  return IsOptional(aArgument)
           ? std::string(aArgument.substr(1, aArgument.size() - 2))
           : std::string(aArgument);
}

/** Returns whether a value is empty or one of the option's choices, such as
 * "json|table". */
bool
IsOneOf(const CommandOption& aOption, const std::string& aValue)
{
  const std::string choices = "|" + aOption.value_ + "|";
  return aValue.empty() ||
         choices.find("|" + aValue + "|") != std::string::npos;
}

options::options_description
Describe(std::span<const std::string> aArguments,
         std::span<const CommandOption> aOptions)
{
  options::options_description known;
  for (const CommandOption& option : aOptions) {
    if (option.value_.empty()) {
      known.add_options()(option.name_.c_str(), options::bool_switch());
    } else {
      known.add_options()(option.name_.c_str(),
                          options::value<std::vector<std::string>>());
    }
  }
  for (const std::string& argument : aArguments) {
    known.add_options()(BareName(argument).c_str(),
                        options::value<std::vector<std::string>>());
  }
  return known;
}

}

std::span<const CommandOption>
EntryOptions()
{
  static const std::array<CommandOption, 3> kOptions{ {
    { "entry",
      "IP:PORT",
      "an entry's operators' address; repeat it to try the next one if one "
      "can't be reached (or set CACTUSRAIL_ENTRY)",
      true },
    { "key-file",
      "FILE",
      "a file with the operators' key, ID:HEX (or set CACTUSRAIL_KEY_FILE)" },
    { "output", "json|table", "how to print the result; table by default" },
  } };
  return kOptions;
}

Result<CommandLine>
CommandLine::Parse(std::span<const std::string> aWords,
                   std::span<const std::string> aArguments,
                   std::span<const CommandOption> aOptions)
{
  const options::options_description known = Describe(aArguments, aOptions);
  options::positional_options_description positions;
  for (const std::string& argument : aArguments) {
    positions.add(BareName(argument).c_str(), 1);
  }
  options::variables_map found;
  try {
    // Disables abbreviated options, whose meaning could change when another
    // option is added.
    using Style = options::command_line_style::style_t;
    const int style = options::command_line_style::default_style &
                      ~static_cast<int>(Style::allow_guessing);
    const std::vector<std::string> words(aWords.begin(), aWords.end());
    options::store(options::command_line_parser(words)
                     .options(known)
                     .positional(positions)
                     .style(style)
                     .run(),
                   found);
  } catch (const options::too_many_positional_options_error&) {
    return UsageError("There are too many arguments.");
  } catch (const options::error& error) {
    // The library substitutes the words into a template, and a word that
    // contains the template's placeholder ('%...%') makes its message grow
    // without end.
    const bool hasNoPlaceholder =
      std::none_of(aWords.begin(), aWords.end(), [](const std::string& aWord) {
        return aWord.find('%') != std::string::npos;
      });
    return UsageError(hasNoPlaceholder
                        ? std::string("The command line is invalid: ") +
                            error.what() + "."
                        : "An option of the command line is unknown "
                          "or has no value; see --help.");
  }
  CommandLine line;
  for (const CommandOption& option : aOptions) {
    if (option.value_.empty()) {
      if (found[option.name_].as<bool>()) {
        line.values_[option.name_] = {};
      }
      continue;
    }
    if (found.count(option.name_) == 0) {
      continue;
    }
    auto values = found[option.name_].as<std::vector<std::string>>();
    if (values.size() > 1 && !option.repeatable_) {
      return UsageError("The option --" + option.name_ +
                        " is given more than once.");
    }
    line.values_[option.name_] = std::move(values);
  }
  if (line.Given("help")) {
    return line;
  }
  for (const std::string& argument : aArguments) {
    const std::string name = BareName(argument);
    if (found.count(name) != 0) {
      line.values_[name] = found[name].as<std::vector<std::string>>();
    } else if (!IsOptional(argument)) {
      return UsageError("The argument " + name + " is missing.");
    }
  }
  for (const CommandOption& option : aOptions) {
    if (option.name_ == "output" && !IsOneOf(option, line.Text("output"))) {
      return UsageError("The option --output must be " + option.value_ + ".");
    }
  }
  return line;
}

std::string
CommandLine::Text(std::string_view aName) const
{
  const auto found = values_.find(aName);
  return found == values_.end() || found->second.empty()
           ? std::string()
           : found->second.front();
}

std::vector<std::string>
CommandLine::List(std::string_view aName) const
{
  const auto found = values_.find(aName);
  return found == values_.end() ? std::vector<std::string>() : found->second;
}

bool
CommandLine::Given(std::string_view aName) const
{
  return values_.find(aName) != values_.end();
}

Result<std::int64_t>
CommandLine::Number(const std::string& aName,
                    std::int64_t aDefault,
                    std::int64_t aMaximum) const
{
  if (!Given(aName)) {
    return aDefault;
  }
  const Result<std::int64_t> number = ParseWholeNumber(Text(aName));
  const auto* value = std::get_if<std::int64_t>(&number);
  if (value == nullptr || *value < 0 || *value > aMaximum) {
    return UsageError("The option --" + aName +
                      " must be a whole number from 0 to " +
                      std::to_string(aMaximum) + ".");
  }
  return *value;
}

Result<Labels>
CommandLine::LabelList(const std::string& aName) const
{
  Labels labels;
  for (const std::string& text : List(aName)) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos || equals == 0) {
      std::string fault = "The option --" + aName;
      fault += " must be NAME=VALUE, not '" + text + "'.";
      return UsageError(std::move(fault));
    }
    labels.emplace_back(text.substr(0, equals), text.substr(equals + 1));
  }
  return labels;
}

OutputFormat
CommandLine::Output() const
{
  return Text("output") == "json" ? OutputFormat::Json : OutputFormat::Table;
}

Result<std::vector<SocketAddress>>
CommandLine::Entries() const
{
  std::vector<std::string> texts = List("entry");
  if (texts.empty()) {
    const char* variable = std::getenv(kEntryVariable);
    texts = SplitAtCommas(variable == nullptr ? "" : variable);
  }
  std::vector<SocketAddress> entries;
  for (const std::string& text : texts) {
    const Result<SocketAddress> address = ParseSocketAddress(text);
    if (const auto* failure = std::get_if<Failure>(&address)) {
      return UsageError("The entry's address is invalid: " + failure->message_);
    }
    entries.push_back(std::get<SocketAddress>(address));
  }
  if (entries.empty()) {
    return UsageError(
      "The entry to contact is missing. Use --entry IP:PORT, or set "
      "CACTUSRAIL_ENTRY.");
  }
  return entries;
}

}
