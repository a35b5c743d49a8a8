#include "Process/RoleCommands.h"

#include "Process/CommandTable.h"
#include "Process/EntryProcess.h"
#include "Process/Log.h"
#include "Process/Metrics.h"
#include "Process/SideProcess.h"
#include "Process/StopSignal.h"

#include <QCoreApplication>
#include <QTimer>

#include <cstdlib>
#include <iostream>

namespace cactusrail {

namespace {

constexpr Millis kLogFlush{ 2000 };

ExitCode
Report(const Failure& aFailure, ExitCode aCode)
{
  std::cerr << aFailure.message_ << '\n';
  return aCode;
}

/**
 * Applies the keys of the settings file. An invalid file changes nothing, so
 * that a typing error does not lock out all users.
 */
template<typename Settings>
void
ReloadKeys(const std::string& aPath)
{
  const Result<Settings> loaded = Settings::Load(aPath);
  if (const auto* failure = std::get_if<Failure>(&loaded)) {
    LogProblem("settings-not-reloaded", { { "reason", failure->message_ } });
    return;
  }
  const KeyRing& keys = std::get<Settings>(loaded).common_.keys_;
  const std::string signer = keys.Empty() ? "none" : keys.Signer().id_;
  KeyHolder::OfProcess().Replace(keys);
  LogChange(
    "keys-reloaded",
    { { "signer", signer }, { "keys", std::to_string(keys.Keys().size()) } });
}

/**
 * Runs a role until it has stopped. The first signal begins a planned stop, a
 * second one terminates the process immediately.
 */
template<typename Process, typename Settings>
ExitCode
RunRole(const CommandLine& aLine, const std::string& aRole)
{
  StopSignal signal;
  const std::string path = aLine.Text("FILE");
  const Result<Settings> loaded = Settings::Load(path);
  if (const auto* failure = std::get_if<Failure>(&loaded)) {
    return Report(*failure, ExitCode::Usage);
  }
  const auto& settings = std::get<Settings>(loaded);
  StartLog(settings.name_,
           { settings.common_.logFormat_ == "json",
             settings.common_.logLevel_ == "warning" });
  Metrics::OfProcess().Describe(aRole, settings.name_);
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
  QObject::connect(&signal, &StopSignal::ReloadRequested, &signal, [&path] {
    ReloadKeys<Settings>(path);
  });
  QTimer flush;
  QObject::connect(&flush, &QTimer::timeout, &flush, FlushCollapsedLog);
  flush.start(kLogFlush);
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
               [](const CommandLine& aLine) {
                 return RunRole<EntryProcess, EntrySettings>(aLine, "entry");
               } });
  aTable.Add({ "side",
               { "FILE" },
               "Runs a side: it serves one upstream. SIGTERM stops it once "
               "all is answered.",
               "cactusrail side Examples/tagasi/side.ini",
               {},
               false,
               [](const CommandLine& aLine) {
                 return RunRole<SideProcess, SideSettings>(aLine, "side");
               } });
}

}
