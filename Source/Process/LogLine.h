#pragma once

#include "Process/Log.h"

#include <span>
#include <string>
#include <string_view>

namespace cactusrail {

/** Fields that every log line has. */
struct LogHead
{
  /** ISO 8601, UTC, with milliseconds. */
  std::string_view time_;
  std::string_view process_;
  /** "info" or "warning". */
  std::string_view level_;
  std::string_view event_;
};

/** Formats a line as plain text; control characters in values become spaces. */
std::string
PlainLogLine(const LogHead& aHead, std::span<const LogField> aFields);

/** Formats a line as one JSON object. */
std::string
JsonLogLine(const LogHead& aHead, std::span<const LogField> aFields);

}
