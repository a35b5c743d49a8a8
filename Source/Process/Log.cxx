#include "Process/Log.h"

#include "Process/Instant.h"
#include "Process/LogCollapse.h"
#include "Process/LogLine.h"
#include "Process/Metrics.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <QDateTime>

#include <iostream>
#include <mutex>

namespace cactusrail {

namespace {

namespace keywords = boost::log::keywords;
using Severity = boost::log::trivial::severity_level;

/** The log of the process: its name, its form and what it collapses. */
struct ProcessLog
{
  std::string name_;
  LogOptions options_;
  std::mutex mutex_;
  LogCollapse collapse_{ LogCollapse::Limits{} };
};

ProcessLog&
TheLog()
{
  static ProcessLog log;
  return log;
}

void
Write(Severity aSeverity,
      std::string_view aEvent,
      std::span<const LogField> aFields)
{
  const std::string time =
    QDateTime::currentDateTimeUtc().toString(Qt::ISODateWithMs).toStdString();
  const LogHead head{ time,
                      TheLog().name_,
                      aSeverity == Severity::warning ? "warning" : "info",
                      aEvent };
  BOOST_LOG_SEV(boost::log::trivial::logger::get(), aSeverity)
    << (TheLog().options_.json_ ? JsonLogLine(head, aFields)
                                : PlainLogLine(head, aFields));
}

void
WriteUnlessCollapsed(Severity aSeverity,
                     std::string_view aEvent,
                     std::span<const LogField> aFields)
{
  FlushCollapsedLog();
  ProcessLog& log = TheLog();
  bool admitted = false;
  {
    const std::lock_guard lock(log.mutex_);
    admitted = log.collapse_.Admit(aEvent, ReadMonotonicClock());
  }
  if (admitted) {
    Write(aSeverity, aEvent, aFields);
  } else {
    Metrics::OfProcess().Count(Counter::LogLinesCollapsed);
  }
}

}

void
StartLog(std::string_view aProcessName, const LogOptions& aOptions)
{
  TheLog().name_ = aProcessName;
  TheLog().options_ = aOptions;
  LogCollapse::Limits limits;
  limits.linesAWindow_ = aOptions.linesAWindow_;
  TheLog().collapse_ = LogCollapse(limits);
  boost::log::add_console_log(aOptions.standardOutput_ ? std::cout : std::clog,
                              keywords::format = "%Message%",
                              keywords::auto_flush = true);
  boost::log::core::get()->set_filter(
    boost::log::trivial::severity >=
    (aOptions.problemsOnly_ ? Severity::warning : Severity::info));
}

void
LogChange(std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  WriteUnlessCollapsed(
    Severity::info, aEvent, { aFields.begin(), aFields.size() });
}

void
LogProblem(std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  WriteUnlessCollapsed(
    Severity::warning, aEvent, { aFields.begin(), aFields.size() });
}

void
FlushCollapsedLog()
{
  ProcessLog& log = TheLog();
  std::vector<CollapsedLines> ended;
  {
    const std::lock_guard lock(log.mutex_);
    ended = log.collapse_.Expire(ReadMonotonicClock());
  }
  for (const CollapsedLines& lines : ended) {
    const std::initializer_list<LogField> fields{
      { "cause", lines.cause_ }, { "lines", std::to_string(lines.count_) }
    };
    Write(Severity::warning, "collapsed", { fields.begin(), fields.size() });
  }
}

}
