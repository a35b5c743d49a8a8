// FleetScheduler: serving tasks beside backfill: learns the interference from
// measured latencies and sets the pace of backfill.

#include "Process/FleetScheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactusrail {

namespace {

/**
 * Time that a serving task may exceed its objective, for any cause, before all
 * backfill beside it is paused until it recovers. Limits harm that the learned
 * costs do not predict to less than the 4 s that users accept.
 */
constexpr Millis kOverloadTimeout{ 1800 };
/**
 * Pressure, the highest ratio of latency to objective among the serving tasks
 * of a worker, below which paused backfill on that worker resumes.
 */
constexpr double kRecoveredPressure = 0.75;
/**
 * Maximum number of workers under high-frequency reporting in a fleet of any
 * size, because each costs the leader four reports per second.
 */
constexpr std::ptrdiff_t kMaxHighFrequencyWorkers = 20;
/**
 * Pressure above which a worker is under high-frequency reporting even if
 * kMaxHighFrequencyWorkers others are.
 */
constexpr double kHighPressure = 0.75;
/**
 * Runtime after which the CPU usage of a backfill run is a valid measurement;
 * usage is measured over half a second.
 */
constexpr Millis kMinUsageSample{ 900 };
/** Weight of the newest sample in the CPU share that backfill gets. */
constexpr double kShareWeight = 0.2;
/** Weight with which that share returns to 1 while no usage is measured. */
constexpr double kShareDecay = 0.1;

/** Interval ahead for which the CPU use of serving tasks is predicted. */
constexpr Millis kServingUseHorizon{ 500 };

/** Granularity of ordered paces in percent; a finer one costs more orders. */
constexpr std::uint32_t kPaceStep = 10;
constexpr std::uint32_t kFullPace = 100;
/** Lowest pace of a run that would otherwise starve. */
constexpr std::uint32_t kMinPace = 5;
/**
 * Backfill below this pace for kSlowPaceTimeout moves, with its checkpoint, if
 * it can run at least twice as fast elsewhere.
 */
constexpr std::uint32_t kSlowPace = 40;
constexpr Millis kSlowPaceTimeout{ 1200 };
/**
 * Progress in percent that a move of a task without checkpoints may discard.
 */
constexpr std::uint32_t kMaxDiscardedPercent = 20;

std::uint32_t
PaceOf(double aSpeed)
{
  const auto steps = static_cast<std::uint32_t>(
    std::floor(std::clamp(aSpeed, 0.0, 1.0) * 100 / kPaceStep));
  return steps * kPaceStep;
}

}

/** Run on a worker, with its task and the resources it holds. */
struct FleetScheduler::SharingRun
{
  std::string name_;
  const TaskResources* room_ = nullptr;
  TaskLocation place_;
  TaskRun* run_ = nullptr;
};

std::vector<FleetScheduler::SharingRun>
FleetScheduler::SharingRuns(FleetWorker& aWorker)
{
  std::vector<SharingRun> runs;
  for (const auto& [key, room] : aWorker.held_) {
    if (!room.serves_ && room.backfillCpuMilli_ == 0) {
      continue;
    }
    const auto name = TaskKey::Parse(key.first);
    const auto place = name.has_value() ? Find(*name) : std::nullopt;
    if (!place.has_value()) {
      continue;
    }
    for (TaskRun& run : place->task_->runs_) {
      if (run.run_ == key.second && run.node_ == aWorker.node_ &&
          run.reported_) {
        runs.push_back({ key.first, &room, *place, &run });
      }
    }
  }
  return runs;
}

void
FleetScheduler::MonitorServing(FleetWorker& aWorker, Instant aNow)
{
  const std::vector<SharingRun> runs = SharingRuns(aWorker);
  std::vector<BackfillSample> backfill;
  double asked = 0;
  double used = 0;
  aWorker.servingSamples_.clear();
  aWorker.pressure_ = 0;
  for (const SharingRun& one : runs) {
    const StepSpec& spec = *one.place_.step_->spec_;
    const TaskRun& run = *one.run_;
    if (!one.room_->serves_) {
      backfill.push_back({ spec.image_,
                           aWorker.TenthsOf(spec.cpuMilli_),
                           run.PaceInForce() / 100.0 });
      if (aNow - run.startedAt_ > kMinUsageSample && run.PaceInForce() == 100 &&
          run.measure_ > 0) {
        asked += static_cast<double>(spec.cpuMilli_);
        used += static_cast<double>(run.measure_);
      }
    } else if (run.percent_ >= 100) {
      const double pressure = static_cast<double>(run.measure_) /
                              static_cast<double>(spec.latencyObjectiveMs_);
      aWorker.pressure_ = std::max(aWorker.pressure_, pressure);
      aWorker.servingSamples_.push_back(
        { one.name_ + "/" + std::to_string(run.run_),
          one.room_->job_,
          spec.image_,
          pressure });
    }
  }
  const double share = asked > 0 ? std::min(1.0, used / asked) : 1;
  aWorker.backfillShare_ +=
    (asked > 0 ? kShareWeight : kShareDecay) * (share - aWorker.backfillShare_);
  interference_.Record(aWorker.node_, backfill, aNow);
  interference_.Measure(
    aWorker.node_, aWorker.servingSamples_, aWorker.measuredAt_);
  aWorker.servingUseShare_ = ServingUseShare(runs);
  aWorker.fits_.clear();
  UpdateReportRate(aWorker, !aWorker.servingSamples_.empty());
  PauseBackfill(aWorker, runs, aNow);
  if (!aWorker.backfillPaused_) {
    PaceBackfill(aWorker, runs, aNow);
  }
}

std::optional<double>
FleetScheduler::ServingUseShare(std::span<const SharingRun> aRuns) const
{
  double declared = 0;
  double used = 0;
  for (const SharingRun& one : aRuns) {
    if (one.room_->serves_) {
      const auto cpu = static_cast<double>(one.room_->room_.cpuMilli_);
      const double load =
        interference_.Model().LoadWithin(one.room_->job_, kServingUseHorizon);
      declared += cpu;
      used += cpu * std::min(1.0, load);
    }
  }
  return declared > 0 ? std::optional(used / declared) : std::nullopt;
}

void
FleetScheduler::UpdateReportRate(FleetWorker& aWorker, bool aHasServing)
{
  aWorker.highFrequency_ = false;
  if (!aHasServing) {
    return;
  }
  const auto watched =
    std::count_if(workers_.begin(), workers_.end(), [](const auto& aEntry) {
      return aEntry.second.highFrequency_;
    });
  aWorker.highFrequency_ =
    watched < kMaxHighFrequencyWorkers || aWorker.pressure_ > kHighPressure;
}

void
FleetScheduler::PauseBackfill(FleetWorker& aWorker,
                              std::span<const SharingRun> aRuns,
                              Instant aNow)
{
  std::map<std::string, Instant> over;
  bool pause = false;
  for (const ServingSample& sample : aWorker.servingSamples_) {
    if (sample.pressure_ <= 1) {
      continue;
    }
    const auto known = aWorker.overObjectiveSince_.find(sample.run_);
    const Instant since =
      known == aWorker.overObjectiveSince_.end() ? aNow : known->second;
    over.emplace(sample.run_, since);
    pause = pause || aNow - since > kOverloadTimeout;
  }
  aWorker.overObjectiveSince_ = std::move(over);
  if (!aWorker.backfillPaused_ && pause && aWorker.backfillCpuMilli_ > 0) {
    aWorker.backfillPaused_ = true;
    LogEvent("backfill-paused",
             {},
             aWorker.node_,
             "pressure " + std::to_string(aWorker.pressure_));
    for (const SharingRun& one : aRuns) {
      if (!one.room_->serves_) {
        SetPace(aWorker, one, 0, aNow);
      }
    }
  } else if (aWorker.backfillPaused_ &&
             aWorker.pressure_ < kRecoveredPressure) {
    aWorker.backfillPaused_ = false;
    LogEvent("backfill-resumed",
             {},
             aWorker.node_,
             "pressure " + std::to_string(aWorker.pressure_));
  }
}

void
FleetScheduler::PaceBackfill(FleetWorker& aWorker,
                             std::span<const SharingRun> aRuns,
                             Instant aNow)
{
  std::vector<const SharingRun*> paced;
  std::vector<BackfillSample> backfill;
  for (const SharingRun& one : aRuns) {
    if (!one.room_->serves_ && one.run_->phase_ != RunPhase::Stopping) {
      paced.push_back(&one);
      backfill.push_back({ one.room_->image_,
                           aWorker.TenthsOf(one.room_->backfillCpuMilli_),
                           one.run_->PaceInForce() / 100.0 });
    }
  }
  if (paced.empty()) {
    return;
  }
  const std::vector<double> speeds =
    interference_.Speeds(aWorker.servingSamples_, backfill);
  for (std::size_t i = 0; i < paced.size(); ++i) {
    TaskRun& run = *paced[i]->run_;
    const std::uint32_t minPace = run.starving_ ? kMinPace : 0;
    const std::uint32_t pace = std::max(minPace, PaceOf(speeds[i]));
    if (pace != run.pace_ || run.paceOrderDue_) {
      SetPace(aWorker, *paced[i], pace, aNow);
    }
    MoveIfSlow(aWorker, *paced[i], aNow);
  }
}

void
FleetScheduler::SetPace(FleetWorker& aWorker,
                        const SharingRun& aRun,
                        std::uint32_t aPace,
                        Instant aNow)
{
  TaskRun& run = *aRun.run_;
  if (run.pace_ != aPace) {
    run.pace_ = aPace;
    run.everThrottled_ = true;
    // Progress at the new pace is evaluated from this time on.
    run.progressAt_ = aNow;
    run.firstReportAt_ = aNow;
    run.firstPercent_ = run.percent_;
  }
  run.paceOrderDue_ = false;
  run.paceSequence_ = aWorker.ordersSent_ + 1;
  OrdersFor(aWorker).paces_.push_back({ aRun.name_, run.run_, aPace });
}

void
FleetScheduler::StartAtPace(FleetWorker& aWorker,
                            const JobEntry& aEntry,
                            FleetStep& aStep,
                            std::uint32_t aIndex,
                            double aSpeed)
{
  // If all backfill on the worker is paused, the new run is paused too, until
  // PaceBackfill resumes it with the others.
  const std::uint32_t pace =
    aWorker.backfillPaused_ ? 0 : std::max(kMinPace, PaceOf(aSpeed));
  if (pace >= kFullPace) {
    return;
  }
  // The first report arrives half a second later. Until then the run would work
  // at full speed, and several runs that start together would interfere at
  // once.
  TaskRun& run = aStep.tasks_[aIndex].runs_.back();
  run.pace_ = pace;
  run.everThrottled_ = true;
  run.paceSequence_ = aWorker.ordersSent_ + 1;
  const TaskKey name{
    aEntry.job_->Spec().id_, aStep.occurrence_, aStep.index_, aIndex
  };
  OrdersFor(aWorker).paces_.push_back({ name.Text(), run.run_, pace });
}

void
FleetScheduler::MoveIfSlow(FleetWorker& aWorker,
                           const SharingRun& aRun,
                           Instant aNow)
{
  TaskRun& run = *aRun.run_;
  if (run.pace_ >= kSlowPace) {
    run.slowSince_.reset();
    return;
  }
  run.slowSince_ = run.slowSince_.value_or(aNow);
  const bool preservesWork = aRun.place_.step_->spec_->checkpoints_ ||
                             run.percent_ <= kMaxDiscardedPercent;
  if (aNow - *run.slowSince_ < kSlowPaceTimeout || !preservesWork) {
    return;
  }
  const FleetJob& job = *aRun.place_.entry_->job_;
  FillOptions(job, *aRun.place_.step_, aNow);
  std::erase_if(options_, [&](const WorkerOption& aOption) {
    return aOption.worker_ == &aWorker ||
           aOption.fit_.speed_ * 100 < 2 * static_cast<double>(run.pace_);
  });
  if (ChooseAmongOptions(job, *aRun.place_.step_, *aRun.place_.task_, aNow)
        .has_value()) {
    OrderStop(aWorker.node_,
              aRun.name_,
              run,
              "it can work only at " + std::to_string(run.pace_) +
                " percent on this worker");
  }
}

}
