#include "Process/ProfileCommand.h"

#include "Process/CommandTable.h"
#include "Process/LogProfile.h"

#include <fstream>
#include <iostream>

namespace cactusrail {

namespace {

ExitCode
PrintProfile(const CommandLine& aLine)
{
  const std::string path = aLine.Text("FILE");
  std::ifstream file(path);
  if (!file) {
    std::cerr << "The log " << path << " can't be read.\n";
    return ExitCode::NotFound;
  }
  LogProfile profile;
  for (std::string line; std::getline(file, line);) {
    profile.AddLine(line);
  }
  std::cout << profile.Text();
  return ExitCode::Done;
}

}

void
AddProfileCommand(CommandTable& aTable)
{
  aTable.Add({ "profile",
               { "FILE" },
               "Prints waits, durations, stops and use of workers from the "
               "log of a fleet's entries.",
               "cactusrail profile entries.log",
               {},
               false,
               PrintProfile });
}

}
