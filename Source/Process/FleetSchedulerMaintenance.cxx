// FleetScheduler: maintenance of runs: stalled runs, slow and draining workers.

#include "Process/FleetScheduler.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

/**
 * Time without progress after which a run counts as stalled. Sides report every
 * half second, and one percent of the longest task takes less than that.
 */
constexpr Millis kStallTimeout{ 1600 };

/**
 * Time without an answer of the worker, counted from the first report that
 * lists the start, after which a start is withdrawn.
 */
constexpr Millis kStartTimeout{ 3000 };

/**
 * Time for which a worker with a stalled run or an unanswered start gets no new
 * tasks.
 */
constexpr Millis kStallPause{ 5000 };

/** Time after which the speed of a run is evaluated. */
constexpr Millis kMinRateSample{ 700 };

/**
 * Ratio of the remaining time here to the expected time elsewhere, with the
 * cost of the move, above which a run moves.
 */
constexpr double kMoveFactor = 2;
/**
 * Maximum number of moves of one task because it stalls or is slow; a worker is
 * not at fault for a task that is slow everywhere. Moves for other reasons,
 * such as a draining worker, do not count.
 */
constexpr std::uint32_t kMaxMoves = 2;

/** Weight of the newest sample in the slowness of a worker. */
constexpr double kSlownessWeight = 0.25;
/** Weight with which the slowness of a worker returns to 1 at each report. */
constexpr double kSlownessDecay = 0.05;

}

void
FleetScheduler::OrderStop(const std::string& aNode,
                          const std::string& aTask,
                          TaskRun& aRun,
                          std::string_view aWhy)
{
  const auto found = workers_.find(aNode);
  if (aRun.phase_ == RunPhase::Stopping || found == workers_.end()) {
    return;
  }
  aRun.phase_ = RunPhase::Stopping;
  aRun.orderSequence_ = found->second.ordersSent_ + 1;
  OrdersFor(found->second).stops_.push_back({ aTask, aRun.run_ });
  LogEvent("run-stopped",
           aTask,
           aNode,
           "run " + std::to_string(aRun.run_) + ": " + std::string(aWhy));
}

/**
 * The deadline is a time of the side's clock. By the leader's clock, reports
 * that waited for a busy leader would look like silence of the worker.
 */
void
FleetScheduler::ExpectAnswer(const FleetWorker& aWorker, TaskRun& aRun)
{
  if (!aRun.answerDueMicros_.has_value()) {
    aRun.answerDueMicros_ =
      aWorker.echoMicros_ +
      static_cast<std::uint64_t>(Micros(kStartTimeout).count());
  }
}

double
FleetScheduler::ExpectedMillis(const FleetJob& aJob,
                               const FleetStep& aStep) const
{
  if (aStep.timed_ > 0) {
    return aStep.micros_ / 1000 / static_cast<double>(aStep.timed_);
  }
  return durations_.ExpectedMillis(aJob.Spec().queue_,
                                   aStep.spec_->estimateMs_);
}

double
FleetScheduler::ExpectedMillisElsewhere(const FleetJob& aJob,
                                        const FleetStep& aStep,
                                        const TaskRun& aRun) const
{
  const double whole = ExpectedMillis(aJob, aStep);
  const auto stop = static_cast<double>(bounds_.stopTime_.count());
  if (!aStep.spec_->checkpoints_) {
    return stop + whole;
  }
  const auto restore = static_cast<double>(bounds_.restoreTime_.count());
  const double lost =
    static_cast<double>(bounds_.checkpointInterval_.count()) / 2;
  const double left = whole * (100.0 - aRun.percent_) / 100;
  return stop + std::min(whole, restore + lost + left);
}

void
FleetScheduler::LearnDuration(FleetWorker& aWorker,
                              const FleetJob& aJob,
                              FleetStep& aStep,
                              const TaskRun& aRun,
                              Instant aNow)
{
  const double part = 1 - static_cast<double>(aRun.firstPercent_) / 100;
  if (part < 0.3 || aStep.spec_->estimateMs_ <= 0 || aRun.everThrottled_) {
    return;
  }
  const double micros =
    static_cast<double>((aNow - aRun.startedAt_).count()) / part;
  const double expected = 1000 * ExpectedMillis(aJob, aStep);
  aStep.micros_ += micros;
  ++aStep.timed_;
  durations_.OnTaskDuration(aJob.Spec().queue_,
                            aStep.spec_->estimateMs_,
                            micros / 1000,
                            1 / static_cast<double>(aStep.tasks_.size()));
  const double slowness = std::clamp(micros / expected, 0.5, 10.0);
  aWorker.slowness_ += kSlownessWeight * (slowness - aWorker.slowness_);
  aWorker.slowness_ = std::max(1.0, aWorker.slowness_);
}

void
FleetScheduler::MaintainRuns(FleetWorker& aWorker, Instant aNow)
{
  aWorker.slowness_ += kSlownessDecay * (1 - aWorker.slowness_);
  std::vector<std::pair<std::string, std::uint32_t>> keys;
  for (const auto& [key, room] : aWorker.held_) {
    keys.push_back(key);
  }
  for (const auto& [task, number] : keys) {
    const auto name = TaskKey::Parse(task);
    std::optional<TaskLocation> place =
      name.has_value() ? Find(*name) : std::nullopt;
    if (!place.has_value()) {
      continue;
    }
    for (TaskRun& run : place->task_->runs_) {
      if (run.run_ != number || run.node_ != aWorker.node_) {
        continue;
      }
      WithdrawFromEvacuated(aWorker, task, run, aNow);
      if (run.phase_ == RunPhase::Ordered && run.answerDueMicros_.has_value() &&
          aWorker.echoMicros_ > *run.answerDueMicros_) {
        aWorker.cordonedUntil_ = aNow + kStallPause;
        place->task_->avoid_.push_back(aWorker.node_);
        OrderStop(aWorker.node_, task, run, "its start got no answer");
      } else if (run.phase_ == RunPhase::Running) {
        MaintainRun(aWorker, *name, *place, run, aNow);
      }
    }
  }
  MonitorServing(aWorker, aNow);
}

void
FleetScheduler::MaintainRun(FleetWorker& aWorker,
                            const TaskKey& aName,
                            TaskLocation& aPlace,
                            TaskRun& aRun,
                            Instant aNow)
{
  const StepSpec& spec = *aPlace.step_->spec_;
  FleetTask& task = *aPlace.task_;
  if (aWorker.facts_.draining_) {
    StopOnDraining(aWorker, aName, aPlace, aRun, aNow);
    return;
  }
  if (!aRun.reported_ || spec.gang_ || aRun.PaceInForce() < 100 ||
      (spec.longRunning_ && aRun.percent_ >= 100)) {
    return;
  }
  if (aNow - aRun.progressAt_ > kStallTimeout && task.moves_ < kMaxMoves) {
    aWorker.cordonedUntil_ = aNow + kStallPause;
    ++task.moves_;
    task.avoid_.push_back(aWorker.node_);
    OrderStop(aWorker.node_, aName.Text(), aRun, "it makes no progress");
    return;
  }
  const double elapsed =
    static_cast<double>((aNow - aRun.firstReportAt_).count());
  const double gainedPercent = static_cast<double>(aRun.percent_) -
                               static_cast<double>(aRun.firstPercent_);
  if (spec.longRunning_ || aNow - aRun.firstReportAt_ < kMinRateSample ||
      gainedPercent < 2 || task.moves_ >= kMaxMoves) {
    return;
  }
  const FleetStep& step = *aPlace.step_;
  const bool siblings = step.timed_ > 0;
  const FleetJob& job = *aPlace.entry_->job_;
  const double expectedMicros = 1000 * ExpectedMillis(job, step);
  const double elsewhereMicros =
    1000 * ExpectedMillisElsewhere(job, step, aRun);
  const double remainingMicros =
    elapsed / gainedPercent * (100.0 - aRun.percent_);
  const bool comparable = siblings || aWorker.slowness_ > kMoveFactor;
  if (comparable && remainingMicros > kMoveFactor * elsewhereMicros) {
    ++task.moves_;
    task.avoid_.push_back(aWorker.node_);
    aWorker.slowness_ +=
      kSlownessWeight * (remainingMicros / expectedMicros - aWorker.slowness_);
    OrderStop(aWorker.node_,
              aName.Text(),
              aRun,
              "it is much slower than on other workers");
  }
}

void
FleetScheduler::StopOnDraining(FleetWorker& aWorker,
                               const TaskKey& aName,
                               TaskLocation& aPlace,
                               TaskRun& aRun,
                               Instant aNow)
{
  const StepSpec& spec = *aPlace.step_->spec_;
  if (spec.gang_) {
    return;
  }
  if (spec.longRunning_) {
    OrderStop(aWorker.node_, aName.Text(), aRun, "its worker is draining");
    return;
  }
  const double gainedPercent = static_cast<double>(aRun.percent_) -
                               static_cast<double>(aRun.firstPercent_);
  const double elapsed =
    static_cast<double>((aNow - aRun.firstReportAt_).count());
  double remaining = 1000 * ExpectedMillis(*aPlace.entry_->job_, *aPlace.step_);
  if (gainedPercent >= 2) {
    remaining = elapsed / gainedPercent * (100.0 - aRun.percent_);
  }
  if (remaining > static_cast<double>(aWorker.facts_.remainingMicros_)) {
    OrderStop(aWorker.node_,
              aName.Text(),
              aRun,
              "it would not end before its worker leaves");
  }
}

}
