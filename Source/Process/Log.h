#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace cactusrail {

/**
 * Name and value of one field of a log line. Ids have the form that the explain
 * command accepts. Fields never contain parts of a body, a header or a key.
 */
using LogField = std::pair<std::string_view, std::string>;

/** Format, level and destination of a process's log. */
struct LogOptions
{
  /** Write one JSON object per line; otherwise "time process event name=value".
   */
  bool json_ = false;
  /** Write only the lines of LogProblem(). */
  bool problemsOnly_ = false;
  /** Write to standard output; otherwise to standard error. */
  bool standardOutput_ = false;
  /** Lines written per event in ten seconds; further lines are counted. */
  std::uint64_t linesPerWindow_ = 10;
};

/** Sets up the log of this process, with one line per change of state. */
void
StartLog(std::string_view aProcessName, const LogOptions& aOptions = {});

/**
 * Logs a change of state. Events of single requests are counted, not logged.
 * Lines of one event beyond LogOptions::linesPerWindow_ in ten seconds are only
 * counted; a line "collapsed" reports their number. Thread-safe.
 */
void
LogChange(std::string_view aEvent, std::initializer_list<LogField> aFields);

/** Logs a change of state that may require action by an operator. */
void
LogProblem(std::string_view aEvent, std::initializer_list<LogField> aFields);

/** Logs the counts of rate-limited lines whose time window has ended; called
 * every few seconds. */
void
FlushCollapsedLog();

}
