#include "Load/JobAdmission.h"

#include <algorithm>

namespace cactusrail {

namespace {

constexpr Millis kMaxDigestAge{ 2000 };
/** Time after a change of the leader in which all jobs are accepted. */
constexpr Millis kNewLeaderTime{ 2000 };
/** Part of the expected wait that is certain enough for the first rejection. In
 * a shortage, jobs may wait for the inverse multiple. */
constexpr double kCertainPart = 0.8;
/** Part of the wait at its first rejection at which a shortage ends. */
constexpr double kShortageEnd = 0.5;
/** Age up to which an accepted job may be missing in the leader's digest: the
 * digest is at most 100 ms old and built in ticks of 50 ms. */
constexpr Millis kDigestLag{ 150 };
constexpr Millis kMinRetryAfter{ 300 };
/** Longer predictions are too uncertain to keep a caller away. */
constexpr Millis kMaxRetryAfter{ 60000 };
/** Limits memory; later jobs are not counted until the next digest. */
constexpr std::size_t kMaxAccepted = 2000;
constexpr std::size_t kMaxReturns = 64;

Millis
MillisOf(double aMs)
{
  return Millis(static_cast<std::int64_t>(aMs));
}

}

void
JobAdmission::OnLeader(std::uint64_t aEpoch, Instant aNow)
{
  if (epoch_ == aEpoch) {
    return;
  }
  epoch_ = aEpoch;
  epochSince_ = aNow;
  digest_ = LoadDigest();
  receivedAt_.reset();
  shortages_.clear();
}

void
JobAdmission::OnDigest(LoadDigest aDigest, Instant aAskedAt, Instant aNow)
{
  digest_ = std::move(aDigest);
  Confirm(aAskedAt, aNow);
}

void
JobAdmission::OnUnchanged(Instant aAskedAt, Instant aNow)
{
  if (receivedAt_.has_value()) {
    Confirm(aAskedAt, aNow);
  }
}

void
JobAdmission::Confirm(Instant aAskedAt, Instant aNow)
{
  receivedAt_ = aNow;
  while (!accepted_.empty() && accepted_.front().at_ < aAskedAt - kDigestLag) {
    accepted_.pop_front();
  }
}

bool
JobAdmission::HasFreshDigest(Instant aNow) const
{
  return receivedAt_.has_value() && aNow - *receivedAt_ <= kMaxDigestAge &&
         aNow - epochSince_ >= kNewLeaderTime;
}

const PriorityLoad*
JobAdmission::LoadOf(const JobDemand& aDemand) const
{
  for (const PriorityLoad& load : digest_.loads_) {
    if (load.service_ == aDemand.service_ &&
        load.priority_ == aDemand.priority_) {
      return &load;
    }
  }
  return nullptr;
}

CompletionEstimate
JobAdmission::EstimateFor(const JobDemand& aDemand,
                          const PriorityLoad& aLoad,
                          Instant aNow) const
{
  double own = aLoad.work_;
  double all = 0;
  for (const PriorityLoad& other : digest_.loads_) {
    const bool ahead = other.service_ == aDemand.service_ &&
                       other.priority_ <= aDemand.priority_;
    all += ahead ? other.work_ : 0;
  }
  for (const Accepted& job : accepted_) {
    if (job.service_ == aDemand.service_ &&
        job.priority_ <= aDemand.priority_) {
      all += job.work_;
      own += job.priority_ == aDemand.priority_ ? job.work_ : 0;
    }
  }
  // Two lower bounds: the first assumes the learned level of more urgent work,
  // the second that no more of it arrives.
  const double untilDone =
    std::max(own / aLoad.rate_, all / aLoad.rateWithMoreUrgent_);
  const auto age = std::chrono::duration_cast<Millis>(aNow - *receivedAt_);
  CompletionEstimate estimate;
  estimate.workAhead_ = all;
  estimate.waitMs_ =
    std::max(0.0, untilDone - static_cast<double>(age.count()));
  return estimate;
}

std::optional<CompletionEstimate>
JobAdmission::Check(const JobDemand& aDemand, Instant aNow)
{
  const PriorityLoad* load = LoadOf(aDemand);
  if (!HasFreshDigest(aNow) || aDemand.objectiveMs_ <= 0 || load == nullptr ||
      load->rate_ <= 0 || load->rateWithMoreUrgent_ <= 0) {
    return std::nullopt;
  }
  CompletionEstimate estimate = EstimateFor(aDemand, *load, aNow);
  const Key key{ aDemand.service_, aDemand.priority_ };
  auto shortage = shortages_.find(key);
  if (shortage != shortages_.end() &&
      estimate.waitMs_ < kShortageEnd * shortage->second) {
    shortages_.erase(shortage);
    shortage = shortages_.end();
  }
  const bool isShort = shortage != shortages_.end();
  estimate.assumedMs_ =
    aDemand.chainMs_ + (isShort ? estimate.waitMs_ / kCertainPart
                                : estimate.waitMs_ * kCertainPart);
  if (estimate.assumedMs_ <= aDemand.usefulMs_) {
    return std::nullopt;
  }
  shortages_.try_emplace(key, estimate.waitMs_);
  return estimate;
}

void
JobAdmission::OnAccepted(const JobDemand& aDemand, Instant aNow)
{
  // Without confirmations of the leader no job is rejected, and the figures
  // are not needed.
  while (!accepted_.empty() &&
         accepted_.front().at_ < aNow - kMaxDigestAge - kDigestLag) {
    accepted_.pop_front();
  }
  if (accepted_.size() < kMaxAccepted) {
    accepted_.push_back(
      { aNow, aDemand.service_, aDemand.priority_, aDemand.work_ });
  }
}

Millis
JobAdmission::OnRejected(const JobDemand& aDemand,
                         const CompletionEstimate& aEstimate,
                         Instant aNow)
{
  std::erase_if(nextReturn_,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  const Instant inTime =
    aNow + std::max(kMinRetryAfter,
                    MillisOf(aEstimate.waitMs_ + aDemand.chainMs_ -
                             aDemand.objectiveMs_));
  const Key key{ aDemand.service_, aDemand.priority_ };
  const auto found = nextReturn_.find(key);
  const Instant returnAt =
    found == nextReturn_.end() ? inTime : std::max(inTime, found->second);
  const PriorityLoad* load = LoadOf(aDemand);
  if (load != nullptr && load->rate_ > 0 &&
      (found != nextReturn_.end() || nextReturn_.size() < kMaxReturns)) {
    // Other entries reject as many jobs and use the same rate.
    nextReturn_[key] =
      returnAt + MillisOf(digest_.entries_ * aDemand.work_ / load->rate_);
  }
  return std::min(std::chrono::ceil<Millis>(returnAt - aNow), kMaxRetryAfter);
}

}
