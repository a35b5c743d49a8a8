#pragma once

#include "Version/Instant.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactusrail {

/** A program on the same worker as a victim, with the number of its tasks
 * weighted by their throttle. */
struct Neighbour
{
  std::uint32_t program_ = 0;
  double weight_ = 0;
};

/**
 * Estimates how much a task of one program slows down a task of another, online
 * and from delayed measurements. Each pair has two slowdowns, for an idle and
 * for a fully loaded victim, with linear interpolation between them. Each
 * slowdown has a mean and a variance (a Kalman filter without covariance
 * terms). An unknown program has the prior, and the variance of a pair that is
 * not observed grows back towards that of the prior. Does no I/O and reads no
 * clock.
 */
class InterferenceModel
{
public:
  using Program = std::uint32_t;

  struct Rules
  {
    double priorMean_ = 0.01;
    double priorDeviation_ = 0.03;
    /** Variance added to every pair per second. */
    double driftPerSecond_ = 4e-6;
    /** Standard deviation of the relative latency of a single request. */
    double sampleDeviation_ = 0.55;
    /** Standard deviation of the error that more samples do not reduce. */
    double modelDeviation_ = 0.03;
  };

  explicit InterferenceModel(const Rules& aRules);

  /** Returns the number of a program and assigns one to a new name. */
  Program Number(std::string_view aName);
  /** Returns the number of a program, or kUnknown if it has none. */
  Program Find(std::string_view aName) const;
  static constexpr Program kUnknown = UINT32_MAX;

  /**
   * Updates the model with a measured latency of a victim. The neighbours and
   * the load must be those at the time of the measurement, not at its arrival.
   */
  void OnMeasured(Program aVictim,
                  std::span<const Neighbour> aNeighbours,
                  double aLoad,
                  double aLatency,
                  double aSamples,
                  Instant aMeasuredAt);

  /** Sets the slowdowns of a pair to known values, given by an operator or an
   * oracle. */
  void SetKnownCost(Program aVictim,
                    Program aAggressor,
                    double aIdle,
                    double aLoaded,
                    Instant aNow);

  /** Returns the slowdown that one unthrottled task adds to the victim at this
   * load. */
  double Cost(Program aVictim, Program aAggressor, double aLoad) const;
  /** Returns the standard deviation of Cost(). */
  double CostDeviation(Program aVictim, Program aAggressor, double aLoad) const;
  /** Returns the ratio of aLatency to the learned latency of the victim without
   * neighbours. */
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
    Estimate baseline_;
    std::vector<Pair> pairs_;
  };

  Pair PriorPair() const;
  Victim& VictimAt(Program aVictim);
  const Pair* FindPair(Program aVictim, Program aAggressor) const;

  struct NameHash
  {
    // NOLINTNEXTLINE(readability-identifier-naming): required by the standard.
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
