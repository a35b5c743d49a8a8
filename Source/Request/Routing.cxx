#include "Request/Routing.h"

#include "Request/OutlierTracker.h"

#include <algorithm>
#include <array>
#include <limits>
#include <vector>

namespace cactusrail {

namespace {

/** Resolution of the history of own load, for comparison with reports. */
constexpr Micros kHistoryStep{ 100000 };
constexpr std::size_t kHistorySteps = 32;
constexpr double kLatencySmoothing = 0.05;
/** Minimum number of answers before a mean latency describes the runner. With
 * fewer, the mean depends on the individual requests. */
constexpr std::uint32_t kMinAnswers = 20;
constexpr double kFleetSmoothing = 0.005;
constexpr double kOthersSmoothing = 0.3;

/** Small random generator, seeded with the caller's random number. */
std::uint64_t
DrawRandom(std::uint64_t& aState)
{
  aState += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = aState;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

struct RunnerState
{
  bool present_ = false;
  bool sameDataCentre_ = false;
  double slots_ = 1;
  double ownLoad_ = 0;
  /** Smoothed load from others: reported load minus own load. */
  double othersLoad_ = 0;
  bool reported_ = false;
  double latencyMicros_ = 0;
  std::uint32_t answers_ = 0;
  /** Ring buffer of own load per time step. */
  std::array<float, kHistorySteps> history_{};
  std::int64_t lastStep_ = 0;
  std::size_t presentIndex_ = 0;
};

std::int64_t
StepOf(Instant aTime)
{
  return aTime.time_since_epoch() / kHistoryStep;
}

std::size_t
SlotOf(std::int64_t aStep)
{
  return static_cast<std::size_t>(aStep) % kHistorySteps;
}

/** Stores the own load for the time steps since the last change. */
void
Advance(RunnerState& aState, Instant aNow)
{
  const std::int64_t step = StepOf(aNow);
  const std::int64_t first = std::max(
    aState.lastStep_ + 1, step - static_cast<std::int64_t>(kHistorySteps) + 1);
  for (std::int64_t passed = first; passed <= step; ++passed) {
    aState.history_[SlotOf(passed)] = static_cast<float>(aState.ownLoad_);
  }
  aState.lastStep_ = std::max(aState.lastStep_, step);
}

/** Own load at an earlier time; times before the ring buffer give its oldest
 * value. */
double
OwnLoadAt(const RunnerState& aState, Instant aTime)
{
  const std::int64_t oldest =
    aState.lastStep_ - static_cast<std::int64_t>(kHistorySteps) + 1;
  const std::int64_t step = std::clamp(
    StepOf(aTime), std::max<std::int64_t>(oldest, 0), aState.lastStep_);
  return aState.history_[SlotOf(step)];
}

}

class Router::Private
{
public:
  explicit Private(const Rules& aRules)
    : rules_(aRules)
    , outliers_(OutlierTracker::Rules{})
    , fleetMicros_(static_cast<double>(aRules.expectedLatency_.count()))
  {
  }

  double Cost(const RunnerState& aState) const;
  void End(Runner aRunner, Instant aNow);

  Rules rules_;
  OutlierTracker outliers_;
  std::vector<RunnerState> runners_;
  std::vector<Runner> free_;
  /** Present runners, unordered. */
  std::vector<Runner> present_;
  double fleetMicros_ = 0;
};

double
Router::Private::Cost(const RunnerState& aState) const
{
  const double load = aState.ownLoad_ + aState.othersLoad_;
  const double wait = std::max(0.0, load + 1 - aState.slots_) / aState.slots_;
  const double used = (load + 1) / aState.slots_;
  const double crossing =
    aState.sameDataCentre_
      ? 0
      : static_cast<double>(rules_.crossDataCentreCost_.count());
  // A new runner is assumed to be as slow as the fleet. If it were assumed to
  // be faster, it would get every request until its first answers.
  const double latency =
    aState.answers_ < kMinAnswers ? fleetMicros_ : aState.latencyMicros_;
  // The ratio to the fleet is squared: one request on a runner that is twice as
  // slow is far more likely to end in the latency tail than two requests on
  // slightly slow runners.
  return latency * latency / fleetMicros_ * (1 + wait + used * used) + crossing;
}

void
Router::Private::End(Runner aRunner, Instant aNow)
{
  RunnerState& state = runners_[aRunner];
  Advance(state, aNow);
  state.ownLoad_ = std::max(0.0, state.ownLoad_ - 1);
}

Router::Router(const Rules& aRules)
  : private_(std::make_unique<Private>(aRules))
{
}

Router::Router(Router&&) noexcept = default;
Router&
Router::operator=(Router&&) noexcept = default;
Router::~Router() = default;

Router::Runner
Router::Add(bool aSameDataCentre, std::uint32_t aSlots)
{
  Private& self = *private_;
  Runner number = static_cast<Runner>(self.runners_.size());
  if (self.free_.empty()) {
    self.runners_.emplace_back();
  } else {
    number = self.free_.back();
    self.free_.pop_back();
  }
  RunnerState& state = self.runners_[number];
  state = RunnerState{};
  state.present_ = true;
  state.sameDataCentre_ = aSameDataCentre;
  state.slots_ = std::max<std::uint32_t>(1, aSlots);
  state.presentIndex_ = self.present_.size();
  self.present_.push_back(number);
  self.outliers_.Reset(number);
  return number;
}

void
Router::Remove(Runner aRunner)
{
  Private& self = *private_;
  RunnerState& state = self.runners_[aRunner];
  const Runner last = self.present_.back();
  self.present_[state.presentIndex_] = last;
  self.runners_[last].presentIndex_ = state.presentIndex_;
  self.present_.pop_back();
  state.present_ = false;
  self.outliers_.Forget(aRunner);
  self.free_.push_back(aRunner);
}

void
Router::OnReport(Runner aRunner, const RunnerReport& aReport, Instant aNow)
{
  RunnerState& state = private_->runners_[aRunner];
  Advance(state, aNow);
  state.slots_ = std::max<std::uint32_t>(1, aReport.slots_);
  // The report includes the own attempts at the time of the measurement.
  // Subtracting the current own load would make a runner look free right after
  // this router filled it.
  const double others =
    std::max(0.0,
             static_cast<double>(aReport.busy_ + aReport.queued_) -
               OwnLoadAt(state, aReport.measuredAt_));
  state.othersLoad_ =
    state.reported_
      ? state.othersLoad_ + kOthersSmoothing * (others - state.othersLoad_)
      : others;
  state.reported_ = true;
}

std::optional<Router::Runner>
Router::Choose(std::span<const Runner> aExcluded,
               std::uint64_t aRandom,
               Instant aNow) const
{
  const Private& self = *private_;
  const std::size_t count = self.present_.size();
  if (count == 0) {
    return std::nullopt;
  }
  std::optional<Runner> best;
  double bestCost = std::numeric_limits<double>::max();
  std::size_t drawn = 0;
  std::uint64_t draws = aRandom;
  // Walks from a random start with a random stride, without an allocation.
  // After the sampled runners the walk continues only while none of them is
  // usable.
  const std::size_t start = aRandom == 0 ? 0 : DrawRandom(draws) % count;
  for (std::size_t step = 0; step < count; ++step) {
    const std::size_t index = drawn < self.rules_.sampleSize_ && count > 16
                                ? DrawRandom(draws) % count
                                : (start + step) % count;
    const Runner runner = self.present_[index];
    const bool excluded =
      std::find(aExcluded.begin(), aExcluded.end(), runner) != aExcluded.end();
    if (excluded || !self.outliers_.AcceptsRequest(runner, aNow)) {
      continue;
    }
    if (self.outliers_.IsEjected(runner)) {
      // A probe is due, and this request becomes the probe.
      return runner;
    }
    const double cost = self.Cost(self.runners_[runner]);
    const bool firstOfEqual =
      aRandom == 0 && cost == bestCost && best.has_value() && runner < *best;
    if (cost < bestCost || firstOfEqual) {
      best = runner;
      bestCost = cost;
    }
    if (++drawn >= self.rules_.sampleSize_) {
      break;
    }
  }
  return best;
}

void
Router::OnSent(Runner aRunner, Instant aNow)
{
  RunnerState& state = private_->runners_[aRunner];
  Advance(state, aNow);
  ++state.ownLoad_;
  private_->outliers_.OnSent(aRunner, aNow);
}

void
Router::OnAnswer(Runner aRunner, Micros aLatency, Instant aNow)
{
  private_->End(aRunner, aNow);
  RunnerState& state = private_->runners_[aRunner];
  const auto micros = static_cast<double>(aLatency.count());
  if (state.answers_ == 0) {
    state.latencyMicros_ = private_->fleetMicros_;
  }
  state.latencyMicros_ += kLatencySmoothing * (micros - state.latencyMicros_);
  ++state.answers_;
  private_->fleetMicros_ += kFleetSmoothing * (micros - private_->fleetMicros_);
  private_->outliers_.OnAnswer(aRunner, aLatency, aNow);
}

void
Router::OnFailure(Runner aRunner, Instant aNow)
{
  private_->End(aRunner, aNow);
  private_->outliers_.OnFailure(aRunner, aNow);
}

void
Router::OnCancelled(Runner aRunner, Instant aNow)
{
  private_->End(aRunner, aNow);
}

double
Router::EstimatedLoad(Runner aRunner, Instant) const
{
  const RunnerState& state = private_->runners_[aRunner];
  return state.ownLoad_ + state.othersLoad_;
}

}
