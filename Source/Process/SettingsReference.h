#pragma once

#include <string>

namespace cactusrail {

/** Formats all keys of all roles as a table for a terminal. */
std::string
SettingsTable();

/** Generates the page docs/SETTINGS.md. */
std::string
SettingsMarkdown();

}
