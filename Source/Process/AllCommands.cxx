#include "Process/AllCommands.h"

#include "Process/Completion.h"
#include "Process/ConfigCommands.h"
#include "Process/ExplainCommand.h"
#include "Process/ProfileCommand.h"
#include "Process/RoleCommands.h"
#include "Process/TopCommand.h"
#include "Process/WorkCommands.h"
#include "platform/PlatformCommands.h"

#include <iostream>

namespace cactusrail {

namespace {

ExitCode
PrintVersion(const CommandLine& aLine)
{
  if (aLine.Output() == OutputFormat::Json) {
    std::cout << "{\"version\":\"" CACTUSRAIL_VERSION "\"}\n";
  } else {
    std::cout << "cactusrail " CACTUSRAIL_VERSION "\n";
  }
  return ExitCode::Done;
}

ExitCode
PrintCompletion(const CommandLine&)
{
  std::cout << BashCompletion(AllCommands());
  return ExitCode::Done;
}

void
AddProgramCommands(CommandTable& aTable)
{
  aTable.Add({ "version",
               {},
               "Prints the program's version.",
               "cactusrail version",
               { { "output", "json|table", "how to print it" } },
               false,
               PrintVersion });
  aTable.Add({ "completion",
               {},
               "Prints the completion script for bash.",
               "source <(cactusrail completion)",
               {},
               false,
               PrintCompletion });
}

}

CommandTable
AllCommands()
{
  CommandTable table;
  AddRoleCommands(table);
  AddPlatformCommands(table);
  AddConfigCommands(table);
  AddWorkCommands(table);
  AddExplainCommands(table);
  AddTopCommand(table);
  AddProfileCommand(table);
  AddProgramCommands(table);
  return table;
}

}
