#include "Process/SettingsFile.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/variables_map.hpp>

#include <QHostAddress>

#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>

namespace cactusrail {

namespace {

namespace options = boost::program_options;

Failure
BadSetting(const std::string& aPath,
           std::string_view aName,
           const std::string& aExpected)
{
  const std::size_t dot = aName.find('.');
  const std::string section(aName.substr(0, dot));
  const std::string key(dot == std::string_view::npos ? aName
                                                      : aName.substr(dot + 1));
  return NotRun(FailureKind::BadInput,
                aPath + ": [" + section + "] " + key + ": " + aExpected);
}

std::optional<std::int64_t>
ParseWhole(std::string_view aText)
{
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (aText.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

std::vector<std::string>
SplitAtCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  std::string part;
  while (std::getline(stream, part, ',')) {
    const std::size_t first = part.find_first_not_of(' ');
    const std::size_t last = part.find_last_not_of(' ');
    if (first != std::string::npos) {
      parts.push_back(part.substr(first, last - first + 1));
    }
  }
  return parts;
}

/** What a value should have been; empty if it is right. */
std::string
FindFault(const SettingSpec& aSpec, const std::string& aValue)
{
  switch (aSpec.kind_) {
    case SettingKind::Text:
      return {};
    case SettingKind::Number: {
      const std::optional<std::int64_t> number = ParseWhole(aValue);
      if (number.has_value() && *number >= aSpec.minimum_ &&
          *number <= aSpec.maximum_) {
        return {};
      }
      return "expected a whole number from " + std::to_string(aSpec.minimum_) +
             " to " + std::to_string(aSpec.maximum_) + ", got '" + aValue +
             "'.";
    }
    case SettingKind::Address: {
      const Result<SocketAddress> address = ParseSocketAddress(aValue);
      return Succeeded(address) ? std::string()
                                : std::get<Failure>(address).message_;
    }
    case SettingKind::AddressList:
      for (const std::string& part : SplitAtCommas(aValue)) {
        const Result<SocketAddress> address = ParseSocketAddress(part);
        if (const auto* failure = std::get_if<Failure>(&address)) {
          return failure->message_;
        }
      }
      return {};
  }
  return {};
}

}

Result<SocketAddress>
ParseSocketAddress(std::string_view aText)
{
  const auto bad = [aText] {
    return NotRun(FailureKind::BadInput,
                  "expected an IPv4 number and a port such as 127.0.0.1:7000, "
                  "got '" +
                    std::string(aText) + "'.");
  };
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return bad();
  }
  const std::optional<std::int64_t> port = ParseWhole(aText.substr(colon + 1));
  const std::string ip(aText.substr(0, colon));
  const QHostAddress address(QString::fromStdString(ip));
  constexpr std::int64_t kMaxPort = 65535;
  if (!port.has_value() || *port < 0 || *port > kMaxPort ||
      address.protocol() != QAbstractSocket::IPv4Protocol) {
    return bad();
  }
  return SocketAddress{ ip, static_cast<std::uint16_t>(*port) };
}

Result<SettingsFile>
SettingsFile::Load(const std::string& aPath,
                   std::span<const SettingSpec> aSpecs)
{
  std::ifstream file(aPath);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) {
    return NotRun(FailureKind::BadInput,
                  aPath + ": the settings file can't be read or is empty.");
  }
  return Parse(aPath, text.str(), aSpecs);
}

Result<SettingsFile>
SettingsFile::Parse(const std::string& aPath,
                    const std::string& aText,
                    std::span<const SettingSpec> aSpecs)
{
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
    return BadSetting(
      aPath, error.get_option_name(), "is not a setting of this role.");
  } catch (const options::multiple_occurrences& error) {
    return BadSetting(
      aPath, error.get_option_name(), "is given more than once.");
  } catch (const options::error& error) {
    return NotRun(FailureKind::BadInput,
                  aPath + ": expected '[section]' and 'key = value' lines: " +
                    error.what() + ".");
  }
  SettingsFile settings;
  for (const SettingSpec& spec : aSpecs) {
    const std::string name(spec.name_);
    const bool given = found.count(name) != 0;
    if (!given && spec.default_.data() == nullptr) {
      return BadSetting(
        aPath, name, "is missing; expected " + std::string(spec.help_) + ".");
    }
    std::string value =
      given ? found[name].as<std::string>() : std::string(spec.default_);
    const std::string fault = FindFault(spec, value);
    if (!fault.empty()) {
      return BadSetting(aPath, name, fault);
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
  return ParseWhole(Text(aName)).value_or(0);
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

}
