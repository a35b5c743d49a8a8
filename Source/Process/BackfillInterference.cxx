#include "Process/BackfillInterference.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cactusrail {

namespace {

/** A reported figure covers the half second before it was taken. */
constexpr Millis kFigureWindow{ 500 };
/** Minimum interval between the figures of a run; at shorter intervals, the
 * figures overlap. */
constexpr Millis kMinFigureInterval{ 400 };
/** Weight, in a figure, of the figure half a second before. */
constexpr double kLastFigureWeight = 0.25;
/** Retention of the figures and loads of runs that ended. */
constexpr Millis kRetention{ 30000 };

/** Standard deviations that are added to a cost: enough for an unmeasured pair
 * to start at a lower speed, and few enough for it to start. */
constexpr double kCautionDeviations = 0.5;
/** Standard deviation of a cost below which a pair is known; an unmeasured pair
 * has twice as much. */
constexpr double kKnownDeviation = 0.06;
/** Cost above which a pair is placed elsewhere, as the task would take the
 * capacity of ten others. Most pairs cost less; the rest cost at least twice as
 * much. */
constexpr double kHarmlessCost = 0.07;
/** Number of its standard deviations that a cost must exceed to slow running
 * backfill; a lower cost is noise. */
constexpr double kProvenDeviations = 1;
/** Costs below this are noise. */
constexpr double kMinCost = 0.01;
/** Interval for which speeds apply: until the next report, half a second later,
 * has been processed. */
constexpr Millis kSpeedInterval{ 800 };

double
CautiousCost(const ContentionCost& aCost)
{
  return aCost.mean_ + kCautionDeviations * aCost.deviation_;
}

/** Returns the cost by which running backfill is slowed: 0 unless it is more
 * than noise, as the latencies show the remaining effect within half a
 * second. */
double
ProvenCost(const ContentionCost& aCost)
{
  return aCost.mean_ > kProvenDeviations * aCost.deviation_ ? aCost.mean_ : 0;
}

}

void
BackfillInterference::Record(std::string_view aWorker,
                             std::span<const BackfillSample> aBackfill,
                             Instant aNow)
{
  std::vector<Neighbour> neighbours;
  neighbours.reserve(aBackfill.size());
  for (const BackfillSample& sample : aBackfill) {
    neighbours.push_back(
      { model_.Number(sample.image_), sample.pace_ * sample.size_ });
  }
  history_.Record(aWorker, neighbours, aNow);
  if (aNow - cleanedAt_ > kRetention) {
    cleanedAt_ = aNow;
    model_.ForgetBefore(aNow - kRetention);
    std::erase_if(figures_, [aNow](const auto& aEntry) {
      return aNow - aEntry.second.takenAt_ > kRetention;
    });
  }
}

double
BackfillInterference::SubtractLast(const Figure& aLast,
                                   double aPressure,
                                   Instant aMeasuredAt)
{
  const double windows =
    std::max(1.0,
             std::chrono::duration<double>(aMeasuredAt - aLast.takenAt_) /
               std::chrono::duration<double>(kFigureWindow));
  const double memory = std::pow(kLastFigureWeight, windows);
  const double fresh = (aPressure - memory * aLast.pressure_) / (1 - memory);
  // The remainder of a very high figure can't be separated from new latency, so
  // the result has a lower bound.
  return std::max(fresh, std::min(aPressure, aLast.pressure_) / 2);
}

std::vector<BackfillInterference::Group>
BackfillInterference::TakeNewFigures(std::span<const ServingSample> aServing,
                                     Instant aMeasuredAt)
{
  std::map<std::pair<std::string_view, ContentionModel::Image>, Group> groups;
  for (const ServingSample& sample : aServing) {
    Figure& last = figures_[sample.run_];
    if (sample.pressure_ <= 0 ||
        aMeasuredAt - last.takenAt_ < kMinFigureInterval) {
      continue;
    }
    const double pressure =
      last.pressure_ > 0 ? SubtractLast(last, sample.pressure_, aMeasuredAt)
                         : sample.pressure_;
    last = { aMeasuredAt, sample.pressure_ };
    const ContentionModel::Image image = model_.Number(sample.image_);
    model_.OnReported(image, sample.pressure_);
    Group& group = groups[{ sample.job_, image }];
    group.job_ = sample.job_;
    group.image_ = image;
    group.pressures_.push_back(pressure);
  }
  std::vector<Group> all;
  all.reserve(groups.size());
  for (auto& [key, group] : groups) {
    all.push_back(std::move(group));
  }
  return all;
}

void
BackfillInterference::Measure(std::string_view aWorker,
                              std::span<const ServingSample> aServing,
                              Instant aMeasuredAt)
{
  const std::vector<Neighbour> neighbours =
    history_.Mean(aWorker, aMeasuredAt - kFigureWindow, aMeasuredAt);
  // Tasks of one job on one worker share their load and their neighbours, so
  // their errors are correlated and only their median counts. Counted one by
  // one, they gave costs a low deviation and a wrong mean after one report.
  for (Group& group : TakeNewFigures(aServing, aMeasuredAt)) {
    const auto median =
      group.pressures_.begin() +
      static_cast<std::ptrdiff_t>(group.pressures_.size() / 2);
    std::nth_element(group.pressures_.begin(), median, group.pressures_.end());
    model_.OnMeasured(
      group.image_, group.job_, *median, neighbours, aMeasuredAt);
  }
}

BackfillFit
BackfillInterference::FitOfAdditionalTask(
  const std::map<ServingGroup, std::uint32_t>& aServing,
  const std::map<std::string, double>& aBackfill,
  const std::string& aImage,
  Millis aAhead)
{
  const ContentionModel::Image image = model_.Number(aImage);
  BackfillFit fit;
  for (const auto& [group, count] : aServing) {
    const ContentionModel::Image serving = model_.Number(group.image_);
    const ContentionCost pair = model_.CostOf(serving, image);
    fit.known_ = fit.known_ && pair.deviation_ <= kKnownDeviation;
    fit.harmless_ = fit.harmless_ && pair.mean_ <= kHarmlessCost;
    const double cost = CautiousCost(pair);
    if (cost < kMinCost) {
      continue;
    }
    double room = model_.Limit(serving) - model_.LoadWithin(group.job_, aAhead);
    for (const auto& [name, size] : aBackfill) {
      room -= size * model_.CostOf(serving, model_.Number(name)).mean_;
    }
    fit.tenths_ = std::min(fit.tenths_, std::max(0.0, room) / cost);
  }
  return fit;
}

double
BackfillInterference::CapacityLeft(const ServingSample& aServing,
                                   std::span<const BackfillSample> aBackfill)
{
  const ContentionModel::Image serving = model_.Number(aServing.image_);
  double explained = 0;
  for (const BackfillSample& one : aBackfill) {
    explained += one.pace_ * one.size_ *
                 model_.CostOf(serving, model_.Number(one.image_)).mean_;
  }
  // A task that is busier than the load of its job explains counts as that
  // busy, so that its figures slow the backfill even if the model is wrong.
  const double own =
    model_.Utilisation(serving, aServing.pressure_) - explained;
  const double load =
    std::max(own, model_.LoadWithin(aServing.job_, kSpeedInterval));
  return model_.Limit(serving) - load;
}

std::vector<double>
BackfillInterference::Speeds(std::span<const ServingSample> aServing,
                             std::span<const BackfillSample> aBackfill)
{
  std::vector<double> room;
  std::vector<ContentionModel::Image> serving;
  for (const ServingSample& sample : aServing) {
    room.push_back(CapacityLeft(sample, aBackfill));
    serving.push_back(model_.Number(sample.image_));
  }
  std::vector<std::vector<double>> costs(aBackfill.size());
  std::vector<double> worst(aBackfill.size(), 0);
  for (std::size_t i = 0; i < aBackfill.size(); ++i) {
    const ContentionModel::Image image = model_.Number(aBackfill[i].image_);
    for (const ContentionModel::Image one : serving) {
      costs[i].push_back(aBackfill[i].size_ *
                         ProvenCost(model_.CostOf(one, image)));
      worst[i] = std::max(worst[i], costs[i].back());
    }
  }
  std::vector<std::size_t> order(aBackfill.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(),
                   order.end(),
                   [&worst](std::size_t aLeft, std::size_t aRight) {
                     return worst[aLeft] < worst[aRight];
                   });
  std::vector<double> speeds(aBackfill.size(), 1);
  for (const std::size_t i : order) {
    for (std::size_t s = 0; s < serving.size(); ++s) {
      if (costs[i][s] >= kMinCost) {
        speeds[i] = std::min(speeds[i], std::max(0.0, room[s]) / costs[i][s]);
      }
    }
    for (std::size_t s = 0; s < serving.size(); ++s) {
      room[s] -= speeds[i] * costs[i][s];
    }
  }
  return speeds;
}

}
