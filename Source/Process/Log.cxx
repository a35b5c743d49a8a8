#include "Process/Log.h"

#include "Process/LogCollapse.h"
#include "Process/LogLine.h"
#include "Process/LogOutput.h"
#include "Process/Metrics.h"
#include "Version/Instant.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/make_shared.hpp>

#include <QDateTime>

#include <mutex>
#include <unistd.h>

namespace cactusrail {

namespace {

namespace expressions = boost::log::expressions;
namespace sinks = boost::log::sinks;
using Severity = boost::log::trivial::severity_level;

/** Boost.Log sink backend that passes lines to LogOutput, which writes or drops
 * them. */
class OutputBackend
  : public sinks::basic_formatted_sink_backend<char,
                                               sinks::synchronized_feeding>
{
public:
  explicit OutputBackend(int aDescriptor)
    : output_(aDescriptor)
  {
  }

  // The library requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void consume(const boost::log::record_view&, const string_type& aLine)
  {
    output_.Write(aLine);
  }

private:
  LogOutput output_;
};

/** State of the process's log: name, format and rate limiter. */
struct ProcessLog
{
  std::string name_;
  LogOptions options_;
  std::mutex mutex_;
  LogCollapse collapse_{ LogCollapse::Limits{} };
};

ProcessLog&
GetProcessLog()
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
                      GetProcessLog().name_,
                      aSeverity == Severity::warning ? "warning" : "info",
                      aEvent };
  BOOST_LOG_SEV(boost::log::trivial::logger::get(), aSeverity)
    << (GetProcessLog().options_.json_ ? JsonLogLine(head, aFields)
                                       : PlainLogLine(head, aFields));
}

void
WriteUnlessCollapsed(Severity aSeverity,
                     std::string_view aEvent,
                     std::span<const LogField> aFields)
{
  FlushCollapsedLog();
  ProcessLog& log = GetProcessLog();
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
  GetProcessLog().name_ = aProcessName;
  GetProcessLog().options_ = aOptions;
  LogCollapse::Limits limits;
  limits.linesPerWindow_ = aOptions.linesPerWindow_;
  GetProcessLog().collapse_ = LogCollapse(limits);
  using Sink = sinks::synchronous_sink<OutputBackend>;
  const auto sink = boost::make_shared<Sink>(boost::make_shared<OutputBackend>(
    aOptions.standardOutput_ ? STDOUT_FILENO : STDERR_FILENO));
  sink->set_formatter(expressions::stream << expressions::smessage);
  boost::log::core::get()->add_sink(sink);
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
  ProcessLog& log = GetProcessLog();
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
