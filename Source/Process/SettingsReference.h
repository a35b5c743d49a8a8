#pragma once

#include <string>

namespace cactusrail {

/** Every key of every role in columns, for a terminal. */
std::string
SettingsTable();

/** The page docs/SETTINGS.md. */
std::string
SettingsMarkdown();

}
