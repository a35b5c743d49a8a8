#pragma once

#include "Version/Instant.h"

#include <QProcess>

#include <csignal>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/**
 * Runs the event loop until the condition holds; fails the test with the
 * description aWhat when the timeout expires.
 */
void
WaitUntil(const std::function<bool()>& aCondition, const std::string& aWhat);

/**
 * Evaluates the description aWhat only on failure, so that it can contain the
 * last observed state.
 */
void
WaitUntil(const std::function<bool()>& aCondition,
          const std::function<std::string()>& aWhat);

/**
 * Runs one program of a test in a process of its own and kills it on
 * destruction. Signals are sent to the id of this process only.
 */
class Child
{
public:
  /** Starts the program and waits for its "ready" line. */
  Child(std::string aName,
        const std::string& aProgram,
        const QStringList& aArguments);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  const std::string& Name() const { return name_; }

  /** Returns the value of KEY=VALUE in the ready line. */
  std::string Value(std::string_view aKey) const;

  /** Returns the complete lines of stdout that start with the prefix. */
  std::vector<std::string> Lines(std::string_view aPrefix) const;

  /** Returns the log output of the process so far. */
  const std::string& Log() const { return log_; }

  void Signal(int aSignal);

  /** Returns the time of the first signal, or the clock's zero if none. */
  cactusrail::Instant SignalledAt() const { return signalledAt_; }

  /** Sends SIGKILL and waits until the process has ended. */
  void Kill();

  bool Running() const;

  /** Waits for the exit; returns the exit code, or -1 after a signal. */
  int WaitForEnd();

  /** Returns the current resident memory in kilobytes. */
  std::size_t ResidentKilobytes() const;

private:
  void ReadOutput();

  std::string name_;
  QProcess process_;
  std::string partialLine_;
  std::vector<std::string> lines_;
  std::string log_;
  cactusrail::Instant signalledAt_;
};
