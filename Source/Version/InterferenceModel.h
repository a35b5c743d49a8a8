#pragma once

#include "Process/Instant.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactusrail {

/** A program beside a victim: how many tasks of it, weighted by throttle. */
struct Neighbour
{
  std::uint32_t program_ = 0;
  double weight_ = 0;
};

/**
 * What a task of one program costs one of another, learned online from late
 * measurements. For each pair two slowdowns are kept, beside an idle and beside
 * a fully loaded victim; between them it is taken as linear. Each has a mean
 * and a variance (a Kalman filter without cross terms): a program never seen
 * has the prior, and what is not seen for long returns towards doubt. Pure.
 */
class InterferenceModel
{
public:
  using Program = std::uint32_t;

  struct Rules
  {
    double priorMean_ = 0.01;
    double priorDeviation_ = 0.03;
    /** Doubt that a second adds to the variance of every pair. */
    double driftPerSecond_ = 4e-6;
    /** Deviation of the relative latency of a single request. */
    double sampleDeviation_ = 0.55;
    /** Error that more samples don't remove. */
    double modelDeviation_ = 0.03;
  };

  explicit InterferenceModel(const Rules& aRules);

  /** The number of a program; the same name always has the same one. */
  Program Number(std::string_view aName);
  /** The same without giving a new one; kUnknown if it has none. */
  Program Find(std::string_view aName) const;
  static constexpr Program kUnknown = UINT32_MAX;

  /**
   * A measurement of a victim beside these neighbours. The neighbours and the
   * load must be those of the time measured, not of the time of arrival.
   */
  void OnMeasured(Program aVictim,
                  std::span<const Neighbour> aNeighbours,
                  double aLoad,
                  double aLatency,
                  double aSamples,
                  Instant aMeasuredAt);

  /** Sets a pair's figures, as an operator's or an oracle's knowledge. */
  void Teach(Program aVictim,
             Program aAggressor,
             double aIdle,
             double aLoaded,
             Instant aNow);

  /** Slowdown that one unthrottled task adds to the victim at this load. */
  double Cost(Program aVictim, Program aAggressor, double aLoad) const;
  /** The standard deviation of that figure. */
  double Doubt(Program aVictim, Program aAggressor, double aLoad) const;
  /** The measured latency over what the victim takes alone, as learned. */
  double Slowdown(Program aVictim, double aLatency) const;

private:
  struct Estimate
  {
    double mean_ = 0;
    double variance_ = 0;
    Instant updatedAt_;
  };
  struct Pair
  {
    Estimate idle_;
    Estimate loaded_;
  };
  struct Victim
  {
    double scale_ = 0;
    Estimate alone_;
    std::vector<Pair> pairs_;
  };

  Pair PriorPair() const;
  Victim& VictimAt(Program aVictim);
  const Pair* FindPair(Program aVictim, Program aAggressor) const;

  struct NameHash
  {
    // NOLINTNEXTLINE(readability-identifier-naming): the standard names it so.
    using is_transparent = void;
    std::size_t operator()(std::string_view aName) const
    {
      return std::hash<std::string_view>()(aName);
    }
  };

  Rules rules_;
  std::unordered_map<std::string, Program, NameHash, std::equal_to<>> numbers_;
  std::vector<Victim> victims_;
};

}
