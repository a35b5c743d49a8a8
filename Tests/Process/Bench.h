#pragma once

#include "Child.h"
#include "Connection/HttpCaller.h"
#include "Ledger.h"
#include "Request/RequestStep.h"
#include "Version/WorkRecords.h"

#include <QCoreApplication>
#include <QTemporaryDir>

#include <memory>
#include <string>
#include <vector>

/** How a test's caller asks. */
struct CallPlan
{
  /** "once" runs at most once, "again" is idempotent. */
  std::string service_ = "once";
  std::string method_ = "POST";
  /** The upstream's behaviour: "work=50", "fail=close" and so on. */
  std::string query_ = {};
  std::string idempotencyKey_ = {};
  /** Empty: a new one. Repeated by a caller that retries. */
  std::string mark_ = {};
  std::string body_ = "lot";
};

/**
 * The processes of one test: a platform, entries, sides and upstreams, all on
 * loopback with ports of the kernel's choice, and callers in this process.
 */
class Bench
{
public:
  Bench();
  ~Bench();

  Child& StartPlatform();
  /** aMembership: the address of the host that it replaces. */
  Child& StartEntry(const std::string& aName,
                    const std::string& aExtra = {},
                    const std::string& aMembership = "127.0.0.1:0");
  /** aEntries: further membership addresses to send heartbeats to. */
  Child& StartSide(const std::string& aName,
                   const std::string& aExtra = {},
                   const std::string& aEntries = {});
  /** The same side on the same addresses, as after a restart of its host. */
  Child& RestartSide(const std::string& aName);
  /** A side of that name must run. */
  Child& StartUpstream(const std::string& aSide,
                       const std::string& aService = "once",
                       const QStringList& aExtra = {});
  /** A worker; it has registered itself in the platform's table service. */
  Child& StartWorker(const std::string& aName, const QStringList& aExtra = {});

  /** A side and its upstream. */
  void StartRunner(const std::string& aSide,
                   const std::string& aService = "once",
                   const QStringList& aExtra = {});

  /**
   * Puts other keys into a process's settings file, which must have some, and
   * waits until it has taken them.
   */
  void ReplaceKeys(const std::string& aName, const std::string& aKeys);

  /** The process of that name: entry1, side1, upstream-side1, platform. */
  Child& operator[](const std::string& aName);

  /** A platform, entries and runners of service "once", configured. */
  void StartUsual(std::size_t aEntries, std::size_t aRunners);

  /** The settings file of a process that was started. */
  std::string SettingsPath(const std::string& aName) const;

  /** The text of the tests' configuration with that version. */
  static std::string ConfigText(std::uint64_t aVersion);

  /** Configures version 1 through the entry and waits until all serve. */
  void Configure(const std::string& aEntry);

  /** Waits until the entry sees the side as usable or not. */
  void WaitForSide(const std::string& aEntry,
                   const std::string& aSide,
                   bool aUsable = true);

  /** Starts a call through the entry; its record's index. */
  std::size_t Send(const std::string& aEntry, const CallPlan& aPlan = {});
  const CallRecord& Call(std::size_t aIndex) const { return calls_[aIndex]; }
  const CallRecord& SendAndWait(const std::string& aEntry,
                                const CallPlan& aPlan = {});
  void WaitForCalls();

  /** One call of an operators' or platform's page, waited for. */
  cactusrail::Result<cactusrail::HttpReply> Ask(const std::string& aMethod,
                                                const std::string& aUrl,
                                                const std::string& aBody = {});
  cactusrail::Result<cactusrail::HttpReply> AskOperators(
    const std::string& aEntry,
    const std::string& aTarget);
  void SetFault(const std::string& aMode, const std::string& aCount = {});

  /** Creates the jobs, all at once, by turns through the entries. */
  void CreateJobs(const std::vector<std::string>& aEntries,
                  const std::vector<cactusrail::JobSpec>& aJobs);

  /** Waits until the job is over; asserts that all its tasks completed. */
  void WaitForJob(const std::string& aEntry, const std::string& aJob);

  /** Waits until the only cell has an owner; the owner's name. */
  std::string WaitForCellOwner(const std::string& aEntry);

  /** Waits until the child has printed so many lines with that start. */
  void WaitForLines(const std::string& aName,
                    const std::string& aPrefix,
                    std::size_t aCount);

  /** Lines "ran ..." of all upstreams, by mark or by request id. */
  std::map<std::string, std::size_t> Runs(bool aById = false) const;
  std::size_t RunsOf(const std::string& aMark) const;
  /** The mark ran at that upstream. */
  bool RanAt(const std::string& aUpstream, const std::string& aMark);
  /** The request id under which the mark ran, for calls without an answer. */
  std::string RanIdOf(const std::string& aMark) const;

  /** The steps that an entry explains a request with. */
  std::vector<cactusrail::RequestStep> Explain(const std::string& aEntry,
                                               const std::string& aRequestId);

  /** What those steps conclude. */
  static cactusrail::Verdict Conclude(
    const std::vector<cactusrail::RequestStep>& aSteps);

  /**
   * Ends a test: prints the counts and asserts that nothing ran twice that must
   * not, no "did not run" was false, no body was another's, and explain through
   * the entry contradicts none of it.
   */
  Tally Settle(const std::string& aTestName, const std::string& aEntry);

private:
  /** When the first process was signalled; the clock's zero if none was. */
  cactusrail::Instant FirstSignal() const;
  std::string WriteSettings(const std::string& aName, const std::string& aText);
  Child& Add(const std::string& aName,
             const std::string& aProgram,
             const QStringList& aArguments);

  int argumentCount_ = 1;
  std::string programName_ = "bench";
  char* arguments_ = programName_.data();
  QCoreApplication application_;
  QTemporaryDir folder_;
  cactusrail::HttpCaller caller_;
  std::map<std::string, std::unique_ptr<Child>> children_;
  /** Programs that were replaced; their output still counts. */
  std::vector<std::unique_ptr<Child>> former_;
  std::vector<CallRecord> calls_;
  std::size_t nextMark_ = 1;
};
