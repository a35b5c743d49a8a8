#pragma once

#include "Connection/FleetMessages.h"
#include "Load/FeatureSwitch.h"
#include "Load/LocalPacing.h"
#include "Process/FleetTimings.h"
#include "Version/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cactusrail {

/** Fields that all calls to a worker have in common. */
struct CallHeader
{
  std::uint64_t id_ = 0;
  /** Incarnation of the worker to which the call applies; any other incarnation
   * refuses it. */
  std::string workerId_;
  /** Increases with each incarnation of the side; the worker accepts only calls
   * with the highest fence that it has received. */
  std::uint64_t fence_ = 0;
  /** Time at which the call is abandoned. */
  Instant deadline_;
};

/** Starts a run whose lease ends at leaseUntilMs_ of the worker's clock. */
struct StartCall
{
  CallHeader head_;
  StartOrder order_;
  std::int64_t leaseUntilMs_ = 0;
};

struct StopCall
{
  CallHeader head_;
  StopOrder order_;
};

struct PaceCall
{
  CallHeader head_;
  PaceOrder order_;
};

/** Extends the leases of all runs and requests the lists of runs and ends;
 * "hold" is the name of this call in the platform's API. */
struct HoldCall
{
  CallHeader head_;
  /** New end of the leases, in ms of the worker's clock; std::nullopt requests
   * the lists only. */
  std::optional<std::int64_t> leaseUntilMs_;
  /** Number of the last stored end; the worker may drop ends up to it. */
  std::uint64_t endsStored_ = 0;
  /** Maximum time that the worker waits for an end before it answers. */
  Millis wait_{ 0 };
};

using WorkerCall = std::variant<StartCall, StopCall, PaceCall, HoldCall>;

/** Result of a call to a worker. */
enum class CallOutcome : std::uint8_t
{
  Accepted,
  /** Refused, because the worker has received a higher fence. */
  Fenced,
  /** Refused, because this run or a later run of its task has ended. */
  Old,
  /** Refused, because the requested lease has already expired. */
  LeaseExpired,
  /** Refused, because the worker lacks the resources. */
  NoRoom,
  /** Refused, because the advice ticket is not valid. */
  Ticket,
  /** Refused without an effect, for example because of overload. The worker's
   * process is alive. */
  NotDone,
  /** The connection was refused: no process listens on the worker's port. */
  PortRefused,
  /** Refused by another incarnation of the worker. */
  WrongIncarnation,
  /** No answer; the worker may have executed the call or may execute it seconds
   * later. */
  UnknownOutcome,
};

/** Answer of a worker to a call of any type. */
struct CallAnswer
{
  CallOutcome outcome_ = CallOutcome::UnknownOutcome;
  /** Clock of the worker at the time of the answer; std::nullopt without an
   * answer. */
  std::optional<std::int64_t> clockMs_;
  /** Start time of the answering process, see WorkerDescription::startedAtMs_;
   * 0 if the answer contains none. */
  std::int64_t startedAtMs_ = 0;
  /** Answer to a hold: current runs, and ends that the worker still lists. */
  std::vector<RunStatus> runs_;
  std::vector<RunEndReport> ends_;
  /** The list of ends was truncated; later answers contain the rest. */
  bool endsTruncated_ = false;
};

/** Announcement of a worker, with the reading of its clock. */
struct WorkerAnnouncement
{
  WorkerDescription facts_;
  std::int64_t clockMs_ = 0;
  /** Increases with each announcement of one incarnation. */
  std::uint64_t sequence_ = 0;
};

/** What the side did with an announcement. */
enum class AnnouncementOutcome : std::uint8_t
{
  /** It describes the worker in use, or an incarnation to probe. */
  Accepted,
  /** It is from a past incarnation or late, and changed nothing. */
  Ignored,
  /** It cannot be from the worker of this host, and changed nothing. */
  Invalid,
};

/**
 * Manages one worker on behalf of the leading entry: executes the orders of the
 * leader, renews the leases of the runs, and reports the state of the worker.
 *
 * Performs no I/O and reads no clock: the caller passes in events and times,
 * and sends the returned calls and reports. Owned by the side's process.
 *
 * Invariants:
 * - Leases are extended only within the authority that the last orders of the
 *   leader granted, measured on the clock of this side. Without a leader they
 *   expire, so that a new leader can start the work elsewhere.
 * - A start without an answer is repeated under the same run number, which the
 *   worker accepts only once. The start keeps its resources reserved until it
 *   is answered or stopped.
 * - Each incarnation of the side uses a higher fence. Calls of an earlier
 *   incarnation that the worker executes late have no effect once the worker
 *   has received a call of this incarnation.
 * - Nothing is reported before the worker has answered once in this
 *   incarnation.
 * - A restart of the worker under its id raises the fence. Calls that were sent
 *   to the former incarnation and arrive late are refused before anything of
 *   the new one is reported.
 * - A start that the worker has not accepted before its order expires is
 *   refused, because its job may have been cancelled in the meantime.
 * - A run works at the leader's pace, or at the lower cap of LocalPacing if the
 *   leader has named the run as backfill. A run that was found on the worker
 *   keeps its pace until the leader orders one.
 */
class WorkerKeeper
{
public:
  struct Settings
  {
    /** Maximum lease that a worker grants. */
    Millis maxLease_{ 10000 };
    /** Maximum duration of a stop. Until it has passed, the run keeps its
     * resources reserved, even if the worker lists it neither as running nor as
     * ended. */
    Millis stopTimeout_{ 1000 };
    /** Initial fence. */
    std::uint64_t fence_ = 1;
    /** Whether backfill is throttled while the leader is absent. Auto follows
     * the protocol of this side's worker. */
    FeatureSwitch localPacing_ = FeatureSwitch::Off;
  };

  WorkerKeeper(const Settings& aSettings, Instant aNow);

  // Events.
  AnnouncementOutcome OnAnnounced(const WorkerAnnouncement& aAnnouncement,
                                  Instant aNow);
  /** Handles the message of a worker that it is about to exit. Returns false if
   * the message is not from the worker in use or a candidate. */
  bool OnWorkerLeft(const std::string& aWorkerId,
                    Instant aNow,
                    std::int64_t aStartedAtMs = 0);
  void OnLeaderLink(Instant aNow);
  void OnLeaderLinkLost() { pacing_.OnLinkLost(); }
  /** Returns false if the orders come from a former leader, whose link must be
   * closed. */
  bool OnOrders(const FleetOrders& aOrders, Instant aNow);
  /** Handles the answer to the call with id aCall; an answer to a call that is
   * no longer in flight is ignored. */
  void OnAnswer(std::uint64_t aCall, const CallAnswer& aAnswer, Instant aNow);
  /** Handles a suspension of the host for aGap, as measured by the clock that
   * includes suspended time. */
  void OnSuspended(Millis aGap);
  /** Starts a planned stop: extends the leases as far as allowed and sends no
   * more reports. */
  void OnStopping(Instant aNow);

  // Actions.
  /** Returns the calls to the worker that are due. */
  std::vector<WorkerCall> TakeCalls(Instant aNow);
  /** Returns the report to the leader, if one is due. */
  std::optional<FleetReport> TakeReport(Instant aNow);

  /** Returns whether the last lease extension before a stop has completed or is
   * not needed. */
  bool ReadyToStop() const { return stopHoldDone_; }
  std::uint64_t Epoch() const { return epoch_; }
  Instant LastOrders() const { return lastOrders_; }
  const std::string& WorkerId() const { return facts_.id_; }
  /** Returns the incarnation in use; its id is empty if there is none. */
  WorkerIncarnation Incarnation() const { return facts_.Incarnation(); }
  std::size_t RunCount() const { return runs_.size(); }
  /** Returns whether the host is known to have neither a worker nor runs. A
   * side that has just started does not know its worker yet. */
  bool HasNoWorker(Instant aNow) const
  {
    return !RunsAreUnknown(aNow) && facts_.id_.empty() && runs_.empty();
  }
  /** Returns when the authority over the worker's leases ends. */
  Instant AuthorityUntil() const { return authorityUntil_; }
  /** Returns the cap on the pace of backfill. */
  const LocalPacing& Pacing() const { return pacing_; }
  /** Returns the highest ratio of tail latency to objective in the last list of
   * runs. */
  double Pressure() const { return pressure_; }

private:
  enum class Phase : std::uint8_t
  {
    Starting,
    Running,
    Stopping,
  };

  struct LocalRun
  {
    Phase phase_ = Phase::Starting;
    StartOrder order_;
    /** Time from which no start call of this run is sent. */
    Instant startUntil_;
    /** A start or stop call of this run is in flight. */
    bool callInFlight_ = false;
    /** A start call had no answer, so the worker may execute it late. */
    bool startOutcomeUnknown_ = false;
    /** Reason to refuse the start unless the worker lists the run after its
     * stop. */
    std::optional<StartRejection> refusal_;
    Instant nextCallAt_;
    /** Time at which the worker answered the last order. */
    Instant answeredAt_;
    bool stopAnswered_ = false;
    /** Time since which the worker lists the run neither as running nor as
     * ended. */
    std::optional<Instant> missingSince_;
    std::string checkpoint_;
    std::uint32_t percent_ = 0;
    std::uint32_t measure_ = 0;
    /** Pace that the leader ordered; none if the run was found on the worker
     * and no pace has been ordered since. */
    std::optional<std::uint32_t> pace_;
    /** Pace that the worker accepted; none if it is not known. */
    std::optional<std::uint32_t> appliedPace_;
    bool paceCallInFlight_ = false;
    /** Time at which the worker accepted the last pace. */
    Instant pacedAt_;
    /** Time until which the worker may execute a pace call that had no answer,
     * and so undo a later one. */
    Instant latePaceUntil_;
    /** Profile from the leader; see RunProfile. */
    std::uint32_t latencyObjectiveMs_ = 0;
    bool backfill_ = false;
  };

  using RunKey = std::pair<std::string, std::uint32_t>;
  using Runs = std::map<RunKey, LocalRun>;

  /** Call without an answer so far. */
  struct CallInFlight
  {
    enum class Kind : std::uint8_t
    {
      Start,
      Stop,
      Pace,
      Hold,
      /** Hold that checks whether a new incarnation of the worker runs. */
      Probe,
      /** Hold that checks whether any worker listens at the address. */
      PortCheck,
    };
    Kind kind_ = Kind::Hold;
    RunKey key_;
    std::string workerId_;
    /** Start time of the incarnation that the call is meant for. */
    std::int64_t startedAtMs_ = 0;
    std::uint64_t fence_ = 0;
    std::uint32_t pace_ = 0;
    Instant sentAt_;
    /** Last lease extension before a planned stop. */
    bool beforeStop_ = false;
  };

  /** Whether the worker may have runs of earlier incarnations of the side that
   * it has not listed yet. */
  bool RunsAreUnknown(Instant aNow) const
  {
    return !runsKnown_ && aNow <= leasesExpireAt_;
  }
  std::int64_t WorkerClock(Instant aNow) const;
  std::optional<std::int64_t> LeaseUntil(Millis aLease, Instant aNow);
  CallHeader Head(CallInFlight aCall, Millis aTimeout, Instant aNow);
  void AddHold(std::vector<WorkerCall>& aCalls, Instant aNow);
  void WithdrawStarts(Instant aNow);
  std::optional<StartRejection> WithdrawalReason(const LocalRun& aRun,
                                                 Instant aNow) const;
  Runs::iterator WithdrawStart(Runs::iterator aEntry, StartRejection aWhy);
  Runs::iterator RefuseStart(Runs::iterator aEntry, StartRejection aWhy);
  void AddOrders(std::vector<WorkerCall>& aCalls, Instant aNow);
  // Local pacing.
  bool PacesLocally() const;
  void ApplyProfiles(const FleetOrders& aOrders);
  /** Whether tasks with a latency objective share the worker with backfill. */
  bool HasSharing() const;
  /** Returns the pace at which a run is meant to work; none if it keeps the
   * pace that it has. */
  std::optional<std::uint32_t> WantedPace(const LocalRun& aRun) const;
  bool PaceIsDue(const LocalRun& aRun, Instant aNow) const;
  bool PacesAreApplied() const;
  void ReadPressure(const CallAnswer& aAnswer, Instant aNow);
  void AddPace(std::vector<WorkerCall>& aCalls,
               const RunKey& aKey,
               LocalRun& aRun,
               Instant aNow);
  void OnPaceAnswer(const CallInFlight& aCall,
                    const CallAnswer& aAnswer,
                    Instant aNow);
  bool AddStart(std::vector<WorkerCall>& aCalls,
                const RunKey& aKey,
                LocalRun& aRun,
                Instant aNow);
  void OnStartAnswer(const CallInFlight& aCall,
                     const CallAnswer& aAnswer,
                     Instant aNow);
  void OnStopAnswer(const CallInFlight& aCall,
                    const CallAnswer& aAnswer,
                    Instant aNow);
  void OnHoldAnswer(const CallInFlight& aCall,
                    const CallAnswer& aAnswer,
                    Instant aNow);
  bool AddPortCheck(std::vector<WorkerCall>& aCalls, Instant aNow);
  void OnPortCheckAnswer(const CallAnswer& aAnswer, Instant aNow);
  bool IsCurrent(const CallInFlight& aCall) const;
  static bool IsOfOtherIncarnation(const CallInFlight& aCall,
                                   const CallAnswer& aAnswer);
  bool IsInvalid(const WorkerAnnouncement& aAnnouncement) const;
  /** Whether the announcement is the second one in a row that contradicts the
   * service in use and names the same other one. */
  bool ConfirmsOtherService(const WorkerAnnouncement& aAnnouncement);
  bool HasPastIncarnation(const std::string& aWorkerId) const;
  void OnProbeAnswer(const CallInFlight& aCall,
                     const CallAnswer& aAnswer,
                     Instant aNow);
  void ApplyRunLists(const CallInFlight& aCall,
                     const CallAnswer& aAnswer,
                     Instant aNow);
  void RemoveMissingRuns(const CallInFlight& aCall,
                         const std::set<RunKey>& aListed,
                         Instant aNow);
  void BeginIncarnation(const WorkerAnnouncement& aAnnouncement,
                        std::uint64_t aMinFence,
                        Instant aNow);
  void EndIncarnation();
  void EndUnansweredIncarnation(Instant aNow);
  void OnFirstHold(Instant aNow);
  void AssumeUnknownLeases(Instant aNow);
  void RemoveAllRuns();
  void CheckLeases(Instant aNow);
  bool HasUnstoredEnds() const;
  /** Returns how long the next hold may wait for an end. */
  Millis HoldWait(Instant aNow) const;

  Settings settings_;
  std::uint64_t fence_;
  std::uint64_t epoch_ = 0;
  Instant authorityUntil_;
  /** Time until which leases are renewed without an answer of the worker. */
  Instant renewUntil_;
  /** End of high-frequency reporting, as requested by the leader. */
  Instant highFrequencyUntil_;
  Instant lastOrders_;
  std::uint64_t ordersSeen_ = 0;
  WorkerDescription facts_;
  std::uint64_t sequence_ = 0;
  /** Last announcement, if it contradicts the service in use. */
  std::optional<WorkerAnnouncement> contradiction_;
  std::optional<WorkerAnnouncement> candidate_;
  /** Past incarnations of the worker, whose late announcements are ignored. */
  std::set<WorkerIncarnation> pastIncarnations_;
  std::int64_t clockMs_ = 0;
  Instant clockReadAt_;
  Instant lastAnswerAt_;
  /** Time by which stops ordered by an earlier incarnation of this side are
   * complete. */
  Instant earlierStopsEndAt_;
  /** Latest possible end of all leases that were requested. */
  Instant leasesExpireAt_;
  Runs runs_;
  std::map<std::uint64_t, RunEndReport> ends_;
  std::uint64_t endsStored_ = 0;
  std::uint64_t endsReported_ = 0;
  std::vector<RejectedRun> refused_;
  std::map<std::uint64_t, CallInFlight> calls_;
  std::uint64_t nextCall_ = 1;
  std::size_t ordersInFlight_ = 0;
  LocalPacing pacing_;
  double pressure_ = 0;
  Instant nextHoldAt_;
  Instant reportedAt_;
  /** Time of the last list of runs from the worker. */
  Instant measuredAt_;
  /** Consecutive refusals of the worker's port before any incarnation was
   * observed. */
  std::uint32_t portRefusals_ = 0;
  /** Whether the runs of the worker are known: it has answered a hold in its
   * current incarnation and in that of the side, or no worker exists. */
  bool runsKnown_ = false;
  /** Whether the worker's incarnation began before that of this side. */
  bool predatesSide_ = true;
  /** Whether an earlier incarnation had the same id, so that this one may have
   * executed calls that were meant for the earlier one. */
  bool restartedUnderId_ = false;
  /** Whether the last hold was answered by another incarnation under the same
   * id, so that no order is sent until the incarnation in use answers. */
  bool otherAnswers_ = false;
  /** Whether an answer of the worker contained a start time. */
  bool startTimeSeen_ = false;
  bool incarnationSeen_ = false;
  bool holdInFlight_ = false;
  bool reportDue_ = false;
  /** A report is due after kDeferredReportInterval. */
  bool deferredReportDue_ = false;
  bool linked_ = false;
  bool stopping_ = false;
  /** The worker has reported that it is about to exit. */
  bool leaving_ = false;
  /** A message without a start time reported the exit of a worker with the id
   * of the one in use. It may be a late message of an earlier incarnation, so
   * only a refused connection confirms it. */
  bool leaveUnverified_ = false;
  bool stopHoldSent_ = false;
  bool stopHoldDone_ = false;
};

}
