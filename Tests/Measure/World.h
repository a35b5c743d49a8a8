#pragma once

#include "Policy.h"
#include "Scenario.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cactusrail::measure {

/**
 * Selects what runs in a session; the reference sessions disable the urgent or
 * the batch work.
 */
struct SessionOptions
{
  std::uint64_t seed_ = 1;
  double seconds_ = 180;
  /** Warm-up time in seconds, which is not measured. */
  double warmUpSeconds_ = 30;
  bool urgent_ = true;
  bool batch_ = true;
};

/**
 * Results of a session. Latencies are in milliseconds, work is in core seconds.
 */
struct Outcome
{
  double p50_ = 0;
  double p99_ = 0;
  double p999_ = 0;
  double batchWork_ = 0;
  double evictions_ = 0;
  double payoutEvictions_ = 0;
  double moves_ = 0;
  /** Requests without an answer, per 10,000. */
  double refusals_ = 0;
  /** 99th percentile of the start delay of urgent tasks, in seconds. */
  double start99_ = 0;
  double overCommits_ = 0;
  /** Task starts that failed on a faulty worker or for an impossible job. */
  double wastedStarts_ = 0;
  std::uint64_t answered_ = 0;
};

/** Gives the oracle access to the hidden state of the world. */
class WorldState
{
public:
  virtual ~WorldState() = default;
  /**
   * Returns the expected time until the runner would answer one more request,
   * in microseconds.
   */
  virtual double ExpectedMicros(std::size_t aEntry, std::size_t aRunner) = 0;
  virtual bool IsUp(std::size_t aRunner) = 0;
  /** Returns the current slowdown of the urgent work on a worker. */
  virtual double Slowdown(std::size_t aWorker) = 0;
  virtual double Load(std::size_t aWorker) = 0;
  /**
   * Returns the slowdown that a task of the program currently adds on a loaded
   * runner.
   */
  virtual double UrgentSlowdown(const std::string& aProgram) = 0;
};

/**
 * Simulates small workers and runners on a virtual clock, without network,
 * processes or threads. All randomness comes from the seed; sessions with the
 * same seed get the same requests and tasks under every policy.
 */
class World
{
public:
  World(const Deployment& aDeployment, const SessionOptions& aOptions);
  ~World();

  WorldState& HiddenState();
  const Scenario& HiddenScenario() const;
  Outcome Run(Policy& aPolicy);

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
