#pragma once

#include "Connection/FleetMessages.h"
#include "Load/CompletionRate.h"
#include "Load/FeatureSwitch.h"
#include "Load/LoadDigest.h"
#include "Process/BackfillInterference.h"
#include "Process/FleetJob.h"
#include "Process/FleetTimings.h"
#include "Process/FleetWorker.h"
#include "Process/JobOrder.h"
#include "Process/LongRunningLimit.h"
#include "Process/OverloadState.h"
#include "Process/PlacementMisses.h"
#include "Process/TakeoverSummary.h"
#include "Process/WorkerChoice.h"
#include "Process/WorkerReservations.h"
#include "Version/DurationModel.h"
#include "Version/WorkerHealth.h"

#include <cstdint>
#include <functional>
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

/** Scheduling parameters of the deployment. */
struct FleetBounds
{
  /** Retention time of finished jobs. */
  Millis keepFinished_{ 120000 };
  /** Factor by which a task takes longer away from its data. */
  double farFactor_ = 1.5;
  /**
   * Longest delay between the acknowledgement of a job's cancellation and the
   * last start of one of its tasks.
   */
  Millis cancelBound_{ 3000 };
  /**
   * Longest delay between the acknowledgement of the evacuation of a data
   * centre and the last start of a task there.
   */
  Millis evacuationBound_{ 5000 };
  /** Time that a worker takes to stop a run. */
  Millis stopTime_{ 1000 };
  /** Time that a run takes to resume from a checkpoint. */
  Millis restoreTime_{ 250 };
  /** Work after which a run has a new checkpoint. */
  Millis checkpointInterval_{ 1000 };
  FleetFeatures features_;
};

/** Data centres that the operator has evacuated, as known to an entry. */
struct EvacuationView
{
  std::set<std::string, std::less<>> dataCentres_;
  /** All evacuations stored before this time are known. */
  Instant currentAsOf_;
};

/**
 * Job records to store in one transaction. The ends of runs that caused them
 * are acknowledged once the batch is stored.
 */
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

/** Log event of a scheduling decision, with the inputs of the decision. */
struct FleetEvent
{
  std::string_view event_;
  std::string task_;
  std::string node_;
  std::string detail_;
};

/**
 * Decides on which worker each task runs; used by the entry that is the leader.
 * Input is facts with their times; output is orders and records to store.
 * Performs no I/O.
 *
 * Invariants and their reasons:
 * - A task has one run at a time. The worker decides whether a run exists, not
 *   the table: a run is abandoned only when its worker reports its end, reports
 *   that the run does not exist, or has a new incarnation, or when kAuthority
 *   has passed since the last orders that its side can have received, after
 *   which the side keeps no runs.
 * - A new leader starts no task that might be running: jobs stored before its
 *   leadership wait until each known side has reported or kAuthority has
 *   passed. If the lease of the former leader may still be valid, that leader
 *   starts tasks until the lease ends: jobs stored until then wait as well, and
 *   kAuthority counts from then on. See docs/design/early-takeover.md.
 * - The end of a run is acknowledged to the worker, which then discards it,
 *   only after all changes of its job so far are stored, whether they result
 *   from this end or make it irrelevant. If the leader dies earlier, the worker
 *   reports the end to the next leader.
 * - The resources of a run are allocated from the order of its start until its
 *   end is known, so late starts and slow stops never exceed the capacity of a
 *   worker.
 * - A start is based on the cancellations that were known when it was decided.
 *   Its order expires FleetBounds::cancelBound_ after the time up to which all
 *   cancellations were known, whatever delays the order: a leader that lags
 *   behind, the network, or a worker that does not answer its side. The same
 *   holds for evacuations of data centres and FleetBounds::evacuationBound_.
 */
class FleetScheduler
{
public:
  /** aWallMs: wall-clock time in ms since 1970, for the end times of jobs. */
  FleetScheduler(std::uint64_t aEpoch,
                 const FleetBounds& aBounds,
                 std::int64_t aWallMs);

  // Facts.
  /** Adds a job from the table. Repeated calls have no effect. */
  void OnJobStored(const JobDescription& aSpec, Instant aNow);
  /** Applies a cancellation from the table; it may precede its job. */
  void OnCancelStored(const std::string& aJob, Instant aNow);
  /** All jobs and cancellations stored before aAsOf are known here. */
  void OnTableCurrent(Instant aAsOf) { tableAsOf_ = aAsOf; }
  /** A former leader may send orders until aLeaseEnd; called before OnLoaded().
   */
  void OnFormerLeader(Instant aLeaseEnd) { formerLeaseEnd_ = aLeaseEnd; }
  /** No other entry leads before aUntil. Afterwards another leader may renew
   * the authority of sides that this one cannot reach, so none is given up. */
  void OnOnlyLeaderUntil(Instant aUntil) { onlyLeaderUntil_ = aUntil; }
  /** Replaces the known evacuations. Runs in an evacuated data centre continue,
   * but nothing starts there. */
  void OnEvacuations(const EvacuationView& aView);
  /**
   * Restores the progress of a job that the previous leader stored; called
   * while loading.
   */
  void OnProgressLoaded(const std::string& aJob,
                        const JobProgress& aProgress,
                        Instant aNow);
  /**
   * Adds the side whose row is in the table; returns true if it was not known
   * before.
   */
  bool OnSideRegistered(const std::string& aNode, Instant aNow);
  /** The row was removed by its side or because of RemovableSides(). */
  void OnSideRemoved(const std::string& aNode);
  /** The whole table has been read. */
  void OnLoaded(Instant aNow, std::int64_t aWallMs);
  void OnLinkUp(const std::string& aNode, Instant aNow);
  void OnLinkLost(const std::string& aNode, Instant aNow);
  void OnReport(const std::string& aNode,
                const FleetReport& aReport,
                Instant aNow);
  /** All batches up to aBatch are stored in the table. */
  void OnBatchStored(std::uint64_t aBatch, Instant aNow);

  // Decisions.
  /** Returns the orders that are due, to be sent at once. */
  std::vector<SideOrders> TakeOrders(Instant aNow, std::int64_t aWallMs);
  /** Returns the changes that must be stored, or none. */
  std::optional<ProgressBatch> TakeBatch();
  /** Returns the log events of decisions since the last call. */
  std::vector<FleetEvent> TakeEvents();
  /** Returns the jobs whose retention time is over. */
  std::vector<std::string> Expired(std::int64_t aWallMs) const;
  void Forget(const std::string& aJob);
  /** Returns the jobs that were cancelled, but not stored within the retention
   * time. */
  std::vector<std::string> ExpiredEarlyCancels(Instant aNow) const;
  void ForgetEarlyCancel(const std::string& aJob);
  /**
   * Returns the sides that have been unreachable for so long that nothing can
   * run on their workers.
   */
  std::vector<std::string> RemovableSides(Instant aNow) const;

  /**
   * Learned cost of backfill beside serving tasks. The table keeps it across
   * leaders, because relearning it disturbs users.
   */
  BackfillInterference& Interference() { return interference_; }

  // Queries.
  /** Protocol of the workers that have reported; none before the first one. */
  std::optional<WorkerProtocol> Protocol() const;
  /**
   * Returns none if the job is unknown here, and a final state only once that
   * state is stored.
   */
  std::optional<JobState> StateOf(std::string_view aJob) const;
  std::uint64_t Waiting(std::string_view aQueue) const;
  bool Loaded() const { return loaded_; }
  std::size_t JobCount() const { return jobs_.size(); }
  std::size_t ReadyCount() const;
  /** Load of the fleet; empty while no feature that needs it is enabled. */
  const LoadDigest& Digest() const { return digest_; }
  /** Sets the number of entries that accept jobs. */
  void SetEntryCount(std::uint32_t aEntries) { entryCount_ = aEntries; }
  /** Learned rates of completion, in processor-ms of expected work per ms. */
  const CompletionRate& Completions() const { return completions_; }
  /** Number of scans of all workers for a step under this leader. */
  std::uint64_t WorkerScans() const { return workerScans_; }
  const std::map<std::string, FleetWorker>& Workers() const { return workers_; }
  const OverloadFigures& Overload() const { return overload_.figures_; }

private:
  struct JobEntry
  {
    std::unique_ptr<FleetJob> job_;
    /**
     * Stored before this leader took over; waits while DefersOldWork() is true.
     */
    bool fromEarlierLeader_ = false;
    /** A former leader whose lease is still valid may know the job; waits as
     * well. */
    bool knownToFormerLeader_ = false;
    /** State that is stored in the table. */
    JobState storedState_ = JobState::Pending;
    /** State in the batch that is being stored. */
    JobState stateInBatch_ = JobState::Pending;
    /** Time since which no task has run although one was ready. */
    std::optional<Instant> idleSince_;
    /**
     * The job has waited for a better worker once in vain, and does not wait
     * again.
     */
    bool starving_ = false;
    /** The log reports that tasks of the job are deferred; see
     * AdmissibleNewTasks(). */
    bool deferred_ = false;
  };

  /** Sort key of a ready step. */
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

  struct TaskLocation
  {
    JobEntry* entry_ = nullptr;
    FleetStep* step_ = nullptr;
    FleetTask* task_ = nullptr;
  };

  // Jobs.
  std::optional<TaskLocation> Find(const TaskKey& aName);
  /**
   * Finds a task of which a worker reports a run or an end. Begins its
   * occurrence if that is not due by the clock of this leader.
   */
  std::optional<TaskLocation> FindOrBegin(const TaskKey& aName, Instant aNow);
  static ReadyKey KeyOf(const FleetJob& aJob, const FleetStep& aStep);
  void MarkReady(const FleetJob& aJob, const FleetStep& aStep);
  void MarkAllReady(JobEntry& aEntry);
  void MarkChanged(JobEntry& aEntry);
  /** Batch after which all changes of the job so far are stored; 0 if they are
   * stored. */
  std::uint64_t UnstoredBatch(const std::string& aJob) const;
  void BeginDueJobs(Instant aNow, std::int64_t aWallMs);
  void FinishJob(JobEntry& aEntry, JobState aState);
  void StopAllRuns(FleetJob& aJob);
  void ResolveJob(JobEntry& aEntry);

  // Reports.
  /**
   * Whether a report must not be applied yet because it has runs or ends of
   * jobs that are unknown here only because the view of the table is too old.
   *
   * A former leader whose lease is still valid starts jobs that this leader has
   * not read yet. Their runs would be stopped as unknown and their ends would
   * be acknowledged, and the tasks would start again.
   */
  bool WaitsForTable(const FleetWorker& aWorker,
                     const FleetReport& aReport) const;
  void ApplyWaitingReports(Instant aNow);
  void ApplyReport(FleetWorker& aWorker,
                   const FleetReport& aReport,
                   Instant aNow);
  std::size_t StartsInFlight(const FleetWorker& aWorker);
  void OnNewIncarnation(FleetWorker& aWorker,
                        const FleetReport& aReport,
                        Instant aNow);
  void HandleEnd(FleetWorker& aWorker, const RunEndReport& aEnd, Instant aNow);
  /** Returns whether the record of the job must be stored because of the end.
   */
  bool ApplyEnd(FleetWorker& aWorker,
                const RunEndReport& aEnd,
                const TaskKey& aName,
                TaskLocation& aPlace,
                Instant aNow);
  void OnRunDone(FleetWorker& aWorker,
                 const RunEndReport& aEnd,
                 TaskLocation& aPlace,
                 const TaskKey& aName,
                 Instant aNow);
  void OnRunFailed(FleetWorker& aWorker,
                   const RunEndReport& aEnd,
                   TaskLocation& aPlace,
                   const TaskKey& aName,
                   Instant aNow);
  void OnGangDone(TaskLocation& aPlace,
                  const TaskKey& aName,
                  std::uint32_t aRun,
                  Instant aNow);
  /**
   * Drops a run whose start was refused or not accepted in time. The worker
   * gets no new tasks for a short time if it lacked capacity or gave no
   * specific reason.
   */
  void HandleRefusal(FleetWorker& aWorker,
                     const RejectedRun& aRefused,
                     Instant aNow);
  void Reconcile(FleetWorker& aWorker,
                 const FleetReport& aReport,
                 Instant aNow);
  void HandleRun(FleetWorker& aWorker, const RunStatus& aFact, Instant aNow);
  void DropRun(FleetWorker& aWorker,
               const std::string& aTask,
               std::uint32_t aRun,
               std::string_view aWhy,
               Instant aNow);
  void RemoveRun(TaskLocation& aPlace,
                 const std::string& aNode,
                 std::uint32_t aRun,
                 Instant aNow);
  void BreakGang(TaskLocation& aPlace, const TaskKey& aName);
  void DropAllRuns(FleetWorker& aWorker, std::string_view aWhy, Instant aNow);
  void AbandonUnreachable(Instant aNow);
  /** Whether any worker may still run work of a previous leader. */
  bool AnyMayRunOldWork() const;
  /**
   * Whether jobs from an earlier leader are not placed yet, see
   * AnyMayRunOldWork(). Logs the names of the sides that have not reported if
   * the wait takes longer than reachable sides need, and the end of such a
   * wait.
   */
  bool DefersOldWork(Instant aNow);
  /** Logs once which ends the sides listed in their first reports. */
  void LogTakeover(Instant aNow);

  // Evacuations.
  bool IsEvacuated(const FleetWorker& aWorker) const;
  void BeginEvacuation(const std::string& aDataCentre);
  /** Withdraws the start of a run in an evacuated data centre that its worker
   * has not accepted. */
  void WithdrawFromEvacuated(const FleetWorker& aWorker,
                             const std::string& aTask,
                             TaskRun& aRun,
                             Instant aNow);

  // Placement.
  /**
   * Time at which starts that are decided on the current view of the table
   * expire.
   */
  Instant StartExpiry() const;
  bool MayStart(Instant aNow);
  void PlaceReady(Instant aNow);
  /** Returns the ready steps in their current placement order. */
  std::vector<ReadyKey> PlacementOrder();
  JobRank RankNow(const FleetJob& aJob, const FleetStep& aStep) const;
  bool PlaceStep(const ReadyKey& aKey, Instant aNow);

  // Order in an overload, and fair shares.
  struct OpenOccurrence;
  /** Updates the jobs that are selected to be in time, at intervals; at once if
   * a job came or ended in a shortage. */
  void UpdateSelection(Instant aNow);
  JobRank RankInOverload(JobRank aRank,
                         const FleetOccurrence& aOccurrence) const;
  std::map<WorkClass, std::vector<OpenOccurrence>> OpenWorkByClass(
    Instant aNow);
  OpenOccurrence DescribeOpen(const FleetJob& aJob,
                              std::uint32_t aNumber,
                              FleetOccurrence& aOccurrence,
                              Instant aNow);
  static double AddStep(const FleetStep& aStep,
                        double aTaskMs,
                        OpenOccurrence& aOpen,
                        Instant aNow);
  /** Estimates the processors that the class can use, of which it holds
   * aHeldCpuMilli; none if no worker is usable. */
  std::optional<double> ProcessorsFor(const WorkClass& aClass,
                                      std::int64_t aHeldCpuMilli,
                                      Instant aNow);
  void Select(const WorkClass& aClass,
              std::vector<OpenOccurrence>& aOpen,
              Instant aNow);
  std::vector<std::size_t> Apply(const InTimeSelection& aSelection,
                                 std::vector<OpenOccurrence>& aOpen);
  void RecordShortage(const WorkClass& aClass,
                      const std::vector<std::size_t>& aDeferred,
                      std::size_t aOpenJobs,
                      Instant aNow);
  void EndShortages(Instant aNow);
  std::string DescribeGroups(const Shortage& aShortage) const;
  void RankGroups(std::vector<OpenOccurrence>& aOpen);
  void AddFigures(const std::vector<OpenOccurrence>& aOpen);

  // Placement of steps.
  /** Whether a long-running step has only tasks that are deferred. */
  bool IsDeferred(JobEntry& aEntry, const FleetStep& aStep, Instant aNow);
  /** Records that a task of the step found no worker. */
  void RecordMiss(const FleetJob& aJob, const FleetStep& aStep, Instant aNow);
  bool MissesAgain(JobEntry& aEntry, const FleetStep& aStep, Instant aNow);
  /**
   * Places a task. If it fits on no worker, records and logs the miss, and
   * preempts runs or reserves a worker for it where the rules allow this.
   */
  bool PlaceOrMiss(JobEntry& aEntry,
                   FleetStep& aStep,
                   std::uint32_t aIndex,
                   Instant aNow);
  bool PlaceTask(JobEntry& aEntry,
                 FleetStep& aStep,
                 std::uint32_t aIndex,
                 Instant aNow);
  bool PlaceWithReservation(JobEntry& aEntry,
                            FleetStep& aStep,
                            std::uint32_t aIndex,
                            Instant aNow);
  void PlaceOn(std::size_t aOption,
               JobEntry& aEntry,
               FleetStep& aStep,
               std::uint32_t aIndex,
               Instant aNow);
  /**
   * Whether no task of the job has run for kStarvationTimeout although one was
   * ready; called in each pass in which that is so.
   */
  static bool IsStarving(JobEntry& aEntry, Instant aNow);
  bool PlaceStarving(JobEntry& aEntry,
                     FleetStep& aStep,
                     std::uint32_t aIndex,
                     Instant aNow);
  bool PlaceGang(JobEntry& aEntry, FleetStep& aStep, Instant aNow);
  /** Returns a worker for each member of the gang; none if any member finds
   * none. */
  std::vector<FleetWorker*> ChooseForGang(JobEntry& aEntry,
                                          FleetStep& aStep,
                                          std::uint32_t aRun,
                                          Instant aNow,
                                          bool aStarving = false);
  /** Returns the workers for a gang with a last attempt that has waited for
   * trusted workers for too long; none if it has not, or if it finds none. */
  std::vector<FleetWorker*> ChooseForStarvingGang(JobEntry& aEntry,
                                                  FleetStep& aStep,
                                                  std::uint32_t aRun,
                                                  Instant aNow);
  /** Collects the workers for the tasks of one step in options_. */
  void FillOptions(const FleetJob& aJob, const FleetStep& aStep, Instant aNow);
  /** Updates the option on which a task of the step was placed. */
  void UpdateOption(std::size_t aOption,
                    const FleetJob& aJob,
                    const FleetStep& aStep);
  /** Whether the task has failed before and its next failure fails the job. */
  static bool IsLastAttempt(const FleetJob& aJob,
                            const FleetStep& aStep,
                            const FleetTask& aTask);
  /** Returns the input to the choice of a worker for a task. aRack must outlive
   * the result. */
  ChoiceFacts FactsFor(const FleetJob& aJob,
                       const FleetStep& aStep,
                       const FleetTask& aTask,
                       std::string_view aRack,
                       Instant aNow) const;
  /** Returns the best of options_ for a task, or none if waiting is better. */
  std::optional<std::size_t> ChooseAmongOptions(const FleetJob& aJob,
                                                const FleetStep& aStep,
                                                const FleetTask& aTask,
                                                Instant aNow,
                                                bool aStarving = false) const;
  /**
   * Returns how well a backfill task fits beside the serving tasks of the
   * worker.
   */
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
  /** Run of a lower priority, with the name of its task. */
  struct PreemptibleRun
  {
    std::string task_;
    TaskRun* run_ = nullptr;
  };
  /** Runs to stop on one worker so that a task fits there. */
  struct PreemptionPlan
  {
    /** Runs that are already being stopped free enough resources. */
    bool inFlight_ = false;
    /** Enough resources are free once stops_ have ended. */
    bool sufficient_ = false;
    std::vector<PreemptibleRun> stops_;
  };
  /**
   * Preempts runs of lower priorities on the worker where the fewest have to
   * stop, and withholds all workers where that is possible from lower
   * priorities for the rest of the pass. Does nothing for backfill. Preempts
   * nothing if runs that are already being stopped free enough resources on a
   * worker.
   */
  void PreemptFor(const FleetJob& aJob,
                  const FleetStep& aStep,
                  const FleetTask& aTask,
                  Instant aNow);
  /** Whether all members of a gang fit on the targets in options_ once all work
   * that the priority may preempt has ended. */
  bool GangFits(const FleetStep& aStep,
                std::span<const std::size_t> aTargets,
                std::int64_t aPriority) const;
  PreemptionPlan PlanPreemption(FleetWorker& aWorker,
                                const FleetResources& aWanted,
                                std::int64_t aPriority);
  /** Returns the preemptible runs, those that lose the least work first. */
  std::vector<PreemptibleRun> Preemptible(FleetWorker& aWorker,
                                          std::int64_t aPriority);

  // Long-running tasks.
  /** Records the demand of one more occurrence of the job. */
  void RecordDemand(const FleetJob& aJob, Instant aNow);
  /**
   * Number of waiting tasks of the step that never ran and may start now; the
   * other ones of a long-running job are deferred in favor of short work. Logs
   * when that begins and ends.
   */
  std::size_t AdmissibleNewTasks(JobEntry& aEntry,
                                 const FleetStep& aStep,
                                 Instant aNow);
  /** Whether the task never ran, as far as this leader knows. */
  bool IsNew(const JobEntry& aEntry, const FleetTask& aTask) const;
  /**
   * CPU that started long-running jobs hold, or wait for, on the workers of the
   * service, in thousandths of a processor.
   */
  std::int64_t LongRunningCpuMilli(std::string_view aService) const;
  /** Total and used CPU of a service's workers on which tasks may start. */
  struct ServiceCapacity
  {
    std::int64_t cpuMilli_ = 0;
    std::int64_t usedCpuMilli_ = 0;
  };
  ServiceCapacity CapacityOfService(std::string_view aService) const;
  /** Start of the downtime of the task; none if it never ran. */
  std::optional<Instant> DowntimeStart(const JobEntry& aEntry,
                                       const FleetTask& aTask) const;
  /** Whether a task of the step that ran before waits for its restart. */
  bool HasRestarting(const JobEntry& aEntry, const FleetStep& aStep) const;
  /** Reserves the resources of a failed run until its task restarts. */
  void ReserveForRestart(FleetWorker& aWorker,
                         const TaskKey& aName,
                         TaskLocation& aPlace,
                         Instant aNow);
  void ReleaseReservation(const TaskKey& aName, FleetTask& aTask);
  /**
   * Whether the rate limits of the log permit an event on the task's wait now.
   */
  bool MayLogWait(FleetTask& aTask, Instant aNow);
  /**
   * Returns a text for the log on why a task of the step waits: the CPU that it
   * needs, the workers in options_ that may run it, and the capacity that is
   * free.
   */
  std::string DescribeWait(const JobEntry& aEntry,
                           const FleetStep& aStep,
                           Instant aNow) const;
  /** Logs why a long-running task that ran before still waits. */
  void LogLongRunningWait(const JobEntry& aEntry,
                          FleetStep& aStep,
                          std::uint32_t aIndex,
                          Instant aNow);
  void ReserveWorkerFor(const JobEntry& aEntry,
                        const FleetStep& aStep,
                        const FleetTask& aTask,
                        Instant aNow);

  // Load.
  using LoadKey = std::pair<std::string, std::int64_t>;
  struct OpenLoad
  {
    double work_ = 0;
    /** Tasks wait for capacity that any worker could offer. */
    bool waiting_ = false;
  };
  bool MeasuresLoad() const;
  /** Updates the learned rates and the digest; rate-limited. */
  void UpdateLoad(Instant aNow);
  void AddLoad(const JobEntry& aEntry,
               std::map<LoadKey, OpenLoad>& aLoads,
               Instant aNow) const;
  /** Work of one task of the step, in processor-ms. */
  double TaskWork(const FleetJob& aJob, const FleetStep& aStep) const;
  /** Whether an idle worker of the service could run a task of the step. */
  bool FitsAnyWorker(std::string_view aService, const StepSpec& aStep) const;
  static bool WaitsForCapacity(const FleetJob& aJob,
                               const FleetStep& aStep,
                               Instant aNow);
  void LearnCompletion(const FleetJob& aJob,
                       const FleetStep& aStep,
                       const TaskRun& aRun,
                       Instant aNow);

  // Maintenance of runs.
  void OrderStop(const std::string& aNode,
                 const std::string& aTask,
                 TaskRun& aRun,
                 std::string_view aWhy);
  /** Sets the deadline for the worker's answer to a start that its side has
   * reported. */
  static void ExpectAnswer(const FleetWorker& aWorker, TaskRun& aRun);
  void MaintainRuns(FleetWorker& aWorker, Instant aNow);
  void MaintainRun(FleetWorker& aWorker,
                   const TaskKey& aName,
                   TaskLocation& aPlace,
                   TaskRun& aRun,
                   Instant aNow);
  /**
   * Stops a run on a draining worker if the run would not end before the worker
   * leaves. Runs of long-running tasks stop at once, those of gangs never.
   */
  void StopOnDraining(FleetWorker& aWorker,
                      const TaskKey& aName,
                      TaskLocation& aPlace,
                      TaskRun& aRun,
                      Instant aNow);

  // Serving tasks beside backfill.
  struct SharingRun;
  std::vector<SharingRun> SharingRuns(FleetWorker& aWorker);
  void MonitorServing(FleetWorker& aWorker, Instant aNow);
  /** Share of their declared CPU that the serving tasks use at most, by the
   * learned load of their jobs; none without serving tasks. */
  std::optional<double> ServingUseShare(
    std::span<const SharingRun> aRuns) const;
  void UpdateReportRate(FleetWorker& aWorker, bool aHasServing);
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

  // Paces that sides set while they have no leader.
  /** Determines whether sides pace locally, from the protocol of the workers
   * that have reported. */
  void UpdateLocalPacing();
  /** Adds the role of a run to the next orders of its worker, if the run serves
   * or is backfill. */
  void AddProfile(FleetWorker& aWorker,
                  const std::string& aTask,
                  std::uint32_t aRun,
                  const StepSpec& aStep);
  /** Adds the profiles of all runs on the worker to its next orders, once a
   * link. */
  void AddAllProfiles(FleetWorker& aWorker);
  /** Takes over the pace of a run of backfill that its side reports. */
  void ApplyReportedPace(const FleetWorker& aWorker,
                         TaskRun& aRun,
                         const RunStatus& aFact,
                         bool aAdopted,
                         Instant aNow);
  /** Returns the longest interval between orders to the worker's side. */
  Millis OrderPeriod(const FleetWorker& aWorker) const;

  /**
   * Expected time from a stop of the run until a run elsewhere has completed
   * the task, in ms: the stop, and the work that its checkpoint does not cover.
   */
  double ExpectedMillisElsewhere(const FleetJob& aJob,
                                 const FleetStep& aStep,
                                 const TaskRun& aRun) const;
  /**
   * Expected duration of a task of the step: the average of its tasks that have
   * completed, or the duration of tasks of its queue with the same estimate.
   */
  double ExpectedMillis(const FleetJob& aJob, const FleetStep& aStep) const;
  void LearnDuration(FleetWorker& aWorker,
                     const FleetJob& aJob,
                     FleetStep& aStep,
                     const TaskRun& aRun,
                     Instant aNow);

  FleetOrders& OrdersFor(FleetWorker& aWorker);
  void LogEvent(std::string_view aEvent,
                std::string aTask,
                std::string aNode,
                std::string aDetail = {});

  std::uint64_t epoch_;
  std::uint32_t firstRun_;
  FleetBounds bounds_;
  std::unordered_map<std::string, JobEntry> jobs_;
  /** Cancellations whose job is not known, with the times until which they are
   * kept. */
  std::map<std::string, Instant> earlyCancels_;
  std::set<ReadyKey> ready_;
  /** Due times of the next occurrences of timed jobs, in ms since 1970. */
  std::set<std::pair<std::int64_t, std::string>> due_;
  std::map<std::string, FleetWorker> workers_;
  std::map<std::string, FleetOrders> orders_;
  std::set<std::string> changed_;
  /** Number of the batch that the next TakeBatch() returns. */
  std::uint64_t nextBatch_ = 1;
  /** Jobs of the batch that is being stored. */
  std::set<std::string> storing_;
  bool loaded_ = false;
  Instant loadedAt_;
  /** End of the lease of a former leader that may still send orders; zero if
   * there is none. */
  Instant formerLeaseEnd_;
  /** See OnOnlyLeaderUntil(). */
  Instant onlyLeaderUntil_ = Instant::max();
  /** All changes stored before this time are known. */
  Instant tableAsOf_;
  EvacuationView evacuations_;
  /** Starts are withheld because the view of the table is too old. */
  bool startsWithheld_ = false;
  /** Ends that the sides listed to this leader; none once all sides have
   * reported. */
  std::optional<TakeoverSummary> takeover_;
  /** The log reports that old work waits for sides. */
  bool deferralLogged_ = false;
  /** Sides pace backfill locally, and this leader follows the paces that they
   * report; see FleetFeatures::localPacing_. */
  bool localPacing_ = false;
  std::int64_t wallMs_ = 0;
  WorkerHealth health_;
  BackfillInterference interference_;
  DurationModel durations_;
  CompletionRate completions_;
  LoadDigest digest_;
  std::uint32_t entryCount_ = 1;
  Instant nextDigestAt_;
  /** Services and priorities with a backlog. */
  std::set<LoadKey> backlogs_;
  WorkerReservations reservations_;
  LongRunningLimit longRunningAdmission_;
  PlacementMisses misses_;
  OverloadState overload_;
  std::vector<FleetEvent> events_;
  /**
   * Number of events of LogLongRunningWait() in the current period, and the end
   * of that period.
   */
  std::size_t loggedWaits_ = 0;
  Instant waitLogPeriodEnd_;
  std::uint64_t workerScans_ = 0;
  /** Scratch buffer of a placement; kept to avoid allocations. */
  std::vector<WorkerOption> options_;
};

}
