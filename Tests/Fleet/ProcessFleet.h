#pragma once

#include "Connection/HttpCaller.h"
#include "FleetWorld.h"
#include "MemoryStore.h"
#include "Process/FleetEntry.h"
#include "Process/FleetSide.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cactusrail {

/** Client of a worker in this process, for the sides of a test. */
class WorkerClientFake
{
public:
  explicit WorkerClientFake(const SocketAddress& aAddress);
  void Send(const WorkerCall& aCall,
            std::function<void(const CallAnswer&)> aCallback);

  /** Returns the worker at an address and creates it on first use. */
  static WorkerFake& At(const std::string& aAddress);

private:
  std::string address_;
  /** Drops the answers that are due after the end of the client. */
  QObject context_;
};

/**
 * Platform of the tests. Callers send "POST /queue/ID" with the number of tasks
 * as the body, or with "TASKS ESTIMATE-MS OBJECTIVE-MS", "GET /queue/ID" and
 * "DELETE /queue/ID". Workers announce themselves with "PUT /worker/ID" and
 * leave with "DELETE /worker/ID".
 */
struct TestPlatform
{
  using Store = MemoryStore;
  using WorkerClient = WorkerClientFake;

  static RowId ConfigurationRow() { return { "configuration", {}, "now" }; }
  static Result<FleetConfiguration> DecodeConfiguration(
    const std::string& aDocument);
  /** Rows "evacuate/NAME" evacuate the data centre NAME. */
  static std::optional<std::string> EvacuatedDataCentre(const RowId& aRow);
  static CallerCall DecodeCaller(const HttpExchange& aExchange,
                                 const FleetConfiguration* aConfiguration);
  static HttpAnswer EncodeReply(const CallerReply& aReply);
  static bool AsksReadiness(const HttpExchange&) { return true; }
  static Result<WorkerNotice> DecodeNotice(const HttpExchange& aExchange);
  static HttpAnswer AcknowledgeNotice() { return {}; }
};

using TestEntry = FleetEntry<TestPlatform>;
using TestSide = FleetSide<TestPlatform>;

/** Entries and sides in one process, each on its own loopback address. */
class ProcessFleet
{
public:
  ProcessFleet(std::size_t aEntries,
               std::size_t aSides,
               double aProcessors = 1,
               const FleetFeatures& aFeatures = FleetFeatures(),
               Millis aKeepFinished = FleetBounds().keepFinished_);

  /** Starts one more entry, on a host with aProcessors processors. */
  void AddEntry(double aProcessors);
  /** Returns the name of the leading entry according to the table. */
  static std::string Leader();

  /** Runs the event loop until aCondition() returns true; returns false after a
   * minute. */
  bool Wait(const std::function<bool()>& aCondition);
  /** Sends a caller's request and returns its status and body. */
  HttpReply Ask(std::size_t aEntry,
                const std::string& aMethod,
                const std::string& aPath,
                const std::string& aBody = {});
  /** Ends an entry without a planned stop, as SIGKILL does. */
  void KillEntry(std::size_t aEntry);
  /** Stops an entry as SIGTERM does and waits until it has stopped. */
  void StopEntry(std::size_t aEntry);
  /** Stops a side and waits until it has stopped. */
  void StopSide(std::size_t aSide);
  /** Restarts a stopped side, as its host does after a power failure. */
  void StartSide(std::size_t aSide);
  /** Makes the side's worker leave and exit, and waits until the side has
   * handled that. */
  void LeavePermanently(std::size_t aSide);
  /** Makes the side's worker announce itself, or not. */
  void SetAnnounces(std::size_t aSide, bool aAnnounces);
  WorkerFake& Worker(std::size_t aSide);
  std::string SideName(std::size_t aSide) const;
  std::string SideLinks(std::size_t aSide) const;
  /** Stores or removes the operator's order to evacuate the data centre of a
   * side. */
  void Evacuate(std::size_t aSide, bool aEvacuated);
  bool Completes(std::size_t aEntry, const std::string& aJob);

private:
  void Announce();

  FleetFeatures features_;
  /** See FleetBounds::keepFinished_. */
  Millis keepFinished_;
  std::vector<FleetEntrySettings> entrySettings_;
  std::vector<FleetSideSettings> sideSettings_;
  std::vector<std::unique_ptr<TestEntry>> entries_;
  std::vector<std::unique_ptr<TestSide>> sides_;
  /** Workers that do not announce themselves. */
  std::set<std::size_t> silent_;
  HttpCaller caller_;
  QTimer announcer_;
};

}
