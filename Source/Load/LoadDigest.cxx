#include "Load/LoadDigest.h"

#include "Version/RecordCodec.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

namespace {

/** With 13 entries that ask about three times a second, the leader sends at
 * most some 35 KB a second in an overload. */
constexpr std::size_t kMaxBytes = 1000;
/** Changes of the time to complete the work that are not noticeable. */
constexpr double kMinChange = 0.1;
constexpr double kMinChangeMs = 250;

bool
Differ(double aOld, double aNew)
{
  return std::abs(aOld - aNew) > kMinChange * std::max(aOld, aNew);
}

/** The work matters only through the time that it takes. */
bool
Differ(const PriorityLoad& aOld, const PriorityLoad& aNew)
{
  if (aOld.rate_ <= 0 && aNew.rate_ <= 0) {
    return false;
  }
  if (aOld.rate_ <= 0 || aNew.rate_ <= 0) {
    return true;
  }
  const double before = aOld.work_ / aOld.rate_;
  const double after = aNew.work_ / aNew.rate_;
  return std::abs(before - after) > kMinChangeMs && Differ(before, after);
}

}

double
ExpectedMillis(const LoadDigest& aDigest,
               std::string_view aQueue,
               std::int64_t aEstimateMs)
{
  if (aEstimateMs <= 0) {
    return 0;
  }
  for (const QueueRelation& relation : aDigest.queues_) {
    if (relation.queue_ == aQueue) {
      return std::exp(relation.intercept_ +
                      relation.slope_ *
                        std::log(static_cast<double>(aEstimateMs)));
    }
  }
  return static_cast<double>(aEstimateMs);
}

bool
DiffersNoticeably(const LoadDigest& aOld, const LoadDigest& aNew)
{
  if (aOld.loads_.size() != aNew.loads_.size() ||
      aOld.queues_.size() != aNew.queues_.size() ||
      aOld.entries_ != aNew.entries_) {
    return true;
  }
  for (std::size_t i = 0; i < aNew.loads_.size(); ++i) {
    const PriorityLoad& before = aOld.loads_[i];
    const PriorityLoad& after = aNew.loads_[i];
    if (before.service_ != after.service_ ||
        before.priority_ != after.priority_ || Differ(before, after)) {
      return true;
    }
  }
  // An estimate that callers typically give; relations are compared by their
  // effect.
  constexpr std::int64_t kTypicalEstimateMs = 2000;
  return std::any_of(
    aNew.queues_.begin(),
    aNew.queues_.end(),
    [&](const QueueRelation& aRelation) {
      return Differ(ExpectedMillis(aOld, aRelation.queue_, kTypicalEstimateMs),
                    ExpectedMillis(aNew, aRelation.queue_, kTypicalEstimateMs));
    });
}

void
LimitSize(LoadDigest& aDigest)
{
  while (EncodeRecord(aDigest).size() > kMaxBytes) {
    if (!aDigest.queues_.empty()) {
      aDigest.queues_.pop_back();
    } else if (!aDigest.loads_.empty()) {
      aDigest.loads_.pop_back();
    } else {
      return;
    }
  }
}

}
