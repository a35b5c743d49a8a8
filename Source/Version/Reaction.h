#pragma once

#include "Version/Configuration.h"
#include "Version/Instant.h"
#include "Version/InterferenceModel.h"
#include "Version/WorkRecords.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactusrail {

/** A running task as input to Reaction. */
struct RunningTask
{
  std::string taskId_;
  std::string program_;
  Resources declared_;
  /** Share of its full speed that the task may use; 1 is unthrottled. */
  double throttle_ = 1;
  bool urgent_ = false;
  /** Loss of its progress may cause a lost or duplicate payment. */
  bool payout_ = false;
  bool canCheckpoint_ = false;
  /** All progress is in a checkpoint, or there is none yet. */
  bool checkpointed_ = false;
  /** A move or an eviction of the task is in flight. */
  bool leaving_ = false;
  Instant startedAt_;
};

/** A worker with the load and latency of its urgent work. */
struct WorkerPressure
{
  std::string workerId_;
  Resources capacity_;
  Resources reserved_;
  /** Share of the runner's slots that were busy in the latest report. */
  double urgentLoad_ = 0;
  /** Mean latency of urgent work in the latest report, and its sample count. */
  double latencyMicros_ = 0;
  double samples_ = 0;
  Instant measuredAt_;
  bool cordoned_ = false;
  std::span<const RunningTask> tasks_;
};

enum class ReactionKind : std::uint8_t
{
  Throttle,
  Restore,
  /** Checkpoint the task, stop it and place it again. */
  Move,
  Evict,
};

/** One action for the caller to carry out. */
struct ReactionStep
{
  ReactionKind kind_ = ReactionKind::Throttle;
  std::size_t worker_ = 0;
  std::size_t task_ = 0;
  /** New share of full speed, for Throttle and Restore. */
  double throttle_ = 1;
};

/**
 * Relieves urgent work that batch work slows down: throttles batch tasks first,
 * then moves them by checkpoint, then evicts them, each at the price set by the
 * deployment's weights. Does no I/O and reads no clock; one per scheduler.
 */
class Reaction
{
public:
  struct Rules
  {
    /**
     * Allowed slowdown of urgent work at half load if tail latency and batch
     * throughput have equal weights; a higher weight of tail latency lowers the
     * allowance. It scales with (1 - load) / load, as queueing does: smaller on
     * a busy runner, larger on an idle one.
     */
    double allowedSlowdown_ = 0.8;
    /** Share of the allowed slowdown below which throttles are released; the
     * gap is hysteresis. */
    double releaseShare_ = 0.7;
    double minThrottle_ = 0.25;
    /** Time without further steps on a worker after a step, because reports are
     * delayed. */
    Millis settleTime_{ 1500 };
    /** Time for which an excessive slowdown must persist, with all throttles
     * applied, before a move or an eviction. */
    Millis pressureTimeout_{ 6000 };
    Millis evictionPeriod_{ 60000 };
    std::size_t evictionsPerPeriod_ = 2;
  };

  Reaction(const Rules& aRules, const PolicyWeights& aWeights);

  /** Returns the steps to take now; the caller must carry out all of them. */
  std::vector<ReactionStep> Decide(std::span<const WorkerPressure> aWorkers,
                                   const InterferenceModel& aModel,
                                   InterferenceModel::Program aVictim,
                                   Instant aNow);

  /** Returns the steps that free capacity for an urgent task, all on one
   * worker; empty if none are needed or possible. The evictions count as
   * carried out. */
  std::vector<ReactionStep> FreeCapacity(
    const Resources& aSize,
    std::span<const WorkerPressure> aWorkers,
    Instant aNow);

private:
  struct WorkerState
  {
    /** Smoothed over reports, because a single one covers about a second and is
     * mostly noise. */
    double slowdown_ = 1;
    Instant measuredAt_;
    std::optional<Instant> excessSince_;
    /** Time before which no further steps are taken. */
    Instant nextStepAt_;
  };

  struct Candidate
  {
    std::size_t task_ = 0;
    /** Slowdown that the unthrottled task adds. */
    double cost_ = 0;
    /** cost_ per processor: the relief relative to the work lost. */
    double costPerCore_ = 0;
  };

  double PriceOfRemoval(const RunningTask& aTask) const;
  static ReactionStep RemovalOf(std::size_t aWorker,
                                std::size_t aIndex,
                                const RunningTask& aTask);
  std::size_t EvictionsLeft(Instant aNow);
  /** Returns the slowdown beyond 1 that is allowed at this load. */
  double AllowedAt(double aLoad) const;
  void Observe(WorkerState& aState,
               const WorkerPressure& aWorker,
               const InterferenceModel& aModel,
               InterferenceModel::Program aVictim) const;
  /** Adds steps that throttle batch tasks on the worker until the excess is
   * covered. If no task can be throttled further and the excess persists for
   * pressureTimeout_, Remove() is called. */
  void Relieve(std::vector<ReactionStep>& aSteps,
               std::size_t aIndex,
               const WorkerPressure& aWorker,
               std::span<const Candidate> aCandidates,
               double aExcess,
               WorkerState& aState,
               Instant aNow);
  /** Adds the cheapest move or eviction whose price does not exceed the harm of
   * the excess, if there is one. */
  void Remove(std::vector<ReactionStep>& aSteps,
              std::size_t aIndex,
              const WorkerPressure& aWorker,
              std::span<const Candidate> aCandidates,
              double aExcess,
              WorkerState& aState,
              Instant aNow);
  /** Adds steps that restore throttled tasks, the one with the lowest cost per
   * processor first, as far as the allowance covers their cost. */
  void Release(std::vector<ReactionStep>& aSteps,
               std::size_t aIndex,
               const WorkerPressure& aWorker,
               std::span<const Candidate> aCandidates,
               double aAllowance,
               WorkerState& aState,
               Instant aNow) const;

  Rules rules_;
  PolicyWeights weights_;
  std::unordered_map<std::string, WorkerState> workers_;
  std::deque<Instant> evictions_;
};

}
