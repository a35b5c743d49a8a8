#pragma once

#include "Process/CommandLine.h"
#include "Process/ExitCode.h"
#include "Process/Log.h"
#include "Process/StopSignal.h"

#include <QCoreApplication>
#include <QTimer>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace cactusrail {

/**
 * Runs a role of the fleet until it has stopped. The first SIGTERM begins a
 * planned stop, a second one terminates the process immediately. SIGHUP reads
 * the settings file again, but only validates it and logs the result: none of
 * the settings can change without a restart.
 */
template<typename Process, typename Settings>
ExitCode
RunFleetRole(const CommandLine& aLine)
{
  constexpr Millis kLogFlush{ 2000 };
  // Sufficient to log each decision at about 200 starts per second.
  constexpr std::uint64_t kLinesPerWindow = 2000;
  StopSignal signal;
  const std::string path = aLine.Text("FILE");
  const Result<Settings> loaded = Settings::Load(path);
  if (const auto* failure = std::get_if<Failure>(&loaded)) {
    std::cerr << failure->message_ << '\n';
    return ExitCode::Usage;
  }
  const auto& settings = std::get<Settings>(loaded);
  StartLog(
    settings.fleet_.name_,
    { true, settings.fleet_.logLevel_ == "warning", true, kLinesPerWindow });
  Result<std::unique_ptr<Process>> started = Process::Start(settings);
  if (const auto* failure = std::get_if<Failure>(&started)) {
    std::cerr << failure->message_ << '\n';
    return ExitCode::Other;
  }
  auto& process = std::get<std::unique_ptr<Process>>(started);
  LogChange("started", { { "addresses", process->Describe() } });
  QObject::connect(&signal, &StopSignal::Arrived, &signal, [&](int aCount) {
    if (aCount > 1) {
      LogChange("stopped-at-once", {});
      std::_Exit(static_cast<int>(ExitCode::Other));
    }
    process->Stop([] { QCoreApplication::quit(); });
  });
  QObject::connect(&signal, &StopSignal::ReloadRequested, &signal, [&path] {
    const Result<Settings> again = Settings::Load(path);
    if (const auto* failure = std::get_if<Failure>(&again)) {
      LogProblem("settings-not-reloaded", { { "reason", failure->message_ } });
      return;
    }
    LogChange("settings-checked", { { "file", path } });
  });
  QTimer flush;
  QObject::connect(&flush, &QTimer::timeout, &flush, FlushCollapsedLog);
  flush.start(kLogFlush);
  const int code = QCoreApplication::exec();
  return code == 0 ? ExitCode::Done : ExitCode::Other;
}

}
