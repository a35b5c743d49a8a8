#include "Process/RoleCommands.h"

#include "Process/CommandTable.h"
#include "Process/EntryProcess.h"
#include "Process/Log.h"
#include "Process/SideProcess.h"
#include "Process/StopSignal.h"

#include <QCoreApplication>

#include <cstdlib>
#include <iostream>

namespace cactusrail {

namespace {

ExitCode
Report(const Failure& aFailure, ExitCode aCode)
{
  std::cerr << aFailure.message_ << '\n';
  return aCode;
}

/**
 * Runs a role until it has stopped. The first signal begins a planned stop, a
 * second one ends the process at once.
 */
template<typename Process, typename Settings>
ExitCode
RunRole(const CommandLine& aLine)
{
  StopSignal signal;
  const std::string path = aLine.Text("FILE");
  const Result<Settings> loaded = Settings::Load(path);
  if (const auto* failure = std::get_if<Failure>(&loaded)) {
    return Report(*failure, ExitCode::Usage);
  }
  const auto& settings = std::get<Settings>(loaded);
  StartLog(settings.name_);
  KeyHolder::OfProcess().Replace(settings.common_.keys_);
  Result<std::unique_ptr<Process>> started = Process::Start(settings);
  if (const auto* failure = std::get_if<Failure>(&started)) {
    return Report(*failure, ExitCode::Other);
  }
  auto& process = std::get<std::unique_ptr<Process>>(started);
  std::cout << "ready " << process->Describe() << std::endl;
  QObject::connect(&signal, &StopSignal::Arrived, &signal, [&](int aCount) {
    if (aCount > 1) {
      LogChange("stopped-at-once", {});
      std::_Exit(static_cast<int>(ExitCode::Other));
    }
    process->Stop([] { QCoreApplication::quit(); });
  });
  const int code = QCoreApplication::exec();
  return code == 0 ? ExitCode::Done : ExitCode::Other;
}

}

void
AddRoleCommands(CommandTable& aTable)
{
  aTable.Add({ "entry",
               { "FILE" },
               "Runs an entry: it takes callers' requests. SIGTERM stops it "
               "once all are answered.",
               "cactusrail entry Examples/tagasi/entry.ini",
               {},
               false,
               RunRole<EntryProcess, EntrySettings> });
  aTable.Add({ "side",
               { "FILE" },
               "Runs a side: it serves one upstream. SIGTERM stops it once "
               "all is answered.",
               "cactusrail side Examples/tagasi/side.ini",
               {},
               false,
               RunRole<SideProcess, SideSettings> });
}

}
