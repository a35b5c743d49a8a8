#include "Scenario.h"

#include <cmath>

namespace cactusrail::measure {

namespace {

constexpr double kPi = 3.14159265358979;
constexpr std::size_t kPrograms = 9;
constexpr double kBurstEvery = 60;
constexpr double kBurstLength = 8;
constexpr double kBurstFactor = 1.7;
constexpr double kWaveLength = 75;
constexpr double kWaveHeight = 0.25;

double
Between(Random& aRandom, double aLow, double aHigh)
{
  return std::uniform_real_distribution<double>(aLow, aHigh)(aRandom);
}

/**
 * Draws the slowdown that a program adds to urgent work. Quiet, medium and
 * noisy programs follow each other in this order.
 */
double
DrawUrgentSlowdown(Random& aRandom, std::size_t aIndex)
{
  if (aIndex < 5) {
    return Between(aRandom, 0.0, 0.006);
  }
  if (aIndex < 7) {
    return Between(aRandom, 0.015, 0.035);
  }
  return Between(aRandom, 0.07, 0.12);
}

HiddenProgram
MakeProgram(const Deployment& aDeployment, std::size_t aIndex, Random& aRandom)
{
  HiddenProgram program;
  program.name_ = "program" + std::to_string(aIndex);
  const double cores = aDeployment.taskCores_ * Between(aRandom, 0.5, 1.5);
  const double perCore = static_cast<double>(aDeployment.capacity_.memoryMb_) *
                         1000 /
                         static_cast<double>(aDeployment.capacity_.milliCpus_);
  program.declared_.milliCpus_ = std::llround(cores * 1000);
  program.declared_.memoryMb_ =
    std::llround(cores * perCore * Between(aRandom, 0.4, 1.1));
  program.cpuFactor_ = std::exp(Between(aRandom, -0.7, 0.4));
  program.memoryFactor_ = std::exp(Between(aRandom, -0.7, 0.3));
  program.runSeconds_ = Between(aRandom, 6, 30);
  program.declaredRunMs_ = static_cast<std::uint64_t>(
    program.runSeconds_ * 1000 * std::exp(Between(aRandom, -1.2, 1.2)));
  program.urgentSlowdown_ = DrawUrgentSlowdown(aRandom, aIndex);
  program.waveFactor_ = aIndex >= 5 ? Between(aRandom, 1.5, 3) : 1;
  program.waveOn_ = Between(aRandom, 5, 15);
  program.waveOff_ = Between(aRandom, 20, 40);
  program.wavePhase_ = Between(aRandom, 0, 40);
  program.slowdownByRunner_ = Between(aRandom, 0, 0.1);
  program.checkpointSeconds_ = aIndex % 4 == 3 ? 0 : Between(aRandom, 0.5, 2.5);
  program.payout_ = aIndex % 3 == 1;
  program.impossible_ = aIndex == kPrograms - 1;
  return program;
}

}

Deployment
TagasiDeployment()
{
  Deployment deployment;
  deployment.name_ = "Tagasi";
  deployment.capacity_ = Resources{ 64000, 250000, 0 };
  deployment.runnerReserve_ = Resources{ 16000, 40000, 0 };
  deployment.weights_ = PolicyWeights{ 4.0, 1.0, 1.0 };
  return deployment;
}

Deployment
ValtierraDeployment()
{
  Deployment deployment;
  deployment.name_ = "Valtierra";
  deployment.capacity_ = Resources{ 16000, 60000, 0 };
  deployment.runnerReserve_ = Resources{ 4000, 10000, 0 };
  deployment.serviceMs_ = 30;
  deployment.utilisation_ = 0.35;
  deployment.taskCores_ = 1.4;
  deployment.weights_ = PolicyWeights{ 1.5, 0.7, 8.0 };
  return deployment;
}

Scenario
MakeScenario(const Deployment& aDeployment, std::uint64_t aSeed)
{
  Random random(aSeed);
  Scenario scenario;
  for (std::size_t index = 0; index < kPrograms; ++index) {
    scenario.programs_.push_back(MakeProgram(aDeployment, index, random));
  }
  scenario.pairs_.assign(kPrograms, std::vector<double>(kPrograms, 0));
  for (std::vector<double>& row : scenario.pairs_) {
    for (double& pair : row) {
      pair = Between(random, 0, 1) < 0.2 ? Between(random, 0.01, 0.05)
                                         : Between(random, 0, 0.005);
    }
  }
  for (std::size_t host = 0; host < aDeployment.workers_; ++host) {
    scenario.hostSpeed_.push_back(Between(random, 0.95, 1.05));
  }
  return scenario;
}

double
LoadShape(double aLoad)
{
  return 0.3 + 0.7 * aLoad;
}

double
WaveAt(const HiddenProgram& aProgram, double aSeconds)
{
  const double length = aProgram.waveOn_ + aProgram.waveOff_;
  const double place = std::fmod(aSeconds + aProgram.wavePhase_, length);
  return place < aProgram.waveOn_ ? aProgram.waveFactor_ : 1;
}

double
RequestRate(const Deployment& aDeployment, double aSeconds)
{
  const double slots =
    static_cast<double>(aDeployment.workers_) * aDeployment.slots_;
  const double rate =
    slots * aDeployment.utilisation_ * 1000 / aDeployment.serviceMs_;
  const double wave =
    1 + kWaveHeight * std::sin(2 * kPi * aSeconds / kWaveLength);
  const bool burst =
    std::fmod(aSeconds, kBurstEvery) > kBurstEvery - kBurstLength;
  return rate * wave * (burst ? kBurstFactor : 1);
}

}
