#include "Request/Verdict.h"

namespace cactusrail {

std::string_view
VerdictText(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::DidNotRun:
      return "did not run";
    case Verdict::Ran:
      return "ran";
    case Verdict::MayHaveRun:
      return "may have run";
  }
  return "may have run";
}

Verdict
CombineVerdicts(Verdict aFirst, Verdict aSecond)
{
  if (aFirst == Verdict::Ran || aSecond == Verdict::Ran) {
    return Verdict::Ran;
  }
  if (aFirst == Verdict::MayHaveRun || aSecond == Verdict::MayHaveRun) {
    return Verdict::MayHaveRun;
  }
  return Verdict::DidNotRun;
}

}
