#pragma once

#include "Connection/ReportDecoder.h"
#include "Connection/ReportEncoder.h"
#include "Process/FleetScheduler.h"
#include "Process/WorkerKeeper.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cactusrail {

/** A time of the virtual clock. */
Instant
At(std::int64_t aMillis);

/**
 * A worker that keeps to the rules of the users' platform: leases on its own
 * clock, fences, run numbers, ends that it lists until they are acknowledged,
 * stops that take time and meanwhile show nowhere.
 */
class WorkerFake
{
public:
  struct Run
  {
    std::string task_;
    std::uint32_t run_ = 0;
    std::string checkpoint_;
    Instant endsAt_;
    std::optional<Instant> stopsAt_;
  };

  explicit WorkerFake(std::string aId)
    : id_(std::move(aId))
  {
  }

  CallAnswer Take(const WorkerCall& aCall, Instant aNow);
  /** Ends what is due. */
  void Advance(Instant aNow);
  /** A run of the task fails now, by its own fault. */
  void Fail(const std::string& aTask);
  /** A crash: nothing is left, and a new life begins. */
  void Crash(std::string aNewId);
  /** How many runs of a task go on now, those being stopped included. */
  std::size_t RunsOf(const std::string& aTask) const;

  std::string id_;
  Millis taskTime_{ 1000 };
  /** Tasks whose name begins so last: they are at work until they are stopped.
   */
  std::set<std::string> lasting_;
  Millis stopTime_{ 500 };
  bool fails_ = false;
  /** Its process has ended: its port refuses. */
  bool gone_ = false;
  /** Its port takes calls and closes them without an answer; nothing is done.
   */
  bool mute_ = false;
  std::vector<Run> runs_;
  std::deque<EndFact> ends_;
  std::uint64_t fence_ = 0;
  std::uint64_t acknowledged_ = 0;
  /** Starts that were taken, as "task/run". */
  std::vector<std::string> started_;
  /** When each of them was taken. */
  std::vector<Instant> startedAt_;
  /** Calls that it was sent, answered or not. */
  std::size_t calls_ = 0;

private:
  CallAnswer Start(const StartCall& aCall, Instant aNow);
  CallAnswer Stop(const StopCall& aCall, Instant aNow);
  CallAnswer Hold(const HoldCall& aCall, Instant aNow);
  bool Lasts(const std::string& aTask) const;
  void End(const Run& aRun, EndKind aKind);

  Instant leaseUntil_;
  std::uint64_t nextEnd_ = 1;
  std::map<std::string, std::uint32_t> highestEnded_;
};

/** A side with its worker, as they run on one host. */
struct HostFake
{
  std::string node_;
  std::unique_ptr<WorkerKeeper> keeper_ = {};
  WorkerFake worker_;
  FleetRoom room_;
  std::string rack_;
  std::vector<std::string> labels_ = {};
  bool linked_ = false;
  bool cut_ = false;
  std::uint64_t sequence_ = 0;
  /** Rises with each link; messages of links before are lost. */
  std::uint64_t link_ = 0;
  /** The leader has had a report on it. */
  bool up_ = false;
  ReportEncoder encoder_ = {};
  ReportDecoder decoder_ = {};
};

/**
 * A leading scheduler and hosts on one virtual clock, with messages that take
 * no time. A store that can be away: changes are then not stored.
 */
class FleetWorld
{
public:
  explicit FleetWorld(std::size_t aHosts,
                      FleetRoom aRoom = { 16000, 64000, 0 });

  /** Lets time pass in steps of 10 ms. */
  void Run(Millis aFor);
  void Submit(const JobDescription& aJob);
  void Cancel(const std::string& aJob);
  /** The leader dies and another one takes over at once. */
  void ChangeLeader();
  /** The leader's host is gone; ChangeLeader() makes another one lead. */
  void LoseLeader();
  /** The side's process dies and starts again. */
  void RestartSide(std::size_t aHost);
  /** A cut between the leader and the host. */
  void Cut(std::size_t aHost, bool aCut);
  /** The link is lost with all that is on its way, and made anew at once. */
  void Relink(std::size_t aHost);

  FleetScheduler& Scheduler() { return *scheduler_; }
  HostFake& Host(std::size_t aHost) { return hosts_.at(aHost); }
  Instant Now() const { return now_; }
  /** The wall clock, in ms since 1970. */
  std::int64_t WallMs() const;
  JobState StateOf(const std::string& aJob);
  /** Most runs of one task that ever went on at the same time. */
  std::size_t MostRunsAtOnce() const { return mostAtOnce_; }
  /** A worker held more than its room at some time. */
  bool EverOverRoom() const { return overRoom_; }
  std::size_t Starts(const std::string& aTask) const;
  /** What leaders said of an event in their logs; empty if they never did. */
  std::string Said(std::string_view aEvent) const;
  /** When a task was last started anywhere; none if it never was. */
  std::optional<Instant> LastStart(const std::string& aTask) const;

  bool storeAway_ = false;
  /** What the table holds reaches the leader so much later. */
  Millis leaderLag_{ 0 };
  /** Orders take so long to their side. */
  Millis orderDelay_{ 0 };
  /** Reports take so long to the leader. */
  Millis reportDelay_{ 0 };
  /** So many reports reached the leader but did not follow the last one. */
  std::size_t reportsRefused_ = 0;

private:
  /** Orders on their way. */
  struct SentOrders
  {
    Instant arrivesAt_;
    std::uint64_t link_ = 0;
    SideOrders orders_;
  };

  /** A report on its way. */
  struct SentReport
  {
    Instant arrivesAt_;
    std::size_t host_ = 0;
    std::uint64_t link_ = 0;
    WireMessage message_;
  };

  void Step();
  void StepHost(HostFake& aHost);
  void StepLeader();
  void TellCancellations();
  void DeliverOrders();
  void DeliverReports();
  void LoseLink(HostFake& aHost);
  void Announce(HostFake& aHost);
  void Check();
  void StartLeader(std::uint64_t aEpoch);

  Instant now_;
  std::uint64_t epoch_ = 1;
  std::unique_ptr<FleetScheduler> scheduler_;
  std::vector<HostFake> hosts_;
  std::map<std::string, JobDescription> jobs_;
  std::map<std::string, JobProgress> progress_;
  /** Cancellations and when they were stored. */
  std::vector<std::pair<Instant, std::string>> cancelled_;
  /** So many of them the leader has been told. */
  std::size_t cancelsTold_ = 0;
  std::deque<SentOrders> sentOrders_;
  std::deque<SentReport> sentReports_;
  std::vector<FleetEvent> events_;
  bool leaderGone_ = false;
  std::optional<ProgressBatch> writing_;
  std::size_t mostAtOnce_ = 0;
  bool overRoom_ = false;
};

/** The wall clock's start, in ms since 1970. */
constexpr std::int64_t kWallMs = 1700000000000;

/** What the side of an idle worker of 16 processors reports first. */
FleetReport
IdleReport(Instant aNow);

/** A job of one step. */
JobDescription
MakeJob(const std::string& aId, std::uint32_t aTasks, std::int64_t aCpuMilli);

}
