#include "Connection/HttpFraming.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

namespace cactusrail {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

std::string
LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aChar) {
    return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a')
                                        : aChar;
  });
  return lower;
}

std::string_view
Trim(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  const std::size_t last = aText.find_last_not_of(" \t");
  return aText.substr(first, last - first + 1);
}

Failure
Malformed(std::string aMessage)
{
  return NotRun(FailureKind::BadInput, std::move(aMessage));
}

std::optional<std::size_t>
ParseLength(std::string_view aText)
{
  std::size_t length = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, length);
  if (aText.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return length;
}

/**
 * Detects control characters. Some HTTP implementations treat a bare carriage
 * return or line feed as the end of a line and others do not, which allows
 * request smuggling.
 */
bool
HasControl(std::string_view aLine)
{
  return std::any_of(aLine.begin(), aLine.end(), [](char aChar) {
    const auto byte = static_cast<unsigned char>(aChar);
    return (byte < ' ' && aChar != '\t') || byte == 0x7f;
  });
}

/** Whether a line is "Name: value" without whitespace before the colon. */
bool
IsHeaderLine(std::string_view aLine)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos || colon == 0 || HasControl(aLine)) {
    return false;
  }
  return aLine.substr(0, colon).find_first_of(" \t") == std::string_view::npos;
}

/** Whether a line is "METHOD target HTTP/1.x", separated by single spaces. */
bool
IsRequestLine(std::string_view aLine)
{
  const std::size_t firstSpace = aLine.find(' ');
  const std::size_t lastSpace = aLine.rfind(' ');
  if (HasControl(aLine) || firstSpace == std::string_view::npos ||
      firstSpace == 0 || lastSpace <= firstSpace + 1) {
    return false;
  }
  const std::string_view version = aLine.substr(lastSpace + 1);
  const std::string_view target =
    aLine.substr(firstSpace + 1, lastSpace - firstSpace - 1);
  if (target.find(' ') != std::string_view::npos) {
    return false;
  }
  return version == "HTTP/1.1" || version == "HTTP/1.0";
}

}

Result<HttpRequestBounds>
ReadHttpBounds(std::string_view aHead)
{
  HttpRequestBounds bounds;
  bounds.headBytes_ = aHead.size();
  const std::size_t requestLineEnd = aHead.find(kLineEnd);
  if (requestLineEnd == std::string_view::npos ||
      !IsRequestLine(aHead.substr(0, requestLineEnd))) {
    return Malformed("The request line must be 'METHOD TARGET HTTP/1.1'.");
  }
  bounds.lastOnConnection_ =
    aHead.substr(0, requestLineEnd).ends_with("HTTP/1.0");
  bool lengthSeen = false;
  std::size_t start = requestLineEnd + kLineEnd.size();
  while (start < aHead.size()) {
    const std::size_t end = aHead.find(kLineEnd, start);
    if (end == std::string_view::npos || end == start) {
      break;
    }
    const std::string_view line = aHead.substr(start, end - start);
    start = end + kLineEnd.size();
    if (!IsHeaderLine(line)) {
      return Malformed("Each header line must be 'Name: value'.");
    }
    const std::size_t colon = line.find(':');
    const std::string name = LowerCase(line.substr(0, colon));
    const std::string_view value = Trim(line.substr(colon + 1));
    if (name == "transfer-encoding") {
      return Malformed(
        "Transfer-Encoding is not supported; send the body with a "
        "Content-Length.");
    }
    if (name == "connection" &&
        LowerCase(value).find("close") != std::string::npos) {
      bounds.lastOnConnection_ = true;
    }
    if (name != "content-length") {
      continue;
    }
    const std::optional<std::size_t> length = ParseLength(value);
    if (lengthSeen || !length.has_value()) {
      return Malformed(
        "The request must have a single Content-Length that is a "
        "non-negative integer.");
    }
    lengthSeen = true;
    bounds.bodyBytes_ = *length;
  }
  return bounds;
}

}
