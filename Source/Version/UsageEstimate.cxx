#include "Version/UsageEstimate.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

namespace {

/** Ratio of used to declared values for a program without observations. */
constexpr double kPriorRatio = 1.2;
/** Weight of the prior ratio, in observations. */
constexpr double kPriorWeight = 3;
/** Number of observations over which old ones decay. */
constexpr double kDecayObservations = 50;

std::int64_t
Scale(std::int64_t aDeclared, double aRatio)
{
  return std::llround(static_cast<double>(aDeclared) * aRatio);
}

double
RatioOf(std::int64_t aUsed, std::int64_t aDeclared)
{
  return static_cast<double>(aUsed) /
         static_cast<double>(std::max<std::int64_t>(1, aDeclared));
}

}

void
UsageEstimate::Ratio::Learn(double aValue)
{
  observations_ = std::min(kDecayObservations, observations_ + 1);
  const double error = aValue - mean_;
  mean_ += error / observations_;
  variance_ += (error * error - variance_) / observations_;
  if (observations_ == 1) {
    variance_ = 0;
  }
}

double
UsageEstimate::Ratio::Conservative() const
{
  const double part = observations_ / (observations_ + kPriorWeight);
  return part * (mean_ + std::sqrt(variance_)) + (1 - part) * kPriorRatio;
}

UsageEstimate::Program&
UsageEstimate::ProgramNamed(std::string_view aName)
{
  const auto found = programs_.find(aName);
  if (found != programs_.end()) {
    return found->second;
  }
  return programs_[std::string(aName)];
}

void
UsageEstimate::OnUsage(std::string_view aProgram,
                       const Resources& aDeclared,
                       const Resources& aUsed)
{
  Program& program = ProgramNamed(aProgram);
  program.cpu_.Learn(RatioOf(aUsed.milliCpus_, aDeclared.milliCpus_));
  program.memory_.Learn(RatioOf(aUsed.memoryMb_, aDeclared.memoryMb_));
}

void
UsageEstimate::OnFinished(std::string_view aProgram,
                          std::uint64_t aDeclaredMs,
                          std::uint64_t aRanMs)
{
  ProgramNamed(aProgram).run_.Learn(RatioOf(
    static_cast<std::int64_t>(aRanMs), static_cast<std::int64_t>(aDeclaredMs)));
}

ExpectedUsage
UsageEstimate::Expect(std::string_view aProgram,
                      const Resources& aDeclared,
                      std::uint64_t aDeclaredMs) const
{
  const auto found = programs_.find(aProgram);
  const Program program = found == programs_.end() ? Program{} : found->second;
  ExpectedUsage expected;
  expected.resources_.milliCpus_ =
    Scale(aDeclared.milliCpus_, program.cpu_.Conservative());
  expected.resources_.memoryMb_ =
    Scale(aDeclared.memoryMb_, program.memory_.Conservative());
  // Accelerators are whole devices, so a task uses exactly what it declares.
  expected.resources_.accelerators_ = aDeclared.accelerators_;
  expected.runMs_ = static_cast<std::uint64_t>(
    Scale(static_cast<std::int64_t>(aDeclaredMs), program.run_.Conservative()));
  expected.confidence_ =
    program.cpu_.observations_ / (program.cpu_.observations_ + kPriorWeight);
  return expected;
}

}
