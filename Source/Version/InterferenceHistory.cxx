#include "Version/InterferenceHistory.h"

#include <algorithm>
#include <map>

namespace cactusrail {

namespace {

/** Maximum age of a report at its arrival for which the tasks of a worker are
 * kept; entries that ended earlier are removed. */
constexpr Millis kHistoryPeriod{ 10000 };

std::vector<Neighbour>
Merge(std::span<const Neighbour> aNeighbours)
{
  std::map<std::uint32_t, double> weights;
  for (const Neighbour& neighbour : aNeighbours) {
    weights[neighbour.program_] += neighbour.weight_;
  }
  std::vector<Neighbour> merged;
  merged.reserve(weights.size());
  for (const auto& [program, weight] : weights) {
    merged.push_back({ program, weight });
  }
  return merged;
}

bool
AreEqual(const std::vector<Neighbour>& aLeft,
         const std::vector<Neighbour>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const Neighbour& aOne, const Neighbour& aOther) {
                      return aOne.program_ == aOther.program_ &&
                             aOne.weight_ == aOther.weight_;
                    });
}

}

void
InterferenceHistory::Record(std::string_view aWorker,
                            std::span<const Neighbour> aNeighbours,
                            Instant aNow)
{
  std::deque<Entry>& entries = workers_[std::string(aWorker)];
  std::vector<Neighbour> merged = Merge(aNeighbours);
  if (!entries.empty() && AreEqual(entries.back().neighbours_, merged)) {
    return;
  }
  entries.push_back({ aNow, std::move(merged) });
  while (entries.size() > 1 && entries[1].since_ + kHistoryPeriod < aNow) {
    entries.pop_front();
  }
}

std::vector<Neighbour>
InterferenceHistory::Mean(std::string_view aWorker,
                          Instant aFrom,
                          Instant aTo) const
{
  const auto found = workers_.find(std::string(aWorker));
  if (found == workers_.end() || aTo <= aFrom) {
    return {};
  }
  const double length = static_cast<double>((aTo - aFrom).count());
  std::vector<Neighbour> weighted;
  const std::deque<Entry>& entries = found->second;
  for (std::size_t index = 0; index < entries.size(); ++index) {
    const Instant from = std::max(aFrom, entries[index].since_);
    const Instant to = index + 1 < entries.size()
                         ? std::min(aTo, entries[index + 1].since_)
                         : aTo;
    if (to <= from) {
      continue;
    }
    const double part = static_cast<double>((to - from).count()) / length;
    for (const Neighbour& neighbour : entries[index].neighbours_) {
      weighted.push_back({ neighbour.program_, neighbour.weight_ * part });
    }
  }
  return Merge(weighted);
}

}
