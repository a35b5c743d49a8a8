#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace cactusrail {

/** A name and a value of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/** Sets up the log of this process: one line a change of state, on stderr. */
void
StartLog(std::string_view aProcessName);

/** Logs a change of state. Events of single requests are counted, not logged.
 */
void
LogChange(std::string_view aEvent, std::initializer_list<LogField> aFields);

}
