#include "Version/InterferenceModel.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

namespace {

/** Standard deviation of the prior latency without neighbours, relative to the
 * first measured latency. */
constexpr double kBaselineDeviation = 0.15;

double
Seconds(Instant aFrom, Instant aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

}

InterferenceModel::InterferenceModel(const Rules& aRules)
  : rules_(aRules)
{
}

InterferenceModel::Program
InterferenceModel::Number(std::string_view aName)
{
  const Program known = Find(aName);
  if (known != kUnknown) {
    return known;
  }
  const auto next = static_cast<Program>(numbers_.size());
  return numbers_.emplace(std::string(aName), next).first->second;
}

InterferenceModel::Program
InterferenceModel::Find(std::string_view aName) const
{
  const auto found = numbers_.find(aName);
  return found == numbers_.end() ? kUnknown : found->second;
}

InterferenceModel::Pair
InterferenceModel::PriorPair() const
{
  const double variance = rules_.priorDeviation_ * rules_.priorDeviation_;
  Estimate prior{ rules_.priorMean_, variance, Instant() };
  return Pair{ prior, prior };
}

InterferenceModel::Victim&
InterferenceModel::VictimAt(Program aVictim)
{
  if (aVictim >= victims_.size()) {
    victims_.resize(aVictim + 1);
  }
  return victims_[aVictim];
}

const InterferenceModel::Pair*
InterferenceModel::FindPair(Program aVictim, Program aAggressor) const
{
  if (aVictim >= victims_.size() ||
      aAggressor >= victims_[aVictim].pairs_.size()) {
    return nullptr;
  }
  return &victims_[aVictim].pairs_[aAggressor];
}

void
InterferenceModel::OnMeasured(Program aVictim,
                              std::span<const Neighbour> aNeighbours,
                              double aLoad,
                              double aLatency,
                              double aSamples,
                              Instant aMeasuredAt)
{
  if (aSamples < 1 || aLatency <= 0) {
    return;
  }
  Victim& victim = VictimAt(aVictim);
  if (victim.scale_ == 0) {
    victim.scale_ = aLatency;
    victim.baseline_ =
      Estimate{ 1, kBaselineDeviation * kBaselineDeviation, aMeasuredAt };
  }
  for (const Neighbour& neighbour : aNeighbours) {
    if (neighbour.program_ >= victim.pairs_.size()) {
      victim.pairs_.resize(neighbour.program_ + 1, PriorPair());
    }
  }
  struct Term
  {
    Estimate* estimate_;
    double weight_;
  };
  std::vector<Term> terms;
  terms.reserve(2 * aNeighbours.size() + 1);
  terms.push_back({ &victim.baseline_, 1 });
  for (const Neighbour& neighbour : aNeighbours) {
    Pair& pair = victim.pairs_[neighbour.program_];
    terms.push_back({ &pair.idle_, neighbour.weight_ * (1 - aLoad) });
    terms.push_back({ &pair.loaded_, neighbour.weight_ * aLoad });
  }
  const double noise =
    rules_.modelDeviation_ * rules_.modelDeviation_ +
    rules_.sampleDeviation_ * rules_.sampleDeviation_ / aSamples;
  double expected = 0;
  double variance = noise;
  const double limit = rules_.priorDeviation_ * rules_.priorDeviation_;
  for (const Term& term : terms) {
    Estimate& estimate = *term.estimate_;
    if (term.estimate_ != &victim.baseline_) {
      const double age = Seconds(estimate.updatedAt_, aMeasuredAt);
      estimate.variance_ =
        std::min(limit, estimate.variance_ + rules_.driftPerSecond_ * age);
      estimate.updatedAt_ = std::max(estimate.updatedAt_, aMeasuredAt);
    }
    expected += term.weight_ * estimate.mean_;
    variance += term.weight_ * term.weight_ * estimate.variance_;
  }
  const double error = aLatency / victim.scale_ - expected;
  for (const Term& term : terms) {
    Estimate& estimate = *term.estimate_;
    const double gain = estimate.variance_ * term.weight_ / variance;
    estimate.mean_ += gain * error;
    estimate.variance_ *= 1 - gain * term.weight_;
    if (term.estimate_ != &victim.baseline_) {
      // A neighbour never speeds a victim up. A negative slowdown is noise and
      // would distort the other estimates.
      estimate.mean_ = std::max(0.0, estimate.mean_);
    }
  }
}

void
InterferenceModel::SetKnownCost(Program aVictim,
                                Program aAggressor,
                                double aIdle,
                                double aLoaded,
                                Instant aNow)
{
  Victim& victim = VictimAt(aVictim);
  if (aAggressor >= victim.pairs_.size()) {
    victim.pairs_.resize(aAggressor + 1, PriorPair());
  }
  victim.pairs_[aAggressor] =
    Pair{ Estimate{ aIdle, 0, aNow }, Estimate{ aLoaded, 0, aNow } };
}

double
InterferenceModel::Cost(Program aVictim, Program aAggressor, double aLoad) const
{
  const Pair* pair = FindPair(aVictim, aAggressor);
  if (pair == nullptr) {
    return rules_.priorMean_;
  }
  return pair->idle_.mean_ * (1 - aLoad) + pair->loaded_.mean_ * aLoad;
}

double
InterferenceModel::CostDeviation(Program aVictim,
                                 Program aAggressor,
                                 double aLoad) const
{
  const Pair* pair = FindPair(aVictim, aAggressor);
  if (pair == nullptr) {
    return rules_.priorDeviation_;
  }
  const double idle = (1 - aLoad) * (1 - aLoad) * pair->idle_.variance_;
  return std::sqrt(idle + aLoad * aLoad * pair->loaded_.variance_);
}

double
InterferenceModel::Slowdown(Program aVictim, double aLatency) const
{
  if (aVictim >= victims_.size() || victims_[aVictim].scale_ == 0) {
    return 1;
  }
  const Victim& victim = victims_[aVictim];
  return aLatency / (victim.scale_ * victim.baseline_.mean_);
}

}
