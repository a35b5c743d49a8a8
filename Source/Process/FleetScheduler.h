#pragma once

#include "Connection/FleetMessages.h"
#include "Process/BackfillInterference.h"
#include "Process/FleetJob.h"
#include "Process/FleetTimings.h"
#include "Process/FleetWorker.h"
#include "Process/JobOrder.h"
#include "Process/PlacementMisses.h"
#include "Process/RoomReservations.h"
#include "Process/StandingRoom.h"
#include "Process/WorkerChoice.h"
#include "Version/DurationModel.h"
#include "Version/WorkerHealth.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cactusrail {

/** Figures of the deployment that scheduling rests on. */
struct FleetBounds
{
  /** Finished jobs are known for so long. */
  Millis keepFinished_{ 120000 };
  /** How much longer a task takes away from its data. */
  double farFactor_ = 1.5;
  /** No task starts later than this after its job's cancellation was
   * acknowledged. */
  Millis cancelBound_{ 3000 };
};

/** Job records to store as one; an end is acknowledged once its batch is. */
struct ProgressBatch
{
  std::uint64_t number_ = 0;
  std::vector<std::pair<std::string, JobProgress>> jobs_;
};

/** Orders for one side. */
struct SideOrders
{
  std::string node_;
  FleetOrders orders_;
};

/** Something that a decision changed, for the log: an event and its inputs. */
struct FleetEvent
{
  std::string_view event_;
  std::string task_;
  std::string node_;
  std::string detail_;
};

/**
 * Decides which task runs where, for the entry that leads. Facts and times in,
 * orders and records to store out; no I/O.
 *
 * What holds at all times, and why:
 * - A task has one run at a time. Its worker is asked, not the table: a run is
 *   given up only when its worker lists its end, says that it is not there, is
 *   in a new life, or when kAuthority is over since the last orders that its
 *   side can have had, after which the side holds nothing.
 * - A new leader starts nothing that might run already: jobs older than itself
 *   wait until each known side has reported or kAuthority is over.
 * - An end is acknowledged to the worker, which then forgets it, only after
 *   what it changed is stored; a leader that dies before that is told again.
 * - Room is taken from the order of a start until its end is known, so late
 *   starts and slow stops never add up beyond a worker's capacity.
 * - A start rests on the cancellations that were known when it was decided. Its
 *   order is void FleetBounds::cancelBound_ after the time up to which all of
 *   them were known, whatever delays it: a leader that is behind, the way, or a
 *   worker that does not answer its side.
 */
class FleetScheduler
{
public:
  /** aWallMs: the wall clock in ms since 1970, for the ends of jobs. */
  FleetScheduler(std::uint64_t aEpoch,
                 const FleetBounds& aBounds,
                 std::int64_t aWallMs);

  // Facts.
  /** A job is in the table. Repeats change nothing. */
  void OnJobStored(const JobDescription& aSpec, Instant aNow);
  /** A cancellation is in the table; it may come before its job. */
  void OnCancelStored(const std::string& aJob, Instant aNow);
  /** All jobs and cancellations stored before then are known here. */
  void OnTableCurrent(Instant aAsOf) { tableAsOf_ = aAsOf; }
  /** What the last leader stored of a job; while loading. */
  void OnProgressLoaded(const std::string& aJob,
                        const JobProgress& aProgress,
                        Instant aNow);
  /** The side's row is in the table; true if it was not known before. */
  bool OnSideRegistered(const std::string& aNode, Instant aNow);
  /** The row was removed, by its side or by Removable(). */
  void OnSideRemoved(const std::string& aNode);
  /** Everything in the table has been read. */
  void OnLoaded(Instant aNow, std::int64_t aWallMs);
  void OnLinkUp(const std::string& aNode, Instant aNow);
  void OnLinkLost(const std::string& aNode, Instant aNow);
  void OnReport(const std::string& aNode,
                const FleetReport& aReport,
                Instant aNow);
  /** All batches up to this one are in the table. */
  void OnBatchStored(std::uint64_t aBatch, Instant aNow);

  // Decisions.
  /** Orders that are due; to be sent at once. */
  std::vector<SideOrders> TakeOrders(Instant aNow, std::int64_t aWallMs);
  /** Changes that must be stored; none if there are none. */
  std::optional<ProgressBatch> TakeBatch();
  /** What has been decided since the last call, for the log. */
  std::vector<FleetEvent> TakeEvents();
  /** Jobs that ended so long ago that nobody may ask for them. */
  std::vector<std::string> Expired(std::int64_t aWallMs) const;
  void Forget(const std::string& aJob);
  /** Sides that have been out of reach so long that nothing can run there. */
  std::vector<std::string> Removable(Instant aNow) const;

  /** What has been learned of backfill beside serving tasks; it outlives a
   * leader in the table, as learning it anew disturbs users. */
  BackfillInterference& Interference() { return interference_; }

  // Questions.
  /** None if the job is not known here. A final state only once stored. */
  std::optional<JobState> StateOf(std::string_view aJob) const;
  std::uint64_t Waiting(std::string_view aQueue) const;
  bool Loaded() const { return loaded_; }
  std::size_t JobCount() const { return jobs_.size(); }
  std::size_t ReadyCount() const;
  /** How often all workers were looked at for a step, since this leader began.
   */
  std::uint64_t FleetLooks() const { return fleetLooks_; }
  const std::map<std::string, FleetWorker>& Workers() const { return workers_; }

private:
  struct JobEntry
  {
    std::unique_ptr<FleetJob> job_;
    /** Stored before this leader; waits until no side is suspect. */
    bool old_ = false;
    /** The state that the table holds. */
    JobState storedState_ = JobState::Pending;
    /** The state in the batch that is being stored. */
    JobState batchState_ = JobState::Pending;
    /** Since when it has had nothing running although a task could. */
    std::optional<Instant> idleSince_;
    /** It has waited for a good place in vain once, and waits no more. */
    bool starving_ = false;
    /** The log says that it is held back; see IsHeldBack(). */
    bool heldBack_ = false;
  };

  /** Ready work in the order in which it is placed. */
  struct ReadyKey
  {
    std::int64_t priority_ = 0;
    std::int64_t acceptedAtMs_ = 0;
    std::string job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;

    bool operator<(const ReadyKey& aOther) const
    {
      return std::tie(priority_, acceptedAtMs_, job_, occurrence_, step_) <
             std::tie(aOther.priority_,
                      aOther.acceptedAtMs_,
                      aOther.job_,
                      aOther.occurrence_,
                      aOther.step_);
    }
  };

  struct Place
  {
    JobEntry* entry_ = nullptr;
    FleetStep* step_ = nullptr;
    FleetTask* task_ = nullptr;
  };

  // Jobs.
  std::optional<Place> Find(const TaskKey& aName);
  static ReadyKey KeyOf(const FleetJob& aJob, const FleetStep& aStep);
  void MarkReady(const FleetJob& aJob, const FleetStep& aStep);
  void MarkAllReady(JobEntry& aEntry);
  void MarkChanged(JobEntry& aEntry);
  void BeginDueJobs(Instant aNow, std::int64_t aWallMs);
  void FinishJob(JobEntry& aEntry, JobState aState);
  void StopAllRuns(FleetJob& aJob);
  void SettleJob(JobEntry& aEntry);

  // Reports.
  std::size_t OrdersUnderWay(const FleetWorker& aWorker);
  void OnNewLife(FleetWorker& aWorker,
                 const FleetReport& aReport,
                 Instant aNow);
  void TakeEnd(FleetWorker& aWorker, const EndFact& aEnd, Instant aNow);
  bool ApplyEnd(FleetWorker& aWorker,
                const EndFact& aEnd,
                const TaskKey& aName,
                Place& aPlace,
                Instant aNow);
  void OnRunDone(FleetWorker& aWorker,
                 const EndFact& aEnd,
                 Place& aPlace,
                 const TaskKey& aName,
                 Instant aNow);
  void OnRunFailed(FleetWorker& aWorker,
                   const EndFact& aEnd,
                   Place& aPlace,
                   const TaskKey& aName,
                   Instant aNow);
  void OnGangDone(Place& aPlace, std::uint32_t aRun, Instant aNow);
  void TakeRefusal(FleetWorker& aWorker,
                   const RefusedRun& aRefused,
                   Instant aNow);
  void Reconcile(FleetWorker& aWorker,
                 const FleetReport& aReport,
                 Instant aNow);
  void TakeRun(FleetWorker& aWorker, const RunFact& aFact, Instant aNow);
  void DropRun(FleetWorker& aWorker,
               const std::string& aTask,
               std::uint32_t aRun,
               std::string_view aWhy,
               Instant aNow);
  void RemoveRun(Place& aPlace,
                 const std::string& aNode,
                 std::uint32_t aRun,
                 Instant aNow);
  void BreakGang(Place& aPlace, const TaskKey& aName);
  void DropAllRuns(FleetWorker& aWorker, std::string_view aWhy, Instant aNow);
  void GiveUpUnreachable(Instant aNow);
  bool AnySuspect() const;
  bool HoldsOldWork(Instant aNow);

  // Placement.
  /** Starts that rest on what is known now are void from then on. */
  Instant StartsUntil() const;
  bool MayStart(Instant aNow);
  void PlaceReady(Instant aNow);
  /** Ready steps in the order in which they are placed now. */
  std::vector<ReadyKey> PlacementOrder();
  JobRank RankNow(const FleetJob& aJob, const FleetStep& aStep) const;
  bool PlaceStep(const ReadyKey& aKey, Instant aNow);
  /** A task of the step found no worker. */
  void NoteMiss(const FleetJob& aJob, const FleetStep& aStep, Instant aNow);
  bool MissesAgain(JobEntry& aEntry, const FleetStep& aStep, Instant aNow);
  /** Places a task or, if it finds no worker, says so to what depends on it.
   */
  bool PlaceOrMiss(JobEntry& aEntry,
                   FleetStep& aStep,
                   std::uint32_t aIndex,
                   Instant aNow);
  bool PlaceTask(JobEntry& aEntry,
                 FleetStep& aStep,
                 std::uint32_t aIndex,
                 Instant aNow);
  bool PlaceReturned(JobEntry& aEntry,
                     FleetStep& aStep,
                     std::uint32_t aIndex,
                     Instant aNow);
  void PlaceOn(std::size_t aOption,
               JobEntry& aEntry,
               FleetStep& aStep,
               std::uint32_t aIndex,
               Instant aNow);
  bool PlaceStarving(JobEntry& aEntry,
                     FleetStep& aStep,
                     std::uint32_t aIndex,
                     Instant aNow);
  bool PlaceGang(JobEntry& aEntry, FleetStep& aStep, Instant aNow);
  /** Collects the workers for the tasks of one step, into options_. */
  void FillOptions(const FleetJob& aJob, const FleetStep& aStep, Instant aNow);
  /** A task of the step was placed on that option. */
  void NotePlaced(std::size_t aOption,
                  const FleetJob& aJob,
                  const FleetStep& aStep);
  /** The best of options_ for a task; none if it should rather wait. */
  std::optional<std::size_t> ChooseAmongOptions(const FleetJob& aJob,
                                                const FleetStep& aStep,
                                                const FleetTask& aTask,
                                                Instant aNow,
                                                bool aStarving = false) const;
  /** How a backfill task would do there beside those that serve. */
  BackfillFit FitOn(FleetWorker& aWorker,
                    const FleetJob& aJob,
                    const StepSpec& aStep);
  std::string RackInUse(const FleetStep& aStep) const;
  void StartRun(JobEntry& aEntry,
                FleetStep& aStep,
                std::uint32_t aIndex,
                FleetWorker& aWorker,
                std::uint32_t aRun,
                Instant aNow);

  // Preemption.
  /** A run of a lower priority, with its task's name. */
  struct PreemptibleRun
  {
    std::string task_;
    TaskRun* run_ = nullptr;
  };
  /** How room for a task could be made on one worker. */
  struct RoomPlan
  {
    /** What stops there already gives room enough. */
    bool underWay_ = false;
    /** Room enough once stops_ have ended. */
    bool enough_ = false;
    std::vector<PreemptibleRun> stops_;
  };
  /** Stops runs of lower priorities on the worker where the fewest must go. */
  void MakeRoom(const FleetJob& aJob, const FleetStep& aStep, Instant aNow);
  RoomPlan PlanRoom(FleetWorker& aWorker,
                    const FleetRoom& aWanted,
                    std::int64_t aPriority);
  /** Those that would lose the least work first. */
  std::vector<PreemptibleRun> Preemptible(FleetWorker& aWorker,
                                          std::int64_t aPriority);

  // Tasks that last.
  /** Callers have asked for an occurrence of the job. */
  void NoteAsked(const FleetJob& aJob, Instant aNow);
  /** Whether a new job that lasts must leave the room to short work. */
  bool IsHeldBack(JobEntry& aEntry, const FleetStep& aStep, Instant aNow);
  /** Thousandths of processors that started jobs which last hold, or wait for,
   * of those that the service's workers have. */
  std::int64_t StandingCpuMilli(std::string_view aService) const;
  /** The room of a service's workers, and how much of it is taken. */
  struct ServiceRoom
  {
    std::int64_t cpuMilli_ = 0;
    std::int64_t usedCpuMilli_ = 0;
  };
  ServiceRoom RoomOfService(std::string_view aService) const;
  /** Since when it has had no run; none if it never had one. */
  std::optional<Instant> AwaySince(const JobEntry& aEntry,
                                   const FleetTask& aTask) const;
  /** Some task of the step waits that ran before. */
  bool HasReturning(const JobEntry& aEntry, const FleetStep& aStep) const;
  /** Keeps the room of a run that failed until its task starts again. */
  void KeepRoomOfFailed(FleetWorker& aWorker,
                        const TaskKey& aName,
                        Place& aPlace,
                        Instant aNow);
  void DropKeptRoom(const TaskKey& aName, FleetTask& aTask);
  /** Whether the log has room for a line on the task's wait now. */
  bool MayNoteWait(FleetTask& aTask, Instant aNow);
  /** What a task of the step finds on the workers; of options_. */
  std::string DescribeWait(const JobEntry& aEntry,
                           const FleetStep& aStep,
                           Instant aNow) const;
  /** Says in the log what a task that lasts and ran before waits for. */
  void NoteLastingWaits(const JobEntry& aEntry,
                        FleetStep& aStep,
                        std::uint32_t aIndex,
                        Instant aNow);
  void KeepRoomFor(const JobEntry& aEntry,
                   const FleetStep& aStep,
                   const FleetTask& aTask,
                   Instant aNow);

  // Care for what runs.
  void OrderStop(const std::string& aNode,
                 const std::string& aTask,
                 TaskRun& aRun,
                 std::string_view aWhy);
  void CareForRuns(FleetWorker& aWorker, Instant aNow);
  void CareForRun(FleetWorker& aWorker,
                  const TaskKey& aName,
                  Place& aPlace,
                  TaskRun& aRun,
                  Instant aNow);
  void LeaveDraining(FleetWorker& aWorker,
                     const TaskKey& aName,
                     Place& aPlace,
                     TaskRun& aRun,
                     Instant aNow);

  // Serving tasks beside backfill.
  struct SharingRun;
  std::vector<SharingRun> SharingRuns(FleetWorker& aWorker);
  void WatchServing(FleetWorker& aWorker, Instant aNow);
  void WatchClosely(FleetWorker& aWorker, bool aServes);
  void PauseBackfill(FleetWorker& aWorker,
                     std::span<const SharingRun> aRuns,
                     Instant aNow);
  void PaceBackfill(FleetWorker& aWorker,
                    std::span<const SharingRun> aRuns,
                    Instant aNow);
  void SetPace(FleetWorker& aWorker,
               const SharingRun& aRun,
               std::uint32_t aPace,
               Instant aNow);
  void StartAtPace(FleetWorker& aWorker,
                   const JobEntry& aEntry,
                   FleetStep& aStep,
                   std::uint32_t aIndex,
                   double aSpeed);
  void MoveIfSlow(FleetWorker& aWorker, const SharingRun& aRun, Instant aNow);
  /** What a task of the step takes: as long as those of it that have ended
   * well, or what its queue's tasks take by such an estimate. */
  double ExpectedMillis(const FleetJob& aJob, const FleetStep& aStep) const;
  void LearnDuration(FleetWorker& aWorker,
                     const FleetJob& aJob,
                     FleetStep& aStep,
                     const TaskRun& aRun,
                     Instant aNow);

  FleetOrders& OrdersFor(FleetWorker& aWorker);
  void Note(std::string_view aEvent,
            std::string aTask,
            std::string aNode,
            std::string aDetail = {});

  std::uint64_t epoch_;
  std::uint32_t firstRun_;
  FleetBounds bounds_;
  std::unordered_map<std::string, JobEntry> jobs_;
  /** Cancellations whose job has not been seen yet. */
  std::set<std::string> earlyCancels_;
  std::set<ReadyKey> ready_;
  /** When a timed job's next occurrence is due, in ms since 1970. */
  std::set<std::pair<std::int64_t, std::string>> due_;
  std::map<std::string, FleetWorker> workers_;
  std::map<std::string, FleetOrders> orders_;
  std::set<std::string> changed_;
  std::uint64_t nextBatch_ = 1;
  /** Jobs of the batch that is being stored. */
  std::vector<std::string> storing_;
  bool loaded_ = false;
  Instant loadedAt_;
  /** Everything stored before then is known. */
  Instant tableAsOf_;
  /** Nothing starts, as what is known is too old. */
  bool withheld_ = false;
  /** The log says that old work waits for sides. */
  bool holdNoted_ = false;
  std::int64_t wallMs_ = 0;
  WorkerHealth health_;
  BackfillInterference interference_;
  DurationModel durations_;
  RoomReservations reservations_;
  StandingRoom standing_;
  PlacementMisses misses_;
  std::vector<FleetEvent> events_;
  /** Lines of NoteLastingWaits() since a second began, and when it is over. */
  std::size_t waitNotes_ = 0;
  Instant waitNotesUntil_;
  std::uint64_t fleetLooks_ = 0;
  /** Scratch of a choice; kept to spare allocations. */
  std::vector<WorkerOption> options_;
};

}
