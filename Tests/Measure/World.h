#pragma once

#include "Policy.h"
#include "Scenario.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cactusrail::measure {

/** What runs in a session; the references switch one side off. */
struct SessionOptions
{
  std::uint64_t seed_ = 1;
  double seconds_ = 180;
  /** Learning time that is not measured. */
  double warmUpSeconds_ = 30;
  bool urgent_ = true;
  bool batch_ = true;
};

/** What a session came to. Latencies in milliseconds, work in core seconds. */
struct Outcome
{
  double p50_ = 0;
  double p99_ = 0;
  double p999_ = 0;
  double batchWork_ = 0;
  double evictions_ = 0;
  double payoutEvictions_ = 0;
  double moves_ = 0;
  /** Requests without an answer, in 10,000. */
  double refusals_ = 0;
  /** Start of urgent tasks: 99th percentile, seconds. */
  double start99_ = 0;
  double overCommits_ = 0;
  /** Task starts that failed on a bad worker or for an impossible job. */
  double wastedStarts_ = 0;
  std::uint64_t answered_ = 0;
};

/** The truth that only the oracle may look at. */
class Truth
{
public:
  virtual ~Truth() = default;
  /** Expected time until the runner would answer one more request, in us. */
  virtual double ExpectedMicros(std::size_t aEntry, std::size_t aRunner) = 0;
  virtual bool IsUp(std::size_t aRunner) = 0;
  /** Slowdown of the urgent work on a worker, now. */
  virtual double Slowdown(std::size_t aWorker) = 0;
  virtual double Load(std::size_t aWorker) = 0;
  /** Slowdown that a task of the program adds on a loaded runner, now. */
  virtual double Hurt(const std::string& aProgram) = 0;
};

/**
 * Small fake workers and runners on a virtual clock: no network, no processes,
 * no threads. All randomness comes from the seed; a session with the same seed
 * meets the same requests and the same tasks whatever the policy does.
 */
class World
{
public:
  World(const Deployment& aDeployment, const SessionOptions& aOptions);
  ~World();

  Truth& HiddenTruth();
  const Scenario& HiddenScenario() const;
  Outcome Run(Policy& aPolicy);

private:
  class Private;
  std::unique_ptr<Private> private_;
};

}
