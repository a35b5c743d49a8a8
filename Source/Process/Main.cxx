#include "Process/AllCommands.h"

#include <QCoreApplication>

#include <string>
#include <vector>

int
main(int argc, char** argv)
{
  const QCoreApplication application(argc, argv);
  const std::vector<std::string> words(argv + 1, argv + argc);
  const cactusrail::ExitCode code = cactusrail::AllCommands().Run(words);
  return static_cast<int>(code);
}
