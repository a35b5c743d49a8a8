#pragma once

#include "Connection/FleetMessages.h"
#include "Process/FleetTimings.h"
#include "Process/Instant.h"

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

/** What every call to a worker carries. */
struct CallHead
{
  std::uint64_t id_ = 0;
  /** The worker's life that is meant; another one refuses. */
  std::string workerId_;
  /** Rises with each life of the side; the worker obeys the highest only. */
  std::uint64_t fence_ = 0;
  /** The call is given up then. */
  Instant deadline_;
};

/** Starts a run; its lease ends at leaseUntilMs_ of the worker's clock. */
struct StartCall
{
  CallHead head_;
  StartOrder order_;
  std::int64_t leaseUntilMs_ = 0;
};

struct StopCall
{
  CallHead head_;
  StopOrder order_;
};

struct PaceCall
{
  CallHead head_;
  PaceOrder order_;
};

/** Extends the lease of all that runs, and asks what runs and what ended. */
struct HoldCall
{
  CallHead head_;
  /** None: look only. */
  std::optional<std::int64_t> leaseUntilMs_;
  /** The worker may forget ends up to this one. */
  std::uint64_t endsStored_ = 0;
  /** The answer waits so long for an end. */
  Millis wait_{ 0 };
};

using WorkerCall = std::variant<StartCall, StopCall, PaceCall, HoldCall>;

/** How a worker took a call. */
enum class CallOutcome : std::uint8_t
{
  Accepted,
  /** It obeys a higher fence. */
  Fenced,
  /** It has seen this run, or a later one, end. */
  Old,
  /** The lease asked for is over already. */
  Late,
  NoRoom,
  /** The advice ticket is not valid. */
  Ticket,
  /** It surely did nothing. */
  NotDone,
  /** Another life of the worker answered. */
  WrongLife,
  /** No answer: it may have done it, or may do it seconds later. */
  Doubt,
};

/** A worker's answer to any call. */
struct CallAnswer
{
  CallOutcome outcome_ = CallOutcome::Doubt;
  /** The worker's clock when it answered; none without an answer. */
  std::optional<std::int64_t> clockMs_;
  /** Of a hold: what runs, and the ends it still lists. */
  std::vector<RunFact> runs_;
  std::vector<EndFact> ends_;
  /** The list of ends was cut; more will follow. */
  bool endsCut_ = false;
};

/** A worker as it announced itself, with its clock. */
struct WorkerAnnouncement
{
  WorkerDescription facts_;
  std::int64_t clockMs_ = 0;
  /** Rises with each announcement of one life. */
  std::uint64_t sequence_ = 0;
};

/**
 * Looks after one worker for the entry that leads: carries its orders out,
 * keeps the leases of what runs, and reports what is there. Pure: facts and
 * times in, calls and reports out. Owned by the side's process.
 *
 * What holds, and why:
 * - Leases are extended only within the authority that the leader's last orders
 *   gave, counted from a reading of this side's own clock. Without a leader
 * they run out, so a new leader can start the work elsewhere.
 * - A start without an answer is repeated under the same run number, which the
 *   worker takes once. It holds its room until it is answered or stopped.
 * - Each life of the side uses a higher fence, so calls of a life before it
 * that the worker carries out late do nothing once this one was heard.
 * - Nothing is reported before the worker was asked once in this life.
 * - A start that the worker has not taken before its order is void is given
 *   back; its job may have been cancelled meanwhile.
 */
class WorkerKeeper
{
public:
  struct Settings
  {
    /** The longest lease that a worker grants. */
    Millis maxLease_{ 10000 };
    /** A stop takes at most this; until then the run holds its room, though
     * the worker may list it neither as running nor as ended. */
    Millis stopTimeout_{ 1000 };
    /** The first fence; later ones rise from it. */
    std::uint64_t fence_ = 1;
  };

  WorkerKeeper(const Settings& aSettings, Instant aNow);

  // Facts.
  void OnAnnounced(const WorkerAnnouncement& aAnnouncement, Instant aNow);
  /** The worker said that it ends now. */
  void OnWorkerLeft(const std::string& aWorkerId, Instant aNow);
  void OnLeaderLink(Instant aNow);
  /** False: an entry that leads no more; its link must be ended. */
  bool OnOrders(const FleetOrders& aOrders, Instant aNow);
  void OnAnswer(std::uint64_t aCall, const CallAnswer& aAnswer, Instant aNow);
  /** The host was suspended for so long, by the clock that counts it. */
  void OnSuspended(Millis aGap);
  /** A planned stop: leases are taken as long as allowed, no more reports. */
  void OnStopping(Instant aNow);

  // Decisions.
  std::vector<WorkerCall> TakeCalls(Instant aNow);
  /** A report that is due to the leader. */
  std::optional<FleetReport> TakeReport(Instant aNow);

  /** The last lease extension before a stop has been answered. */
  bool ReadyToStop() const { return stopHoldDone_; }
  std::uint64_t Epoch() const { return epoch_; }
  Instant LastOrders() const { return lastOrders_; }
  const std::string& WorkerId() const { return facts_.id_; }
  std::size_t RunCount() const { return runs_.size(); }
  /** Authority over the worker's leases lasts until then. */
  Instant AuthorityUntil() const { return authorityUntil_; }

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
    /** No start call of it goes out from then on. */
    Instant startUntil_;
    /** A start or stop call of it is under way. */
    bool calling_ = false;
    /** A start of it had no answer, and may be carried out late. */
    bool doubted_ = false;
    /** It is given back unless the worker lists it after its stop. */
    std::optional<StartRefusal> refusal_;
    Instant nextCallAt_;
    /** The worker answered the last order then. */
    Instant answeredAt_;
    bool stopAnswered_ = false;
    /** Since when the worker has listed it nowhere. */
    std::optional<Instant> missingSince_;
    std::string checkpoint_;
    std::uint32_t percent_ = 0;
    std::uint32_t measure_ = 0;
    std::uint32_t pace_ = 100;
    std::uint32_t paceTaken_ = 100;
    bool pacing_ = false;
  };

  using RunKey = std::pair<std::string, std::uint32_t>;
  using Runs = std::map<RunKey, LocalRun>;

  /** A call that has no answer yet. */
  struct OpenCall
  {
    enum class Kind : std::uint8_t
    {
      Start,
      Stop,
      Pace,
      Hold,
      /** A hold that asks whether a new life is there. */
      Probe,
      /** A hold that asks whether anything is there at all. */
      Knock,
    };
    Kind kind_ = Kind::Hold;
    RunKey key_;
    std::string workerId_;
    std::uint32_t pace_ = 0;
    Instant sentAt_;
    /** The extension of leases before a planned stop. */
    bool last_ = false;
  };

  std::int64_t WorkerClock(Instant aNow) const;
  std::optional<std::int64_t> LeaseUntil(Millis aLease, Instant aNow);
  CallHead Head(OpenCall aCall, Millis aTimeout, Instant aNow);
  void AddHold(std::vector<WorkerCall>& aCalls, Instant aNow);
  void TakeBackStarts(Instant aNow);
  std::optional<StartRefusal> WhyTakeBack(const LocalRun& aRun,
                                          Instant aNow) const;
  Runs::iterator GiveBack(Runs::iterator aEntry, StartRefusal aWhy);
  Runs::iterator Refuse(Runs::iterator aEntry, StartRefusal aWhy);
  void AddOrders(std::vector<WorkerCall>& aCalls, Instant aNow);
  bool AddStart(std::vector<WorkerCall>& aCalls,
                const RunKey& aKey,
                LocalRun& aRun,
                Instant aNow);
  void OnStartAnswer(const OpenCall& aCall,
                     const CallAnswer& aAnswer,
                     Instant aNow);
  void OnStopAnswer(const OpenCall& aCall,
                    const CallAnswer& aAnswer,
                    Instant aNow);
  void OnHoldAnswer(const OpenCall& aCall,
                    const CallAnswer& aAnswer,
                    Instant aNow);
  bool AddKnock(std::vector<WorkerCall>& aCalls, Instant aNow);
  void OnKnockAnswer(const CallAnswer& aAnswer, Instant aNow);
  void OnProbeAnswer(const OpenCall& aCall,
                     const CallAnswer& aAnswer,
                     Instant aNow);
  void TakeRuns(const OpenCall& aCall, const CallAnswer& aAnswer, Instant aNow);
  void ForgetMissing(const OpenCall& aCall,
                     const std::set<RunKey>& aListed,
                     Instant aNow);
  void BeginLife(const WorkerAnnouncement& aAnnouncement, Instant aNow);
  void EndLife();
  void ForgetRuns();
  void CheckLeases(Instant aNow);
  bool HasUnstoredEnds() const;
  /** How long the next hold may wait for an end. */
  Millis HoldWait(Instant aNow) const;

  Settings settings_;
  std::uint64_t fence_;
  std::uint64_t epoch_ = 0;
  Instant authorityUntil_;
  /** Leases are renewed until then, unless the worker answers. */
  Instant renewUntil_;
  /** The leader wants each figure of the worker until then. */
  Instant watchUntil_;
  Instant lastOrders_;
  std::uint64_t ordersSeen_ = 0;
  WorkerDescription facts_;
  std::uint64_t sequence_ = 0;
  std::optional<WorkerAnnouncement> candidate_;
  /** Lives that are over; an announcement of one comes late. */
  std::set<std::string> pastLives_;
  std::int64_t clockMs_ = 0;
  Instant clockReadAt_;
  Instant lastAnswerAt_;
  /** Stops that an earlier life of this side ordered are over then. */
  Instant settledAt_;
  /** No lease that was asked for can last beyond this. */
  Instant leasesOverAt_;
  Runs runs_;
  std::map<std::uint64_t, EndFact> ends_;
  std::uint64_t endsStored_ = 0;
  std::uint64_t endsReported_ = 0;
  std::vector<RefusedRun> refused_;
  std::map<std::uint64_t, OpenCall> calls_;
  std::uint64_t nextCall_ = 1;
  std::size_t openOrders_ = 0;
  Instant nextHoldAt_;
  Instant reportedAt_;
  /** When the worker last said what runs. */
  Instant measuredAt_;
  /** Times in a row that the worker's port refused before any life was seen. */
  std::uint32_t refusals_ = 0;
  /** The worker was asked successfully in this life of both. */
  bool known_ = false;
  /** The worker's life began before this side's. */
  bool inherited_ = true;
  bool seenLife_ = false;
  bool holding_ = false;
  bool reportDue_ = false;
  /** Something is to be reported, though not at once. */
  bool newsWaits_ = false;
  bool linked_ = false;
  bool stopping_ = false;
  /** The worker said that it ends. */
  bool leaving_ = false;
  bool stopHoldSent_ = false;
  bool stopHoldDone_ = false;
};

}
