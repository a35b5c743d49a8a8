#pragma once

#include "Process/Instant.h"

#include <QProcess>

#include <csignal>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/**
 * Runs the event loop until the condition holds; fails the test with the words
 * if it does not within the generous bound.
 */
void
WaitUntil(const std::function<bool()>& aCondition, const std::string& aWhat);

/** The same; the words are made when it fails, so that they can say what was
 * seen last. */
void
WaitUntil(const std::function<bool()>& aCondition,
          const std::function<std::string()>& aWhat);

/**
 * One program of a test in a process of its own, killed with the object. Only
 * its own process id is ever signalled.
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

  /** The value of KEY=VALUE in the ready line. */
  std::string Value(std::string_view aKey) const;

  /** Whole lines of stdout that start with the prefix. */
  std::vector<std::string> Lines(std::string_view aPrefix) const;

  /** What the process wrote to its log so far. */
  const std::string& Log() const { return log_; }

  void Signal(int aSignal);

  /** When it was first signalled; the clock's zero if it never was. */
  cactusrail::Instant SignalledAt() const { return signalledAt_; }

  /** SIGKILL; returns when the process is gone. */
  void Kill();

  bool Running() const;

  /** Waits for the end; returns the exit code, or -1 after a signal. */
  int WaitForEnd();

  /** Resident memory now, in kilobytes. */
  std::size_t ResidentKilobytes() const;

private:
  void TakeOutput();

  std::string name_;
  QProcess process_;
  std::string partial_;
  std::vector<std::string> lines_;
  std::string log_;
  cactusrail::Instant signalledAt_;
};
