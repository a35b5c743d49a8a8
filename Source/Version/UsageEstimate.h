#pragma once

#include "Version/WorkRecords.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cactusrail {

/** What a task is expected to take. */
struct ExpectedUsage
{
  Resources resources_;
  std::uint64_t runMs_ = 0;
  /** 0 if nothing was seen of the program, towards 1 with what was. */
  double confidence_ = 0;
};

/**
 * What tasks of a program really take beside what they declare, learned from
 * running and finished tasks. It starts cautious: a program never seen is
 * expected to take a little more than declared. Pure.
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
  /** Mean and spread of used over declared. */
  struct Ratio
  {
    double mean_ = 1;
    double variance_ = 0;
    double seen_ = 0;

    void Learn(double aValue);
    double Cautious() const;
  };
  struct Program
  {
    Ratio cpu_;
    Ratio memory_;
    Ratio run_;
  };
  struct NameHash
  {
    // NOLINTNEXTLINE(readability-identifier-naming): the standard names it so.
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
