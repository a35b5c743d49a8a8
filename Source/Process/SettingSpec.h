#pragma once

#include "Request/Failure.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** What a setting's text must be. */
enum class SettingKind : std::uint8_t
{
  Text,
  /** A whole number within the spec's range. */
  Number,
  /** "IP:PORT", IPv4, port 0 for any free one. */
  Address,
  /** "IP:PORT,IP:PORT". */
  AddressList,
  /** One of the spec's choices. */
  Choice,
  /** "ID:HEX,ID:HEX", shared keys; never shown in a message. */
  Keys,
  /** A SHA-256 as 64 hex digits, or empty. */
  Sha256,
};

/** One key that a role's settings file may hold. */
struct SettingSpec
{
  /** "section.key". */
  std::string_view name_;
  SettingKind kind_ = SettingKind::Text;
  /** Used if the key is absent; a null view means that it is required. */
  std::string_view default_;
  std::int64_t minimum_ = 0;
  std::int64_t maximum_ = 0;
  /** What it is for, for docs and error messages. */
  std::string_view help_;
  /** "ms", "bytes"; empty for what is not counted. */
  std::string_view unit_{};
  /** For SettingKind::Choice: "line,json". */
  std::string_view choices_{};
  /** SIGHUP puts a new value in force; otherwise a restart does. */
  bool live_ = false;

  bool IsRequired() const { return default_.data() == nullptr; }
};

/** A required setting without a range. */
constexpr SettingSpec
RequiredSetting(std::string_view aName,
                SettingKind aKind,
                std::string_view aHelp)
{
  return { aName, aKind, {}, 0, 0, aHelp };
}

/** A whole number with its default, range and unit. */
constexpr SettingSpec
NumberSetting(std::string_view aName,
              std::string_view aDefault,
              std::int64_t aMinimum,
              std::int64_t aMaximum,
              std::string_view aUnit,
              std::string_view aHelp)
{
  return { aName, SettingKind::Number, aDefault, aMinimum, aMaximum, aHelp,
           aUnit };
}

/** What a value should have been; empty if it is right. */
std::string
FindSettingFault(const SettingSpec& aSpec, const std::string& aValue);

/** The parts of a list, without the spaces around them; none if it is empty. */
std::vector<std::string>
SplitAtCommas(const std::string& aText);

/** The whole text as a whole number. */
Result<std::int64_t>
ParseWholeNumber(std::string_view aText);

}
