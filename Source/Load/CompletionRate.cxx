#include "Load/CompletionRate.h"

#include <algorithm>
#include <cmath>

namespace cactusrail {

namespace {

/** Observed time after which the weight of old completions is 1/e, so that the
 * rate follows a loss of workers within seconds. Longer for long tasks, as
 * their ends come in groups. */
constexpr double kMinDecayMs = 6000;
constexpr double kDecayFactor = 3;
/** Observed time from which the rate is known, at least one mean duration. */
constexpr double kMinObservedMs = 1000;
/** Multiple of the mean duration for which a backlog must last before it is
 * observed: the tasks that end earlier were started before there was a backlog,
 * at the rate of the demand. */
constexpr double kWarmUpFactor = 1.5;
constexpr double kDurationWeight = 0.05;
/** Age from which the rate of an ended backlog is not used, because the fleet
 * may have changed. */
constexpr Millis kMaxAge{ 300000 };
/** Time between two backlogs after which the weight of the earlier one is
 * 1/e. */
constexpr double kPauseDecayMs = 30000;
/** Longest time between two observations that counts. */
constexpr Millis kMaxGap{ 1000 };
constexpr std::size_t kMaxPriorities = 64;

double
MillisOf(Micros aTime)
{
  return static_cast<double>(aTime.count()) / 1000;
}

}

CompletionRate::Priority*
CompletionRate::FindOrAdd(std::string_view aService,
                          std::int64_t aPriority,
                          Instant aNow)
{
  const Key key{ aService, aPriority };
  const auto found = priorities_.find(key);
  if (found != priorities_.end()) {
    return &found->second;
  }
  if (priorities_.size() >= kMaxPriorities) {
    std::erase_if(priorities_, [aNow](const auto& aEntry) {
      return aNow - aEntry.second.countedTo_ > kMaxAge;
    });
  }
  if (priorities_.size() >= kMaxPriorities) {
    return nullptr;
  }
  Priority& added = priorities_[key];
  added.countedTo_ = aNow;
  return &added;
}

bool
CompletionRate::IsObserved(const Priority& aPriority, Instant aNow)
{
  return aPriority.backlogSince_.has_value() &&
         MillisOf(aNow - *aPriority.backlogSince_) >
           kWarmUpFactor * aPriority.durationMs_;
}

void
CompletionRate::Observe(Priority& aPriority, Instant aNow)
{
  const Micros gap = aNow - aPriority.countedTo_;
  if (IsObserved(aPriority, aNow) && gap <= kMaxGap) {
    const Micros begun = std::chrono::duration_cast<Micros>(
      std::chrono::duration<double, std::milli>(kWarmUpFactor *
                                                aPriority.durationMs_));
    const double ms =
      MillisOf(std::min(gap, aNow - (*aPriority.backlogSince_ + begun)));
    const double keep = std::exp(
      -ms / std::max(kMinDecayMs, kDecayFactor * aPriority.durationMs_));
    aPriority.ms_ = keep * aPriority.ms_ + ms;
    aPriority.ownWork_ *= keep;
    aPriority.allWork_ *= keep;
    aPriority.known_ =
      aPriority.known_ ||
      aPriority.ms_ >= std::max(kMinObservedMs, aPriority.durationMs_);
  }
  aPriority.countedTo_ = aNow;
}

void
CompletionRate::SetBacklog(std::string_view aService,
                           std::int64_t aPriority,
                           bool aWaiting,
                           Instant aNow)
{
  if (!aWaiting) {
    const auto found = priorities_.find(Key{ aService, aPriority });
    if (found != priorities_.end() && found->second.backlogSince_.has_value()) {
      Observe(found->second, aNow);
      found->second.backlogSince_.reset();
    }
    return;
  }
  Priority* priority = FindOrAdd(aService, aPriority, aNow);
  if (priority == nullptr) {
    return;
  }
  if (priority->backlogSince_.has_value()) {
    Observe(*priority, aNow);
    return;
  }
  const double keep =
    std::exp(-MillisOf(aNow - priority->countedTo_) / kPauseDecayMs);
  priority->ms_ *= keep;
  priority->ownWork_ *= keep;
  priority->allWork_ *= keep;
  priority->known_ = priority->known_ && aNow - priority->countedTo_ <= kMaxAge;
  priority->backlogSince_ = aNow;
  priority->countedTo_ = aNow;
}

void
CompletionRate::OnCompleted(std::string_view aService,
                            std::int64_t aPriority,
                            double aWork,
                            Millis aDuration,
                            Instant aNow)
{
  if (Priority* own = FindOrAdd(aService, aPriority, aNow)) {
    const auto duration = static_cast<double>(aDuration.count());
    own->durationMs_ =
      own->durationMs_ == 0
        ? duration
        : own->durationMs_ + kDurationWeight * (duration - own->durationMs_);
  }
  for (auto entry =
         priorities_.lower_bound({ std::string(aService), aPriority });
       entry != priorities_.end() && entry->first.first == aService;
       ++entry) {
    Priority& priority = entry->second;
    if (!IsObserved(priority, aNow)) {
      continue;
    }
    Observe(priority, aNow);
    priority.allWork_ += aWork;
    priority.ownWork_ += entry->first.second == aPriority ? aWork : 0;
  }
}

std::optional<WorkRate>
CompletionRate::Rate(std::string_view aService,
                     std::int64_t aPriority,
                     Instant aNow) const
{
  const auto found = priorities_.find(Key{ aService, aPriority });
  if (found == priorities_.end() || !found->second.known_ ||
      found->second.ownWork_ <= 0 ||
      aNow - found->second.countedTo_ > kMaxAge) {
    return std::nullopt;
  }
  const Priority& priority = found->second;
  return WorkRate{ priority.ownWork_ / priority.ms_,
                   priority.allWork_ / priority.ms_ };
}

}
