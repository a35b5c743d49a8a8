#pragma once

#include "Request/Failure.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** Type of a setting's value. */
enum class SettingKind : std::uint8_t
{
  Text,
  /** An integer within the spec's range. */
  Number,
  /** "IP:PORT", IPv4; port 0 selects any free port. */
  Address,
  /** "IP:PORT,IP:PORT". */
  AddressList,
  /** One of the spec's choices. */
  Choice,
  /** "ID:HEX,ID:HEX", shared keys; never included in a message. */
  Keys,
  /** A SHA-256 as 64 lowercase hex digits, or empty. */
  Sha256,
};

/** Specification of one key in a role's settings file. */
struct SettingSpec
{
  /** "section.key". */
  std::string_view name_;
  SettingKind kind_ = SettingKind::Text;
  /** Value of an absent key; a null view means that the key is required. */
  std::string_view default_;
  std::int64_t minimum_ = 0;
  std::int64_t maximum_ = 0;
  /** Description for docs and error messages. */
  std::string_view help_;
  /** Unit such as "ms" or "bytes"; empty if the value has none. */
  std::string_view unit_{};
  /** Comma-separated choices of a SettingKind::Choice, such as "line,json". */
  std::string_view choices_{};
  /** SIGHUP applies a new value; otherwise a restart is needed. */
  bool live_ = false;

  bool IsRequired() const { return default_.data() == nullptr; }
};

/** Makes a required setting without a range. */
constexpr SettingSpec
RequiredSetting(std::string_view aName,
                SettingKind aKind,
                std::string_view aHelp)
{
  return { aName, aKind, {}, 0, 0, aHelp };
}

/** Makes an integer setting with its default, range and unit. */
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

/** Returns why a value is invalid; empty if it is valid. */
std::string
FindSettingFault(const SettingSpec& aSpec, const std::string& aValue);

/** Splits a list at its commas and trims the parts; empty for an empty list. */
std::vector<std::string>
SplitAtCommas(const std::string& aText);

/** Parses the entire text as an integer. */
Result<std::int64_t>
ParseWholeNumber(std::string_view aText);

}
