#include "Process/Log.h"

#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace cactusrail {

namespace {

namespace keywords = boost::log::keywords;

std::string&
ProcessName()
{
  static std::string name;
  return name;
}

}

void
StartLog(std::string_view aProcessName)
{
  ProcessName() = aProcessName;
  boost::log::add_common_attributes();
  boost::log::add_console_log(std::clog,
                              keywords::format = "%TimeStamp% %Message%",
                              keywords::auto_flush = true);
}

void
LogChange(std::string_view aEvent, std::initializer_list<LogField> aFields)
{
  std::string line = ProcessName() + " " + std::string(aEvent);
  for (const auto& [name, value] : aFields) {
    line += " " + std::string(name) + "=" + value;
  }
  BOOST_LOG_TRIVIAL(info) << line;
}

}
