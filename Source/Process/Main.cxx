#include "Process/EntryProcess.h"
#include "Process/Log.h"
#include "Process/OperatorCommands.h"
#include "Process/SideProcess.h"
#include "Process/StopSignal.h"

#include <QCoreApplication>

#include <cstdlib>
#include <iostream>
#include <span>
#include <string>

namespace {

constexpr int kUsageError = 2;
constexpr int kStartError = 1;

/**
 * Runs a role until it has stopped. The first signal begins a planned stop, a
 * second one ends the process at once.
 */
template<typename Process, typename Settings>
int
RunRole(QCoreApplication& aApplication, const std::string& aPath)
{
  cactusrail::StopSignal signal;
  const cactusrail::Result<Settings> settings = Settings::Load(aPath);
  if (const auto* failure = std::get_if<cactusrail::Failure>(&settings)) {
    std::cerr << failure->message_ << '\n';
    return kUsageError;
  }
  cactusrail::StartLog(std::get<Settings>(settings).name_);
  cactusrail::Result<std::unique_ptr<Process>> started =
    Process::Start(std::get<Settings>(settings));
  if (const auto* failure = std::get_if<cactusrail::Failure>(&started)) {
    std::cerr << failure->message_ << '\n';
    return kStartError;
  }
  auto& process = std::get<std::unique_ptr<Process>>(started);
  std::cout << "ready " << process->Describe() << std::endl;
  QObject::connect(
    &signal, &cactusrail::StopSignal::Arrived, &aApplication, [&](int aCount) {
      if (aCount > 1) {
        cactusrail::LogChange("stopped-at-once", {});
        std::_Exit(kStartError);
      }
      process->Stop([] { QCoreApplication::quit(); });
    });
  return QCoreApplication::exec();
}

}

int
main(int argc, char** argv)
{
  QCoreApplication application(argc, argv);
  const std::span<char*> arguments(argv, static_cast<std::size_t>(argc));
  const std::string role = argc > 1 ? arguments[1] : "";
  if ((role == "entry" || role == "side") && argc == 3) {
    const std::string path = arguments[2];
    return role == "entry"
             ? RunRole<cactusrail::EntryProcess, cactusrail::EntrySettings>(
                 application, path)
             : RunRole<cactusrail::SideProcess, cactusrail::SideSettings>(
                 application, path);
  }
  return cactusrail::RunOperatorCommand(arguments.subspan(1));
}
