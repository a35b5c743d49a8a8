#include "Process/LogCollapse.h"

namespace cactusrail {

namespace {

/** Cause under which all causes beyond Limits::maxCauses_ are counted. */
constexpr std::string_view kOtherCauses = "other-causes";

}

LogCollapse::LogCollapse(const Limits& aLimits)
  : limits_(aLimits)
{
}

bool
LogCollapse::Admit(std::string_view aCause, Instant aNow)
{
  auto found = windows_.find(aCause);
  if (found == windows_.end()) {
    const bool full = windows_.size() >= limits_.maxCauses_;
    const std::string cause(full ? kOtherCauses : aCause);
    found =
      windows_.try_emplace(cause, Window{ aNow + limits_.window_, 0 }).first;
  }
  ++found->second.lines_;
  return found->second.lines_ <= limits_.linesPerWindow_;
}

std::vector<CollapsedLines>
LogCollapse::Expire(Instant aNow)
{
  std::vector<CollapsedLines> ended;
  for (auto place = windows_.begin(); place != windows_.end();) {
    if (place->second.end_ > aNow) {
      ++place;
      continue;
    }
    if (place->second.lines_ > limits_.linesPerWindow_) {
      ended.push_back(
        { place->first, place->second.lines_ - limits_.linesPerWindow_ });
    }
    place = windows_.erase(place);
  }
  return ended;
}

}
