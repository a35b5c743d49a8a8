#pragma once

#include "Version/Configuration.h"
#include "Version/WorkRecords.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace cactusrail::measure {

using Random = std::mt19937_64;

/** Sizes and weights of one user's deployment, from the brief. */
struct Deployment
{
  std::string name_;
  std::size_t workers_ = 10;
  std::size_t entries_ = 4;
  std::uint32_t slots_ = 8;
  Resources capacity_;
  /** Reserved for the runner on each worker; the batch work gets the rest. */
  Resources runnerReserve_;
  double serviceMs_ = 40;
  /** Mean fraction of all slots that the requests occupy. */
  double utilisation_ = 0.4;
  double taskCores_ = 4;
  PolicyWeights weights_;
};

Deployment
TagasiDeployment();
Deployment
ValtierraDeployment();

/**
 * Real properties of a batch program, visible to the oracle only and hidden
 * from the other policies.
 */
struct HiddenProgram
{
  std::string name_;
  Resources declared_;
  double cpuFactor_ = 1;
  double memoryFactor_ = 1;
  double runSeconds_ = 10;
  std::uint64_t declaredRunMs_ = 0;
  /** Slowdown that one task adds to urgent work on a fully loaded runner. */
  double urgentSlowdown_ = 0;
  /** Factor by which a noisy wave multiplies the slowdown. */
  double waveFactor_ = 1;
  double waveOn_ = 8;
  double waveOff_ = 30;
  double wavePhase_ = 0;
  /** Slowdown that a loaded runner adds to a task of the program. */
  double slowdownByRunner_ = 0;
  /**
   * Duration of a checkpoint in seconds; 0 if checkpoints are not supported.
   */
  double checkpointSeconds_ = 0;
  bool payout_ = false;
  bool impossible_ = false;
};

/** Hidden properties of a session's system, derived from one seed. */
struct Scenario
{
  std::vector<HiddenProgram> programs_;
  /** Slowdown that a task of the column adds to one of the row. */
  std::vector<std::vector<double>> pairs_;
  std::vector<double> hostSpeed_;
};

Scenario
MakeScenario(const Deployment& aDeployment, std::uint64_t aSeed);

/**
 * Returns the fraction of the hidden slowdown that takes effect at this load of
 * the runner.
 */
double
LoadShape(double aLoad);

/** Returns the program's wave factor at a time. */
double
WaveAt(const HiddenProgram& aProgram, double aSeconds);

/**
 * Returns the requests per second at a time, with slow waves and short bursts.
 */
double
RequestRate(const Deployment& aDeployment, double aSeconds);

}
