#include "Process/SettingsFile.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/variables_map.hpp>

#include <fstream>
#include <sstream>

namespace cactusrail {

namespace {

namespace options = boost::program_options;

std::string
Trimmed(const std::string& aText)
{
  constexpr const char* kBlank = " \t\r";
  const std::size_t first = aText.find_first_not_of(kBlank);
  if (first == std::string::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlank) - first + 1);
}

/**
 * Finds line numbers of a settings file for messages, since
 * Boost.Program_options, which parses the file, does not report them. Has no
 * effect on the interpretation of the file.
 */
class LineFinder
{
public:
  explicit LineFinder(const std::string& aText)
  {
    std::istringstream stream(aText);
    std::string line;
    while (std::getline(stream, line)) {
      lines_.push_back(Trimmed(line.substr(0, line.find('#'))));
    }
  }

  /** Returns the last line that sets "section.key"; 0 if there is none. */
  std::size_t LineOfKey(std::string_view aName) const
  {
    std::string section;
    std::size_t found = 0;
    for (std::size_t number = 1; number <= lines_.size(); ++number) {
      const std::string& line = lines_[number - 1];
      if (line.starts_with('[') && line.ends_with(']')) {
        section = line.substr(1, line.size() - 2) + ".";
      }
      const std::size_t equals = line.find('=');
      if (equals != std::string::npos &&
          section + Trimmed(line.substr(0, equals)) == aName) {
        found = number;
      }
    }
    return found;
  }

  /** Returns the first line that is neither a section nor "key = value"; 0 if
   * there is none. */
  std::size_t LineOfBadSyntax() const
  {
    for (std::size_t number = 1; number <= lines_.size(); ++number) {
      const std::string& line = lines_[number - 1];
      const bool isSection = line.starts_with('[') && line.ends_with(']');
      if (!line.empty() && !isSection && line.find('=') == std::string::npos) {
        return number;
      }
    }
    return 0;
  }

private:
  std::vector<std::string> lines_;
};

/** Returns "FILE:LINE: " or, if the line is unknown, "FILE: ". */
std::string
FilePosition(const std::string& aPath, std::size_t aLine)
{
  return aLine == 0 ? aPath + ": " : aPath + ":" + std::to_string(aLine) + ": ";
}

Failure
BadSetting(const std::string& aPath,
           std::size_t aLine,
           std::string_view aName,
           const std::string& aExpected)
{
  const std::size_t dot = aName.find('.');
  const std::string section(
    dot == std::string_view::npos ? std::string_view() : aName.substr(0, dot));
  const std::string key(dot == std::string_view::npos ? aName
                                                      : aName.substr(dot + 1));
  return NotRun(FailureKind::BadInput,
                FilePosition(aPath, aLine) + "[" + section + "] " + key + ": " +
                  aExpected);
}

}

Result<std::string>
SettingsFile::ReadText(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) {
    return NotRun(FailureKind::BadInput,
                  aPath + ": the settings file can't be read or is empty.");
  }
  return text.str();
}

Result<SettingsFile>
SettingsFile::Load(const std::string& aPath,
                   std::span<const SettingSpec> aSpecs)
{
  const Result<std::string> text = ReadText(aPath);
  if (const auto* failure = std::get_if<Failure>(&text)) {
    return *failure;
  }
  return Parse(aPath, std::get<std::string>(text), aSpecs);
}

Result<SettingsFile>
SettingsFile::Parse(const std::string& aPath,
                    const std::string& aText,
                    std::span<const SettingSpec> aSpecs)
{
  const LineFinder lines(aText);
  options::options_description known;
  for (const SettingSpec& spec : aSpecs) {
    known.add_options()(std::string(spec.name_).c_str(),
                        options::value<std::string>());
  }
  options::variables_map found;
  try {
    std::istringstream stream(aText);
    options::store(options::parse_config_file(stream, known), found);
  } catch (const options::unknown_option& error) {
    const std::string name = error.get_option_name();
    return BadSetting(
      aPath, lines.LineOfKey(name), name, "is not a setting of this role.");
  } catch (const options::multiple_occurrences& error) {
    const std::string name = error.get_option_name();
    return BadSetting(
      aPath, lines.LineOfKey(name), name, "is given more than once.");
  } catch (const options::error&) {
    // Omits the library's own message: the library substitutes the bad line
    // into a template, and a line that contains the template's placeholder
    // makes the message grow without end, so that the process hangs instead of
    // starting or failing.
    return NotRun(FailureKind::BadInput,
                  FilePosition(aPath, lines.LineOfBadSyntax()) +
                    "expected '[section]' and 'key = value' lines.");
  }
  SettingsFile settings;
  for (const SettingSpec& spec : aSpecs) {
    const std::string name(spec.name_);
    const bool given = found.count(name) != 0;
    if (!given && spec.IsRequired()) {
      return BadSetting(aPath,
                        0,
                        name,
                        "is missing; expected " + std::string(spec.help_) +
                          ".");
    }
    std::string value =
      given ? found[name].as<std::string>() : std::string(spec.default_);
    const std::string fault = FindSettingFault(spec, value);
    if (!fault.empty()) {
      return BadSetting(aPath, lines.LineOfKey(name), name, fault);
    }
    settings.values_.emplace(name, std::move(value));
  }
  return settings;
}

const std::string&
SettingsFile::Text(std::string_view aName) const
{
  return values_.find(aName)->second;
}

std::int64_t
SettingsFile::Number(std::string_view aName) const
{
  return std::get<std::int64_t>(ParseWholeNumber(Text(aName)));
}

SocketAddress
SettingsFile::Address(std::string_view aName) const
{
  return std::get<SocketAddress>(ParseSocketAddress(Text(aName)));
}

std::vector<SocketAddress>
SettingsFile::AddressList(std::string_view aName) const
{
  std::vector<SocketAddress> addresses;
  for (const std::string& part : SplitAtCommas(Text(aName))) {
    addresses.push_back(std::get<SocketAddress>(ParseSocketAddress(part)));
  }
  return addresses;
}

std::vector<SocketAddress>
SettingsFile::AllAddresses(std::span<const SettingSpec> aSpecs) const
{
  std::vector<SocketAddress> addresses;
  for (const SettingSpec& spec : aSpecs) {
    if (spec.kind_ == SettingKind::Address ||
        spec.kind_ == SettingKind::AddressList) {
      const std::vector<SocketAddress> own = AddressList(spec.name_);
      addresses.insert(addresses.end(), own.begin(), own.end());
    }
  }
  return addresses;
}

}
