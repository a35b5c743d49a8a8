#pragma once

#include "Version/WorkRecords.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cactusrail {

/** Expected resource usage and run time of a task. */
struct ExpectedUsage
{
  Resources resources_;
  std::uint64_t runMs_ = 0;
  /** 0 without observations of the program; approaches 1 as they accumulate. */
  double confidence_ = 0;
};

/**
 * Estimates the resource usage and run time of a program's tasks relative to
 * their declared values, from running and finished tasks. The estimate is
 * conservative at first: a program without observations is expected to use
 * somewhat more than declared. Does no I/O and reads no clock.
 */
class UsageEstimate
{
public:
  void OnUsage(std::string_view aProgram,
               const Resources& aDeclared,
               const Resources& aUsed);
  void OnFinished(std::string_view aProgram,
                  std::uint64_t aDeclaredMs,
                  std::uint64_t aRanMs);

  ExpectedUsage Expect(std::string_view aProgram,
                       const Resources& aDeclared,
                       std::uint64_t aDeclaredMs) const;

private:
  /** Mean and variance of the ratio of used to declared values. */
  struct Ratio
  {
    double mean_ = 1;
    double variance_ = 0;
    double observations_ = 0;

    void Learn(double aValue);
    double Conservative() const;
  };
  struct Program
  {
    Ratio cpu_;
    Ratio memory_;
    Ratio run_;
  };
  struct NameHash
  {
    // NOLINTNEXTLINE(readability-identifier-naming): required by the standard.
    using is_transparent = void;
    std::size_t operator()(std::string_view aName) const
    {
      return std::hash<std::string_view>()(aName);
    }
  };

  Program& ProgramNamed(std::string_view aName);

  std::unordered_map<std::string, Program, NameHash, std::equal_to<>> programs_;
};

}
