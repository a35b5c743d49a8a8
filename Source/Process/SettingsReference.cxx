#include "Process/SettingsReference.h"

#include "Process/EntrySettings.h"
#include "Process/FleetSettings.h"
#include "Process/SideSettings.h"
#include "Process/TextTable.h"

#include <array>
#include <limits>
#include <utility>

namespace cactusrail {

namespace {

constexpr std::string_view kNone = "-";

std::string
OrNone(std::string_view aText)
{
  return std::string(aText.empty() ? kNone : aText);
}

std::string
RangeText(const SettingSpec& aSpec)
{
  switch (aSpec.kind_) {
    case SettingKind::Text:
      return "text";
    case SettingKind::Number:
      return std::to_string(aSpec.minimum_) + " to " +
             std::to_string(aSpec.maximum_);
    case SettingKind::Address:
      return "IPv4:PORT";
    case SettingKind::AddressList:
      return "IPv4:PORT,...";
    case SettingKind::Choice:
      return std::string(aSpec.choices_);
    case SettingKind::Keys:
      return "ID:HEX,... (4 keys)";
    case SettingKind::Sha256:
      return "64 hex digits";
  }
  return {};
}

std::string
DefaultText(const SettingSpec& aSpec)
{
  return aSpec.IsRequired() ? "required" : OrNone(aSpec.default_);
}

std::string
AppliedByText(const SettingSpec& aSpec)
{
  return aSpec.live_ ? "SIGHUP" : "restart";
}

using RoleSpecs = std::pair<std::string_view, std::span<const SettingSpec>>;

std::array<RoleSpecs, 4>
Roles()
{
  return { RoleSpecs{ "entry", EntrySettings::Specs() },
           RoleSpecs{ "side", SideSettings::Specs() },
           RoleSpecs{ "fleet-entry", FleetEntrySettings::Specs() },
           RoleSpecs{ "fleet-side", FleetSideSettings::Specs() } };
}

std::string
MarkdownRow(const SettingSpec& aSpec)
{
  return "| `" + std::string(aSpec.name_) + "` | " + OrNone(aSpec.unit_) +
         " | " + DefaultText(aSpec) + " | " + RangeText(aSpec) + " | " +
         AppliedByText(aSpec) + " | " + std::string(aSpec.help_) + " |\n";
}

}

std::string
SettingsTable()
{
  TextTable table;
  table.AddRow(
    { "ROLE", "KEY", "UNIT", "DEFAULT", "RANGE", "IN-FORCE-BY", "WHAT FOR" });
  for (const auto& [role, specs] : Roles()) {
    for (const SettingSpec& spec : specs) {
      table.AddRow({ std::string(role),
                     std::string(spec.name_),
                     OrNone(spec.unit_),
                     DefaultText(spec),
                     RangeText(spec),
                     AppliedByText(spec),
                     std::string(spec.help_) });
    }
  }
  return table.Text();
}

std::string
SettingsMarkdown()
{
  std::string page =
    "# Settings\n\n"
    "Each process reads one INI file: `[section]` lines, `key = value` lines, "
    "and comments after `#`. `section.key` below is `key` in `[section]`.\n"
    "A wrong file starts nothing: the program ends with exit code 2 and one "
    "line that names file, line, section, key and what was expected.\n"
    "`cactusrail config check FILE` does the same check and nothing else.\n\n"
    "A value whose last column but one says SIGHUP is read again when the "
    "process gets that signal; the others need a restart.\n\n"
    "This page is written by `cactusrail config keys --output markdown`; a "
    "test compares them.\n";
  for (const auto& [role, specs] : Roles()) {
    page += "\n## " + std::string(role) +
            "\n\n"
            "| key | unit | default | range | in force by | what for |\n"
            "| --- | --- | --- | --- | --- | --- |\n";
    for (const SettingSpec& spec : specs) {
      page += MarkdownRow(spec);
    }
  }
  return page;
}

}
