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

/** Returns a time of the virtual clock. */
Instant
At(std::int64_t aMillis);

/**
 * Simulated worker that follows the rules of the users' platform: leases on its
 * own clock, fences, run numbers, ends that it lists until they are
 * acknowledged, and stops that take time. A run that is being stopped is listed
 * neither as running nor as ended.
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
    /** A member of a gang that does not end before the others. */
    bool waitsForGang_ = false;
    /** Percentage of its full speed at which the run works. */
    std::uint32_t pace_ = 100;
  };

  /** An accepted start, or the acknowledgement of a done end. */
  struct Record
  {
    std::string task_;
    bool acknowledged_ = false;
    /** A start by a late call that was meant for an earlier incarnation, before
     * this one has received a higher fence. No side can prevent it. */
    bool late_ = false;
  };

  explicit WorkerFake(std::string aId)
    : id_(std::move(aId))
  {
  }

  /** Executes a call; aAnswered is false if its answer is lost. */
  CallAnswer Take(const WorkerCall& aCall, Instant aNow, bool aAnswered = true);
  /** Ends the runs that are due. */
  void Advance(Instant aNow);
  /** Makes a run of the task fail. */
  void FailRun(const std::string& aTask);
  /** Simulates a crash: the worker restarts with a new identity and no runs. */
  void Crash(std::string aNewId);
  /** Pace of the run of a task; 100 if there is none. */
  std::uint32_t PaceOf(const std::string& aTask) const;
  /** Tail latency of the long-running tasks, in ms. */
  std::uint32_t Latency() const;
  /** Simulates a crash after which the worker restarts under its id: without
   * runs, ends and fence, with a new start time and a new clock. */
  void Restart(Instant aNow, std::uint64_t aHighestFenceSent);
  /** Returns the worker's clock in ms. */
  std::int64_t ClockMs(Instant aNow) const;
  /** Number of current runs of a task, including those being stopped. */
  std::size_t RunsOf(const std::string& aTask) const;
  /** Whether runs of the task end as failed. */
  bool Fails(const std::string& aTask) const;
  /** Whether the run neither stops nor fails, and its lease has not expired. */
  bool IsHealthy(const Run& aRun, Instant aNow) const;

  std::string id_;
  /** 0 for a worker of the earlier protocol. */
  std::int64_t startedAtMs_ = 0;
  Millis taskTime_{ 1000 };
  /**
   * Prefixes of the names of long-running tasks, which run until they are
   * stopped.
   */
  std::set<std::string> lasting_;
  /** Prefixes of the names of tasks whose runs fail. */
  std::set<std::string> failing_;
  Millis stopTime_{ 500 };
  bool failsRuns_ = false;
  /** The process has ended: its port refuses connections. */
  bool gone_ = false;
  /** The port accepts calls and closes them without an answer or an effect. */
  bool mute_ = false;
  /** Pace calls are executed, but their answers are lost. */
  bool losesPaceAnswers_ = false;
  std::size_t paceCalls_ = 0;
  /** Tail latency of long-running tasks without other tasks, and the increase
   * by each other task at full speed, in ms. */
  std::uint32_t latencyMs_ = 0;
  std::uint32_t harmMs_ = 0;
  std::vector<Run> runs_;
  std::deque<RunEndReport> ends_;
  std::uint64_t fence_ = 0;
  std::uint64_t acknowledged_ = 0;
  /** Accepted starts, as "task/run". */
  std::vector<std::string> started_;
  /** Time of each accepted start. */
  std::vector<Instant> startedAt_;
  /** Starts and acknowledgements, in order, since FleetWorld last read them. */
  std::vector<Record> records_;
  /** Number of received calls, answered or not. */
  std::size_t calls_ = 0;
  /** Number of ends that were acknowledged before an answer listed them. */
  std::size_t unseenEnds_ = 0;

private:
  CallAnswer Start(const StartCall& aCall, Instant aNow, bool aAnswered);
  CallAnswer Stop(const StopCall& aCall, Instant aNow);
  CallAnswer Hold(const HoldCall& aCall, Instant aNow, bool aAnswered);
  CallAnswer Pace(const PaceCall& aCall, Instant aNow);
  void Forget();
  Instant LeaseEnd(std::int64_t aUntilMs, Instant aNow) const;
  bool IsLongRunning(const std::string& aTask) const;
  void End(const Run& aRun, EndKind aKind);

  Instant leaseUntil_;
  Instant advancedAt_;
  /** Zero of the worker's clock. */
  Instant clockZero_;
  std::uint64_t nextEnd_ = 1;
  /** Highest fence of the calls that were sent to earlier incarnations. */
  std::uint64_t formerFence_ = 0;
  /** Number of the last end that an answer has listed. */
  std::uint64_t listedEnds_ = 0;
  std::map<std::string, std::uint32_t> highestEnded_;
};

/** Call that has no answer and is executed late. */
struct LateCall
{
  Instant executedAt_;
  WorkerCall call_;
};

/** Simulated host: a side with its worker. */
struct HostFake
{
  std::string node_;
  std::unique_ptr<WorkerKeeper> keeper_ = {};
  WorkerFake worker_;
  FleetResources room_;
  std::string rack_;
  std::string dataCentre_ = {};
  std::vector<std::string> labels_ = {};
  bool linked_ = false;
  bool cut_ = false;
  /** Whether the former leader cannot reach the host. */
  bool cutFromFormer_ = false;
  /** Whether the link is to the former leader. */
  bool linkedToFormer_ = false;
  /** Whether the side's row is in the table. */
  bool registered_ = true;
  /** Lowest epoch of leaders that the side accepts. */
  std::uint64_t acceptsFrom_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t sideIncarnation_ = 1;
  /** Number of the current link. Messages of earlier links are lost. */
  std::uint64_t link_ = 0;
  /** Whether the leader has received a report on the link. */
  bool up_ = false;
  /** One call in this many has no answer and is executed late; 0 for none. */
  std::size_t lateCallInterval_ = 0;
  Millis lateness_{ 0 };
  std::size_t calls_ = 0;
  std::uint64_t highestFenceSent_ = 0;
  std::deque<LateCall> lateCalls_ = {};
  /** Time of the first announcement after a restart of the worker. */
  Instant announcesAt_ = {};
  ReportEncoder encoder_ = {};
  ReportDecoder decoder_ = {};
};

/** A replaced leader that sends orders until its lease ends. */
struct FormerLeaderFake
{
  std::uint64_t epoch_ = 0;
  std::unique_ptr<FleetScheduler> scheduler_ = {};
  Instant leaseEnd_ = {};
  /** The leader is suspended until then. */
  Instant continuesAt_ = {};
  /** Pause after each step of a slow leader. */
  Millis pause_{ 0 };
  bool cutFromStore_ = false;
};

/**
 * A leader's scheduler and hosts on one virtual clock, with messages that take
 * no time by default. The store can be unavailable; changes are not stored
 * then. Its writes take no time by default.
 */
class FleetWorld
{
public:
  explicit FleetWorld(std::size_t aHosts,
                      FleetResources aRoom = { 16000, 64000, 0 },
                      const FleetBounds& aBounds = FleetBounds());

  /** Advances the time in steps of 10 ms. */
  void Run(Millis aFor);
  void Submit(const JobDescription& aJob);
  void Cancel(const std::string& aJob);
  /** Stores or removes the operator's order to evacuate a data centre. */
  void Evacuate(const std::string& aDataCentre, bool aEvacuated);
  /** Replaces the leader by a new one at once. */
  void ChangeLeader();
  /** Replaces the leader by a new one at once, and lets the former one send
   * orders for aLeaseLeft. */
  void TakeOver(Millis aLeaseLeft);
  /** The leader replaced by TakeOver(); nullptr after the end of its lease. */
  FormerLeaderFake* Former() { return former_ ? &*former_ : nullptr; }
  /** Removes or writes the row of a side, which is alive. */
  void Deregister(std::size_t aHost);
  void Register(std::size_t aHost);
  /** Cuts or restores the connection between the former leader and the host. */
  void CutFromFormer(std::size_t aHost, bool aCut);
  /** Removes the leader until ChangeLeader() starts a new one. */
  void LoseLeader();
  /** Suspends the leader. Until it continues, messages to it and orders in
   * flight wait, and its links stay up. */
  void SuspendLeader(Millis aFor);
  /** Kills the process of the side and restarts it. */
  void RestartSide(std::size_t aHost);
  /** Restarts the worker under its id; it announces itself after aDelay. */
  void RestartWorker(std::size_t aHost, Millis aDelay);
  /** Cuts or restores the connection between the leader and the host. */
  void Cut(std::size_t aHost, bool aCut);
  /** Drops the link with all messages in flight; a new link follows at once. */
  void Relink(std::size_t aHost);

  FleetScheduler& Scheduler() { return *scheduler_; }
  HostFake& Host(std::size_t aHost) { return hosts_.at(aHost); }
  Instant Now() const { return now_; }
  /** Wall-clock time in ms since 1970. */
  std::int64_t WallMs() const;
  JobState StateOf(const std::string& aJob);
  /** Largest number of simultaneous runs of one task so far. */
  std::size_t MaxConcurrentRuns() const { return maxConcurrentRuns_; }
  /** Whether a worker ever exceeded its capacity. */
  bool EverOverCapacity() const { return capacityExceeded_; }
  /**
   * Number of starts of a task after a done end of it was acknowledged.
   * Long-running tasks, those that allow copies and Record::late_ do not count.
   */
  std::size_t StartsAfterAcknowledgedEnd() const
  {
    return startsAfterAcknowledgedEnd_;
  }
  /** Tasks of StartsAfterAcknowledgedEnd(), for the messages of tests. */
  const std::string& StartedAfterAcknowledgedEnd() const
  {
    return startedAfterAcknowledgedEnd_;
  }
  /** Number of ends that were acknowledged before an answer listed them. */
  std::size_t EndsAcknowledgedUnseen() const;
  std::size_t Starts(const std::string& aTask) const;
  /** Details of all log events of that name, empty if there are none. */
  std::string EventDetails(std::string_view aEvent) const;
  /** Number of log events of that name. */
  std::size_t EventCount(std::string_view aEvent) const;
  /** Number of losses of a leader that held back the end of a run. */
  std::size_t LeadersLostWithWaitingEnd() const
  {
    return leadersLostWithWaitingEnd_;
  }
  /** Time of the last start of a task on any worker; none if there was none. */
  std::optional<Instant> LastStart(const std::string& aTask) const;

  /** Error of the leader's wall clock. */
  Millis clockOffset_{ 0 };
  /** Time that a write to the store takes. */
  Millis storeLatency_{ 0 };
  bool storeUnavailable_ = false;
  /** Whether the write in flight is applied when its leader is lost. */
  bool lostWriteIsApplied_ = false;
  /** The members of a gang that are all running end at the same time. */
  bool gangsEndTogether_ = false;
  /** The members of an incomplete gang run until they are stopped. */
  bool incompleteGangsWait_ = false;
  /** Sides read the lease after they have written their row, and accept no
   * lower epoch. */
  bool sidesReadLease_ = true;
  /** Delay after which the leader sees a cancellation or an evacuation in the
   * table. */
  Millis leaderLag_{ 0 };
  /** Delay after which the leader sees a job in the table; the former leader is
   * notified of it at once. */
  Millis jobLag_{ 0 };
  /** Delivery time of orders to their side. */
  Millis orderDelay_{ 0 };
  /** Delivery time of reports to the leader. */
  Millis reportDelay_{ 0 };
  /** Number of reports that reached the leader out of sequence. */
  std::size_t reportsOutOfSequence_ = 0;

private:
  /** Orders in flight. */
  struct SentOrders
  {
    Instant arrivesAt_;
    std::uint64_t link_ = 0;
    SideOrders orders_;
  };

  /** Report in flight. */
  struct SentReport
  {
    Instant arrivesAt_;
    std::size_t host_ = 0;
    std::uint64_t link_ = 0;
    WireMessage message_;
  };

  void Step();
  void ChooseLink(HostFake& aHost);
  void StepFormer();
  void DeliverJobs();
  bool FormerReaches(const HostFake& aHost) const;
  FleetScheduler& SchedulerOf(const HostFake& aHost);
  void Send(std::vector<SideOrders> aOrders);
  void StepHost(HostFake& aHost);
  void StepLeader();
  void DeliverCancellations();
  void DeliverEvacuations();
  void DeliverOrders();
  void DeliverReports();
  void LoseLink(HostFake& aHost);
  WorkerKeeper::Settings KeeperSettings(std::uint64_t aFence) const;
  void Announce(HostFake& aHost);
  void Deliver(HostFake& aHost, const WorkerCall& aCall);
  void DeliverLateCalls(HostFake& aHost);
  void Check();
  void CheckStarts(WorkerFake& aWorker);
  void AlignGangs();
  void Apply(const ProgressBatch& aBatch);
  void LoseWrite();
  void StartLeader(std::uint64_t aEpoch);

  Instant now_;
  FleetBounds bounds_;
  std::uint64_t epoch_ = 1;
  std::unique_ptr<FleetScheduler> scheduler_;
  std::optional<FormerLeaderFake> former_;
  std::vector<HostFake> hosts_;
  /** Jobs that the leader has not seen, with the times at which they were
   * stored. */
  std::deque<std::pair<Instant, std::string>> unseenJobs_;
  std::map<std::string, JobDescription> jobs_;
  std::map<std::string, JobProgress> progress_;
  /** Cancellations with the times at which they were stored. */
  std::vector<std::pair<Instant, std::string>> cancelled_;
  /** Number of cancellations that the leader has received. */
  std::size_t deliveredCancels_ = 0;
  std::set<std::string, std::less<>> evacuated_;
  /** Evacuated data centres after each change, with the time of the change. */
  std::vector<std::pair<Instant, std::set<std::string, std::less<>>>>
    evacuations_;
  /** Number of changes of evacuations_ that the leader has received. */
  std::size_t deliveredEvacuations_ = 0;
  std::deque<SentOrders> sentOrders_;
  std::deque<SentReport> sentReports_;
  std::vector<FleetEvent> events_;
  bool leaderLost_ = false;
  bool capacityExceeded_ = false;
  /** End of SuspendLeader(); in the past unless the leader is suspended. */
  Instant leaderContinuesAt_;
  std::optional<ProgressBatch> writing_;
  /** Time at which the store has applied writing_. */
  Instant writtenAt_;
  std::size_t maxConcurrentRuns_ = 0;
  /** Tasks of which a done end was acknowledged. */
  std::set<std::string> acknowledgedDone_;
  std::size_t startsAfterAcknowledgedEnd_ = 0;
  std::string startedAfterAcknowledgedEnd_;
  /** Tasks with an end that waits until the final state of its job is stored.
   */
  std::set<std::string> waitingEnds_;
  std::size_t leadersLostWithWaitingEnd_ = 0;
};

/** Start of the wall clock, in ms since 1970. */
constexpr std::int64_t kWallMs = 1700000000000;

/** First report of the side of an idle worker with 16 processors. */
FleetReport
IdleReport(Instant aNow);

/** Returns a job of one step. */
JobDescription
MakeJob(const std::string& aId, std::uint32_t aTasks, std::int64_t aCpuMilli);

}
