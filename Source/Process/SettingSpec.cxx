#include "Process/SettingSpec.h"

#include "Connection/KeyRing.h"
#include "Process/SocketAddress.h"

#include <QHostAddress>

#include <algorithm>
#include <charconv>

namespace cactusrail {

namespace {

constexpr std::size_t kSha256HexLength = 64;

template<typename Value>
std::string
MessageOf(const Result<Value>& aResult)
{
  const auto* failure = std::get_if<Failure>(&aResult);
  return failure == nullptr ? std::string() : failure->message_;
}

std::string
FindNumberFault(const SettingSpec& aSpec, const std::string& aValue)
{
  // Boost.Program_options parses -1 as a large number for an unsigned type, so
  // numbers are parsed as signed 64-bit integers and checked against the range.
  const Result<std::int64_t> number = ParseWholeNumber(aValue);
  const auto* value = std::get_if<std::int64_t>(&number);
  if (value != nullptr && *value >= aSpec.minimum_ &&
      *value <= aSpec.maximum_) {
    return {};
  }
  return "expected a whole number from " + std::to_string(aSpec.minimum_) +
         " to " + std::to_string(aSpec.maximum_) + ", got '" + aValue + "'.";
}

std::string
FindAddressListFault(const std::string& aValue)
{
  for (const std::string& part : SplitAtCommas(aValue)) {
    std::string fault = MessageOf(ParseSocketAddress(part));
    if (!fault.empty()) {
      return fault;
    }
  }
  return {};
}

std::string
FindChoiceFault(const SettingSpec& aSpec, const std::string& aValue)
{
  const std::vector<std::string> choices =
    SplitAtCommas(std::string(aSpec.choices_));
  const bool known =
    std::find(choices.begin(), choices.end(), aValue) != choices.end();
  return known ? std::string()
               : "expected one of " + std::string(aSpec.choices_) + ", got '" +
                   aValue + "'.";
}

std::string
FindSha256Fault(const std::string& aValue)
{
  const bool isValid =
    aValue.empty() ||
    (aValue.size() == kSha256HexLength &&
     aValue.find_first_not_of("0123456789abcdef") == std::string::npos);
  return isValid ? std::string() : "expected a SHA-256 as 64 small hex digits.";
}

}

std::string
FindSettingFault(const SettingSpec& aSpec, const std::string& aValue)
{
  if (aSpec.IsRequired() && aValue.empty()) {
    return "is empty; expected " + std::string(aSpec.help_) + ".";
  }
  switch (aSpec.kind_) {
    case SettingKind::Text:
      return {};
    case SettingKind::Number:
      return FindNumberFault(aSpec, aValue);
    case SettingKind::Address:
      return MessageOf(ParseSocketAddress(aValue));
    case SettingKind::AddressList:
      return FindAddressListFault(aValue);
    case SettingKind::Choice:
      return FindChoiceFault(aSpec, aValue);
    case SettingKind::Keys:
      return MessageOf(KeyRing::Parse(aValue));
    case SettingKind::Sha256:
      return FindSha256Fault(aValue);
  }
  return {};
}

std::vector<std::string>
SplitAtCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  if (aText.find_first_not_of(' ') == std::string::npos) {
    return parts;
  }
  std::size_t start = 0;
  while (start <= aText.size()) {
    const std::size_t end = std::min(aText.find(',', start), aText.size());
    const std::string part = aText.substr(start, end - start);
    const std::size_t first = part.find_first_not_of(' ');
    const std::size_t last = part.find_last_not_of(' ');
    // Keeps empty parts, which the code that reads the list reports as errors.
    parts.push_back(first == std::string::npos
                      ? std::string()
                      : part.substr(first, last - first + 1));
    start = end + 1;
  }
  return parts;
}

Result<std::int64_t>
ParseWholeNumber(std::string_view aText)
{
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (aText.empty() || error != std::errc() || stop != end) {
    return NotRun(FailureKind::BadInput,
                  "expected a whole number, got '" + std::string(aText) + "'.");
  }
  return number;
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
  const Result<std::int64_t> port = ParseWholeNumber(aText.substr(colon + 1));
  const auto* number = std::get_if<std::int64_t>(&port);
  const std::string ip(aText.substr(0, colon));
  const QHostAddress address(QString::fromStdString(ip));
  constexpr std::int64_t kMaxPort = 65535;
  // Qt also accepts "127.1"; only the full dotted form is allowed here.
  const bool isFullDottedForm = address.toString().toStdString() == ip;
  if (number == nullptr || *number < 0 || *number > kMaxPort ||
      !isFullDottedForm ||
      address.protocol() != QAbstractSocket::IPv4Protocol) {
    return bad();
  }
  return SocketAddress{ ip, static_cast<std::uint16_t>(*number) };
}

}
