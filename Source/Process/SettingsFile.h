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

/** The checked settings of one process, from one INI file. */
class SettingsFile
{
public:
  /**
   * Reads and checks a file against the keys a role knows. The failure is one
   * line with file, line, section, key and what was expected.
   */
  static Result<SettingsFile> Load(const std::string& aPath,
                                   std::span<const SettingSpec> aSpecs);

  /** The same for text that is already here; aPath only names it. */
  static Result<SettingsFile> Parse(const std::string& aPath,
                                    const std::string& aText,
                                    std::span<const SettingSpec> aSpecs);

  /** The text of a settings file, or why it can't be had. */
  static Result<std::string> ReadText(const std::string& aPath);

  const std::string& Text(std::string_view aName) const;
  std::int64_t Number(std::string_view aName) const;
  SocketAddress Address(std::string_view aName) const;
  std::vector<SocketAddress> AddressList(std::string_view aName) const;

  /** Every address in the file, of any key. */
  std::vector<SocketAddress> AllAddresses(
    std::span<const SettingSpec> aSpecs) const;

private:
  std::map<std::string, std::string, std::less<>> values_;
};

}
