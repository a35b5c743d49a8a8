#include "Process/RoleOfSettings.h"

#include "Process/EntrySettings.h"
#include "Process/SideSettings.h"

#include <sstream>

namespace cactusrail {

namespace {

bool
HasSection(const std::string& aText, const std::string& aName)
{
  std::istringstream stream(aText);
  std::string line;
  while (std::getline(stream, line)) {
    if (line.starts_with("[" + aName + "]")) {
      return true;
    }
  }
  return false;
}

template<typename Settings>
Result<std::string>
CheckRole(const std::string& aPath, const std::string& aRole)
{
  const Result<Settings> settings = Settings::Load(aPath);
  if (const auto* failure = std::get_if<Failure>(&settings)) {
    return *failure;
  }
  return aRole;
}

}

Result<std::string>
CheckSettings(const std::string& aPath)
{
  const Result<std::string> text = SettingsFile::ReadText(aPath);
  if (const auto* failure = std::get_if<Failure>(&text)) {
    return *failure;
  }
  const bool entry = HasSection(std::get<std::string>(text), "entry");
  const bool side = HasSection(std::get<std::string>(text), "side");
  if (entry == side) {
    return NotRun(FailureKind::BadInput,
                  aPath +
                    ": the role is not known; expected either an [entry] or a "
                    "[side] section.");
  }
  return entry ? CheckRole<EntrySettings>(aPath, "entry")
               : CheckRole<SideSettings>(aPath, "side");
}

}
