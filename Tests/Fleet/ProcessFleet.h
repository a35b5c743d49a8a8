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

/** A worker in this process, for the sides of a test. */
class WorkerClientFake
{
public:
  explicit WorkerClientFake(const SocketAddress& aAddress);
  void Send(const WorkerCall& aCall,
            std::function<void(const CallAnswer&)> aCallback);

  /** The worker at an address; made when it is first named. */
  static WorkerFake& At(const std::string& aAddress);

private:
  std::string address_;
};

/**
 * A platform of the test's own: callers say "POST /queue/ID" with the number of
 * tasks as the body, "GET /queue/ID", "DELETE /queue/ID"; workers say
 * "PUT /worker/ID".
 */
struct TestPlatform
{
  using Store = MemoryStore;
  using WorkerClient = WorkerClientFake;

  static RowId ConfigurationRow() { return { "configuration", {}, "now" }; }
  static Result<FleetConfiguration> DecodeConfiguration(
    const std::string& aDocument);
  static CallerCall DecodeCaller(const HttpExchange& aExchange,
                                 const FleetConfiguration* aConfiguration);
  static HttpAnswer EncodeReply(const CallerReply& aReply);
  static bool AsksReadiness(const HttpExchange&) { return true; }
  static Result<WorkerNotice> DecodeNotice(const HttpExchange& aExchange);
  static HttpAnswer AcknowledgeNotice() { return {}; }
};

using TestEntry = FleetEntry<TestPlatform>;
using TestSide = FleetSide<TestPlatform>;

/** Entries and sides in one process, on loopback addresses of their own. */
class ProcessFleet
{
public:
  ProcessFleet(std::size_t aEntries,
               std::size_t aSides,
               double aProcessors = 1);

  /** One more entry, on a host with so many processors. */
  void AddEntry(double aProcessors);
  /** The name of the entry that leads, by the table. */
  static std::string Leader();

  /** Lets the event loop turn until it holds; false after a minute. */
  bool Wait(const std::function<bool()>& aHolds);
  /** The status and body of a caller's request. */
  HttpReply Ask(std::size_t aEntry,
                const std::string& aMethod,
                const std::string& aPath,
                const std::string& aBody = {});
  /** Stops an entry as SIGTERM does, and waits until it has stopped. */
  void StopEntry(std::size_t aEntry);
  /** The same for a side. */
  void StopSide(std::size_t aSide);
  /** Starts a stopped side again, as its host does when it has power again. */
  void StartSide(std::size_t aSide);
  /** The side's worker says that it ends, and does. */
  void LeaveForGood(std::size_t aSide);
  WorkerFake& Worker(std::size_t aSide);
  std::string SideName(std::size_t aSide) const;
  std::string SideLinks(std::size_t aSide) const;
  bool Completes(std::size_t aEntry, const std::string& aJob);

private:
  void Announce();

  std::vector<FleetEntrySettings> entrySettings_;
  std::vector<FleetSideSettings> sideSettings_;
  std::vector<std::unique_ptr<TestEntry>> entries_;
  std::vector<std::unique_ptr<TestSide>> sides_;
  std::set<std::size_t> left_;
  HttpCaller caller_;
  QTimer announcer_;
};

}
