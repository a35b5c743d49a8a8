#pragma once

#include <boost/program_options.hpp>

#include <iostream>
#include <optional>
#include <string>

/** Parses the command line of a stand-in; prints an error if it is invalid. */
inline std::optional<boost::program_options::variables_map>
ParseStandInOptions(int aCount,
                    char** aArguments,
                    const boost::program_options::options_description& aKnown)
{
  boost::program_options::variables_map values;
  try {
    boost::program_options::store(
      boost::program_options::parse_command_line(aCount, aArguments, aKnown),
      values);
    boost::program_options::notify(values);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n' << aKnown;
    return std::nullopt;
  }
  return values;
}
