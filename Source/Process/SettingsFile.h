#pragma once

#include "Process/SettingSpec.h"
#include "Process/SocketAddress.h"
#include "Request/Failure.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail {

/** Validated settings of one process, from one INI file. */
class SettingsFile
{
public:
  /**
   * Reads a file and validates it against the keys of a role. A failure's
   * message is one line with file, line, section, key and expected value.
   */
  static Result<SettingsFile> Load(const std::string& aPath,
                                   std::span<const SettingSpec> aSpecs);

  /** Parses settings from text; aPath is only used in messages. */
  static Result<SettingsFile> Parse(const std::string& aPath,
                                    const std::string& aText,
                                    std::span<const SettingSpec> aSpecs);

  /** Returns the text of a settings file, or a failure if it can't be read. */
  static Result<std::string> ReadText(const std::string& aPath);

  const std::string& Text(std::string_view aName) const;
  std::int64_t Number(std::string_view aName) const;
  SocketAddress Address(std::string_view aName) const;
  std::vector<SocketAddress> AddressList(std::string_view aName) const;

  /** Returns the addresses of all keys in the file. */
  std::vector<SocketAddress> AllAddresses(
    std::span<const SettingSpec> aSpecs) const;

private:
  std::map<std::string, std::string, std::less<>> values_;
};

}
