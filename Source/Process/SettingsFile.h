#pragma once

#include "Request/Failure.h"

#include <cstdint>
#include <map>
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
  /** "IP:PORT,IP:PORT" or empty. */
  AddressList,
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
  /** What it is for, with its unit, for docs and error messages. */
  std::string_view help_;
};

/** An IPv4 number and a port. */
struct SocketAddress
{
  std::string ip_;
  std::uint16_t port_ = 0;

  std::string Text() const { return ip_ + ":" + std::to_string(port_); }
  bool operator==(const SocketAddress&) const = default;
};

/** Reads "IP:PORT"; a name is not taken, nor a port over 65535. */
Result<SocketAddress>
ParseSocketAddress(std::string_view aText);

/** The checked settings of one process, from one INI file. */
class SettingsFile
{
public:
  /**
   * Reads and checks a file against the keys a role knows. The failure is one
   * line with file, section, key and what was expected.
   */
  static Result<SettingsFile> Load(const std::string& aPath,
                                   std::span<const SettingSpec> aSpecs);

  /** The same for text that is already here; aPath only names it. */
  static Result<SettingsFile> Parse(const std::string& aPath,
                                    const std::string& aText,
                                    std::span<const SettingSpec> aSpecs);

  const std::string& Text(std::string_view aName) const;
  std::int64_t Number(std::string_view aName) const;
  SocketAddress Address(std::string_view aName) const;
  std::vector<SocketAddress> AddressList(std::string_view aName) const;

private:
  std::map<std::string, std::string, std::less<>> values_;
};

}
