#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace cactusrail {

/**
 * A name and a value of a log line. Ids are as explain takes them; nothing of
 * a body, a header or a key is ever given.
 */
using LogField = std::pair<std::string_view, std::string>;

/** How the log of a process is written. */
struct LogOptions
{
  /** One JSON object a line; otherwise "time process event name=value". */
  bool json_ = false;
  /** Only lines of LogProblem(). */
  bool problemsOnly_ = false;
  /** To standard output; otherwise to standard error. */
  bool standardOutput_ = false;
  /** Lines of one event that are written in ten seconds; more are counted. */
  std::uint64_t linesAWindow_ = 10;
};

/** Sets up the log of this process: one line a change of state. */
void
StartLog(std::string_view aProcessName, const LogOptions& aOptions = {});

/**
 * Logs a change of state. Events of single requests are counted, not logged.
 * Beyond so many lines of one event within ten seconds, lines are only counted;
 * a line "collapsed" states how many. Safe from any thread.
 */
void
LogChange(std::string_view aEvent, std::initializer_list<LogField> aFields);

/** Logs a change of state that an operator may have to act upon. */
void
LogProblem(std::string_view aEvent, std::initializer_list<LogField> aFields);

/** Writes the counts of floods that have ended; called every few seconds. */
void
FlushCollapsedLog();

}
