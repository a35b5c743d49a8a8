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

/** Parameters of a test caller's request. */
struct CallPlan
{
  /** Service "once" runs at most once, "again" is idempotent. */
  std::string service_ = "once";
  std::string method_ = "POST";
  /** Selects the upstream's behaviour, such as "work=50" or "fail=close". */
  std::string query_ = {};
  std::string idempotencyKey_ = {};
  /** Identifies the call; a retry repeats it. Empty for a generated one. */
  std::string mark_ = {};
  std::string body_ = "lot";
};

/**
 * Manages the processes of one test: a platform, entries, sides, upstreams and
 * workers, all on loopback with ports assigned by the kernel. Callers run in
 * the process of the test.
 */
class Bench
{
public:
  Bench();
  ~Bench();

  Child& StartPlatform();
  /** aMembership is the membership address, for a replacement the old one. */
  Child& StartEntry(const std::string& aName,
                    const std::string& aExtra = {},
                    const std::string& aMembership = "127.0.0.1:0");
  /** aEntries holds further membership addresses to send heartbeats to. */
  Child& StartSide(const std::string& aName,
                   const std::string& aExtra = {},
                   const std::string& aEntries = {});
  /** Restarts a side on its addresses, as after a restart of its host. */
  Child& RestartSide(const std::string& aName);
  /** Starts an upstream; a side of that name must be running. */
  Child& StartUpstream(const std::string& aSide,
                       const std::string& aService = "once",
                       const QStringList& aExtra = {});
  /** Starts a worker that registers itself in the platform's table service. */
  Child& StartWorker(const std::string& aName, const QStringList& aExtra = {});

  /** Starts a side and its upstream. */
  void StartRunner(const std::string& aSide,
                   const std::string& aService = "once",
                   const QStringList& aExtra = {});

  /**
   * Replaces the keys in a process's settings file, which must have some, and
   * waits until the process has applied them.
   */
  void ReplaceKeys(const std::string& aName, const std::string& aKeys);

  /** Returns a process by name: entry1, side1, upstream-side1, platform. */
  Child& operator[](const std::string& aName);

  /** Starts a platform, entries and runners of "once", and configures them. */
  void StartUsual(std::size_t aEntries, std::size_t aRunners);

  /** Returns the path of a started process's settings file. */
  std::string SettingsPath(const std::string& aName) const;

  /** Returns the text of the tests' configuration with that version. */
  static std::string ConfigText(std::uint64_t aVersion);

  /** Configures version 1 through the entry and waits until all serve it. */
  void Configure(const std::string& aEntry);

  /** Waits until the entry reports the side as usable or as unusable. */
  void WaitForSide(const std::string& aEntry,
                   const std::string& aSide,
                   bool aUsable = true);

  /** Starts a call through the entry; returns the index of its record. */
  std::size_t Send(const std::string& aEntry, const CallPlan& aPlan = {});
  const CallRecord& Call(std::size_t aIndex) const { return calls_[aIndex]; }
  const CallRecord& SendAndWait(const std::string& aEntry,
                                const CallPlan& aPlan = {});
  void WaitForCalls();

  /** Calls an operators' or platform's page and waits for the reply. */
  cactusrail::Result<cactusrail::HttpReply> Ask(const std::string& aMethod,
                                                const std::string& aUrl,
                                                const std::string& aBody = {});
  cactusrail::Result<cactusrail::HttpReply> AskOperators(
    const std::string& aEntry,
    const std::string& aTarget);
  void SetFault(const std::string& aMode, const std::string& aCount = {});

  /** Creates all jobs concurrently, round-robin over the entries. */
  void CreateJobs(const std::vector<std::string>& aEntries,
                  const std::vector<cactusrail::JobSpec>& aJobs);

  /** Waits until the job has ended; asserts that all its tasks completed. */
  void WaitForJob(const std::string& aEntry, const std::string& aJob);

  /** Waits until the only cell has an owner; returns the owner's name. */
  std::string WaitForCellOwner(const std::string& aEntry);

  /** Waits until the child has printed aCount lines with that prefix. */
  void WaitForLines(const std::string& aName,
                    const std::string& aPrefix,
                    std::size_t aCount);

  /** Counts the lines "ran ..." of all upstreams by mark or by request id. */
  std::map<std::string, std::size_t> Runs(bool aById = false) const;
  std::size_t RunsOf(const std::string& aMark) const;
  /** Returns whether the request with that mark ran at the upstream. */
  bool RanAt(const std::string& aUpstream, const std::string& aMark);
  /** Returns the request id of a mark that ran, for calls without an answer. */
  std::string RanIdOf(const std::string& aMark) const;

  /** Returns the steps of a request as the entry reports them. */
  std::vector<cactusrail::RequestStep> Explain(const std::string& aEntry,
                                               const std::string& aRequestId);

  /** Returns the verdict that follows from the steps. */
  static cactusrail::Verdict Conclude(
    const std::vector<cactusrail::RequestStep>& aSteps);

  /**
   * Ends a test: prints the counts and asserts that no at-most-once request ran
   * twice, no "did not run" was false, no body belonged to another request, and
   * the entry's explanations don't contradict the runs.
   */
  Tally VerifyOutcomes(const std::string& aTestName, const std::string& aEntry);

private:
  /** Returns the time of the first signal, or the clock's zero if none. */
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
  /** Replaced processes; their output is still evaluated. */
  std::vector<std::unique_ptr<Child>> replaced_;
  std::vector<CallRecord> calls_;
  std::size_t nextMark_ = 1;
};
