#pragma once

#include "Process/Instant.h"
#include "Version/Configuration.h"
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

/** A running task as the reaction sees it. */
struct RunningTask
{
  std::string taskId_;
  std::string program_;
  Resources declared_;
  /** Part of its full speed that it may use now; 1 is unthrottled. */
  double throttle_ = 1;
  bool urgent_ = false;
  /** Losing its progress risks a lost or doubled payment. */
  bool payout_ = false;
  bool canCheckpoint_ = false;
  /** Its progress up to now is safe, or there is none yet. */
  bool checkpointed_ = false;
  /** A move or an eviction of it is under way. */
  bool leaving_ = false;
  Instant startedAt_;
};

/** A worker and what presses on it. */
struct PressedWorker
{
  std::string workerId_;
  Resources capacity_;
  Resources reserved_;
  /** Part of the runner's slots that were busy, as last reported. */
  double urgentLoad_ = 0;
  /** Mean latency of urgent work there, as last reported, and of how many. */
  double latencyMicros_ = 0;
  double samples_ = 0;
  Instant measuredAt_;
  bool setAside_ = false;
  std::span<const RunningTask> tasks_;
};

enum class ReactionKind : std::uint8_t
{
  Throttle,
  Restore,
  /** Checkpoint it, stop it, place it again. */
  Move,
  Evict,
};

/** One step that the reaction asks for. */
struct ReactionStep
{
  ReactionKind kind_ = ReactionKind::Throttle;
  std::size_t worker_ = 0;
  std::size_t task_ = 0;
  /** The new part of full speed, for Throttle and Restore. */
  double throttle_ = 1;
};

/**
 * Answers pressure on urgent work: throttle first, then move by checkpoint,
 * then evict, each at the price that the deployment's weights give it. Pure;
 * one per scheduler.
 */
class Reaction
{
public:
  struct Rules
  {
    /**
     * Urgent work may be slowed this much at half load if tail latency and
     * batch work weigh the same; less the more tail latency weighs. At other
     * loads it is what queueing makes of it: less on a busy runner, more on an
     * idle one.
     */
    double allowedSlowdown_ = 0.8;
    /** Throttles are released below this part of it; the gap is hysteresis. */
    double releasePart_ = 0.7;
    double deepestThrottle_ = 0.25;
    /** A worker is left alone this long after a step, as reports are late. */
    Millis settle_{ 1500 };
    /** Pressure that no throttle ended must last this long before a move. */
    Millis patience_{ 6000 };
    Millis evictionPeriod_{ 60000 };
    std::size_t evictionsPerPeriod_ = 2;
  };

  Reaction(const Rules& aRules, const PolicyWeights& aWeights);

  /** The steps to take now; the caller carries out all of them. */
  std::vector<ReactionStep> Decide(std::span<const PressedWorker> aWorkers,
                                   const InterferenceModel& aModel,
                                   InterferenceModel::Program aVictim,
                                   Instant aNow);

  /** The steps that make room for an urgent task, all on one worker. */
  std::vector<ReactionStep> MakeRoom(const Resources& aSize,
                                     std::span<const PressedWorker> aWorkers,
                                     Instant aNow);

private:
  struct WorkerMemory
  {
    /** Smoothed over reports; one report of a short second is mostly noise. */
    double slowdown_ = 1;
    Instant measuredAt_;
    std::optional<Instant> pressedSince_;
    /** Left alone until then. */
    Instant settledAt_;
  };

  struct Candidate
  {
    std::size_t task_ = 0;
    /** Slowdown that it adds unthrottled. */
    double cost_ = 0;
    /** The same for each of its processors: relief beside work lost. */
    double density_ = 0;
  };

  double PriceOfRemoval(const RunningTask& aTask) const;
  static ReactionStep RemovalOf(std::size_t aWorker,
                                std::size_t aIndex,
                                const RunningTask& aTask);
  std::size_t EvictionsLeft(Instant aNow);
  /** Slowdown beyond 1 that is allowed at this load. */
  double AllowedAt(double aLoad) const;
  void Observe(WorkerMemory& aMemory,
               const PressedWorker& aWorker,
               const InterferenceModel& aModel,
               InterferenceModel::Program aVictim) const;
  void Relieve(std::vector<ReactionStep>& aSteps,
               std::size_t aIndex,
               const PressedWorker& aWorker,
               std::span<const Candidate> aCandidates,
               double aExcess,
               WorkerMemory& aMemory,
               Instant aNow);
  void Remove(std::vector<ReactionStep>& aSteps,
              std::size_t aIndex,
              const PressedWorker& aWorker,
              std::span<const Candidate> aCandidates,
              double aExcess,
              WorkerMemory& aMemory,
              Instant aNow);
  void Release(std::vector<ReactionStep>& aSteps,
               std::size_t aIndex,
               const PressedWorker& aWorker,
               std::span<const Candidate> aCandidates,
               double aRoom,
               WorkerMemory& aMemory,
               Instant aNow) const;

  Rules rules_;
  PolicyWeights weights_;
  std::unordered_map<std::string, WorkerMemory> workers_;
  std::deque<Instant> evictions_;
};

}
