#include "Process/BackfillInterference.h"

#include <algorithm>

namespace cactusrail {

namespace {

/** The reported figure is of the half second before it was taken. */
constexpr Millis kFigureWindow{ 500 };
/** A run's figures overlap if they are taken more often. */
constexpr Millis kFigureEvery{ 400 };
/** Figures of runs that are long gone are forgotten beyond so many. */
constexpr std::size_t kMaxRuns = 20000;

/** The load of a serving task is not reported: the middle of the scale. */
constexpr double kLoad = 0.5;
/** A pair is known once its doubt is below this slowdown. */
constexpr double kKnownDoubt = 0.8;

/**
 * Measured on two deployments of 11 workers: alone, a serving task's figure
 * moves by a third around its mean with its load; one disturbing neighbour adds
 * 1 to 30 times the mean, others next to nothing. The prior leaves room for
 * both, so that a second of a bad pair is enough to know it.
 */
InterferenceModel::Rules
ModelRules()
{
  InterferenceModel::Rules rules;
  rules.priorMean_ = 0.3;
  rules.priorDeviation_ = 3;
  rules.driftPerSecond_ = 0.02;
  rules.sampleDeviation_ = 0.5;
  rules.modelDeviation_ = 0.2;
  return rules;
}

}

BackfillInterference::BackfillInterference()
  : model_(ModelRules())
{
}

void
BackfillInterference::Record(std::string_view aWorker,
                             std::span<const BackfillSample> aBackfill,
                             Instant aNow)
{
  std::vector<Neighbour> neighbours;
  neighbours.reserve(aBackfill.size());
  for (const BackfillSample& sample : aBackfill) {
    neighbours.push_back({ model_.Number(sample.image_), sample.pace_ });
  }
  history_.Record(aWorker, neighbours, aNow);
}

void
BackfillInterference::Measure(std::string_view aWorker,
                              std::span<const ServingSample> aServing,
                              Instant aMeasuredAt)
{
  if (taken_.size() > kMaxRuns) {
    taken_.clear();
  }
  const std::vector<Neighbour> neighbours =
    history_.Mean(aWorker, aMeasuredAt - kFigureWindow, aMeasuredAt);
  for (const ServingSample& sample : aServing) {
    Instant& taken = taken_[sample.run_];
    if (aMeasuredAt - taken < kFigureEvery || sample.pressure_ <= 0) {
      continue;
    }
    taken = aMeasuredAt;
    model_.OnMeasured(model_.Number(sample.image_),
                      neighbours,
                      kLoad,
                      sample.pressure_,
                      1,
                      aMeasuredAt);
  }
}

BackfillImpact
BackfillInterference::Impact(std::string_view aServingImage,
                             std::string_view aBackfillImage) const
{
  const InterferenceModel::Program victim = model_.Find(aServingImage);
  const InterferenceModel::Program aggressor = model_.Find(aBackfillImage);
  if (victim == InterferenceModel::kUnknown ||
      aggressor == InterferenceModel::kUnknown) {
    return { 0, 0, false };
  }
  const double cost = model_.Cost(victim, aggressor, kLoad);
  return { cost, cost, model_.Doubt(victim, aggressor, kLoad) <= kKnownDoubt };
}

double
BackfillInterference::PressureAlone(const ServingSample& aServing) const
{
  const InterferenceModel::Program victim = model_.Find(aServing.image_);
  if (victim == InterferenceModel::kUnknown || aServing.pressure_ <= 0) {
    return aServing.pressure_;
  }
  return aServing.pressure_ / model_.Slowdown(victim, aServing.pressure_);
}

}
