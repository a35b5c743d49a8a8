#include "Child.h"

#include "Version/Instant.h"

#include <QCoreApplication>
#include <QTimer>

#include <criterion/criterion.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>

namespace {

constexpr std::chrono::seconds kTimeout{ 30 };
constexpr std::chrono::milliseconds kWake{ 20 };

}

void
WaitUntil(const std::function<bool()>& aCondition, const std::string& aWhat)
{
  WaitUntil(aCondition, [&aWhat] { return aWhat; });
}

void
WaitUntil(const std::function<bool()>& aCondition,
          const std::function<std::string()>& aWhat)
{
  const auto deadline = cactusrail::ReadMonotonicClock() + kTimeout;
  QTimer wake;
  wake.start(kWake);
  while (!aCondition()) {
    cr_assert(cactusrail::ReadMonotonicClock() < deadline,
              "Timed out while waiting for: %s",
              aWhat().c_str());
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
}

Child::Child(std::string aName,
             const std::string& aProgram,
             const QStringList& aArguments)
  : name_(std::move(aName))
{
  QObject::connect(&process_,
                   &QProcess::readyReadStandardOutput,
                   &process_,
                   [this] { ReadOutput(); });
  QObject::connect(
    &process_, &QProcess::readyReadStandardError, &process_, [this] {
      log_ += process_.readAllStandardError().toStdString();
    });
  // A failed test exits without running destructors; the signal ends its child
  // processes.
  process_.setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); });
  process_.start(QString::fromStdString(aProgram), aArguments);
  WaitUntil([this] { return !Lines("ready ").empty() || !Running(); },
            name_ + " to be ready");
  cr_assert(!Lines("ready ").empty(),
            "%s did not start: %s",
            name_.c_str(),
            log_.c_str());
}

Child::~Child()
{
  process_.disconnect();
  process_.kill();
  process_.waitForFinished();
}

void
Child::ReadOutput()
{
  partialLine_ += process_.readAllStandardOutput().toStdString();
  std::size_t end = partialLine_.find('\n');
  while (end != std::string::npos) {
    lines_.push_back(partialLine_.substr(0, end));
    partialLine_.erase(0, end + 1);
    end = partialLine_.find('\n');
  }
}

std::string
Child::Value(std::string_view aKey) const
{
  std::istringstream words(Lines("ready ").front());
  const std::string start = std::string(aKey) + "=";
  std::string word;
  while (words >> word) {
    if (word.starts_with(start)) {
      return word.substr(start.size());
    }
  }
  cr_assert_fail("The ready line of %s lacks the requested value",
                 name_.c_str());
  return {};
}

std::vector<std::string>
Child::Lines(std::string_view aPrefix) const
{
  std::vector<std::string> found;
  std::copy_if(
    lines_.begin(),
    lines_.end(),
    std::back_inserter(found),
    [aPrefix](const std::string& aLine) { return aLine.starts_with(aPrefix); });
  return found;
}

void
Child::Signal(int aSignal)
{
  cr_assert(Running(), "%s has ended: %s", name_.c_str(), log_.c_str());
  if (signalledAt_ == cactusrail::Instant()) {
    signalledAt_ = cactusrail::ReadMonotonicClock();
  }
  ::kill(static_cast<pid_t>(process_.processId()), aSignal);
}

void
Child::Kill()
{
  Signal(SIGKILL);
  WaitForEnd();
}

bool
Child::Running() const
{
  return process_.state() != QProcess::NotRunning;
}

int
Child::WaitForEnd()
{
  WaitUntil([this] { return !Running(); }, name_ + " to end");
  return process_.exitStatus() == QProcess::NormalExit ? process_.exitCode()
                                                       : -1;
}

std::size_t
Child::ResidentKilobytes() const
{
  std::ifstream status("/proc/" + std::to_string(process_.processId()) +
                       "/status");
  std::string word;
  std::size_t kilobytes = 0;
  while (status >> word) {
    if (word == "VmRSS:") {
      status >> kilobytes;
      break;
    }
  }
  return kilobytes;
}
