#include "Process/LeaderLease.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

/** Delay before the retry of a failed call to the table. */
constexpr Millis kRetry{ 250 };
/** Share of a processor that is sufficient for a leader. */
constexpr double kSufficientProcessors = 0.5;
/** Delay per multiple by which a host falls short of kSufficientProcessors.
 * Longer than the 0.1 s between two reads of the row plus the duration of a
 * write. */
constexpr Millis kAcquisitionDelayStep{ 150 };
/** Maximum delay; a longer time without a leader costs more than a slow leader.
 */
constexpr Millis kMaxAcquisitionDelay{ 600 };
/** Minimum ratio of processors for a handover. Moving the leadership stops all
 * placement for about 0.2 s. */
constexpr double kMinHandoverRatio = 2;
/** Smallest step past a deadline. */
constexpr Millis kPastExpiry{ 1 };
/** Delay before a leader that yielded renews, which lets the other entry take
 * over. */
constexpr Millis kYieldDelay{ 1500 };

}

Millis
LeaderLease::AcquisitionDelay(double aProcessors)
{
  const double times = kSufficientProcessors / std::max(aProcessors, 0.01) - 1;
  const auto delay = std::chrono::duration_cast<Millis>(std::max(times, 0.0) *
                                                        kAcquisitionDelayStep);
  return std::min(delay, kMaxAcquisitionDelay);
}

LeaderLease::LeaderLease(Identity aSelf)
  : self_(std::move(aSelf))
  , acquisitionDelay_(AcquisitionDelay(self_.processors_))
{
}

bool
LeaderLease::IsOwn(const LeaderRecord& aRecord) const
{
  return aRecord.node_ == self_.node_ &&
         aRecord.incarnation_ == self_.incarnation_;
}

bool
LeaderLease::IsLeader(Instant aNow) const
{
  return holds_ && !stepDown_ && aNow < deadline_;
}

LeaseStep
LeaderLease::Next(Instant aNow)
{
  if (busy_ || steppedDown_ || aNow < nextAt_) {
    return LeaseStep::Nothing;
  }
  if (!rowKnown_ || outcomeUnknown_) {
    busy_ = true;
    sentAt_ = aNow;
    return LeaseStep::Read;
  }
  return holds_ ? NextWhileHolding(aNow) : NextWhileFollowing(aNow);
}

LeaseStep
LeaderLease::Write(Instant aNow)
{
  busy_ = true;
  sentAt_ = aNow;
  return LeaseStep::Write;
}

LeaseStep
LeaderLease::NextWhileHolding(Instant aNow)
{
  wanted_ = row_.record_;
  wanted_.workerProtocol_ = workerProtocol_.value_or(wanted_.workerProtocol_);
  if (stepDown_) {
    wanted_.node_.clear();
    wanted_.incarnation_.clear();
  }
  return Write(aNow);
}

bool
LeaderLease::IsFree(Instant aNow) const
{
  const LeaderRecord& leader = row_.record_;
  if (row_.version_ == 0 || leader.node_.empty()) {
    return aNow - unchangedSince_ >= acquisitionDelay_;
  }
  // The holder listened at the address that this process listens at now, so the
  // holder no longer runs.
  if (leader.address_ == self_.address_ &&
      leader.incarnation_ != self_.incarnation_) {
    return true;
  }
  if (row_.version_ == yieldedVersion_) {
    return true;
  }
  return aNow > ExpiresAt();
}

Instant
LeaderLease::ExpiresAt() const
{
  return unchangedSince_ +
         (kLeaderLease + kLeaderLeaseSlack + acquisitionDelay_);
}

bool
LeaderLease::ShouldYieldTo(double aProcessors) const
{
  return holds_ && !stepDown_ && self_.processors_ < kSufficientProcessors &&
         aProcessors >= kMinHandoverRatio * self_.processors_;
}

LeaseStep
LeaderLease::NextWhileFollowing(Instant aNow)
{
  if (stepDown_) {
    steppedDown_ = true;
    return LeaseStep::Nothing;
  }
  if (!IsFree(aNow)) {
    busy_ = true;
    sentAt_ = aNow;
    return LeaseStep::Read;
  }
  wanted_ = { row_.record_.epoch_ + 1,
              self_.node_,
              self_.incarnation_,
              self_.address_,
              row_.record_.workerProtocol_ };
  workerProtocol_.reset();
  return Write(aNow);
}

void
LeaderLease::OnRead(const LeaderRow& aRow, Instant aSentAt, Instant aNow)
{
  busy_ = false;
  outcomeUnknown_ = false;
  const bool changed = !rowKnown_ || row_.version_ != aRow.version_;
  rowKnown_ = true;
  row_ = aRow;
  if (changed) {
    unchangedSince_ = aNow;
  }
  const bool own = IsOwn(row_.record_);
  if (own && !holds_) {
    // A write of this process without an answer took effect. Followers measure
    // the lease from their first observation of the new version; this process
    // leads only after its next renewal.
    holds_ = true;
    deadline_ = aSentAt;
  }
  if (!own) {
    holds_ = false;
  }
  // The next read of a lease that is not renewed takes place as soon as the
  // lease expires instead of up to kLeaderCheckPeriod later, because the fleet
  // starts nothing without a leader.
  nextAt_ = own || IsFree(aNow)
              ? aNow
              : std::min(aNow + kLeaderCheckPeriod, ExpiresAt() + kPastExpiry);
  if (row_.record_.node_.empty()) {
    nextAt_ = std::max(aNow, unchangedSince_ + acquisitionDelay_);
  }
}

void
LeaderLease::OnReadFailed(Instant aNow)
{
  busy_ = false;
  nextAt_ = aNow + kRetry;
}

void
LeaderLease::OnWritten(std::uint64_t aVersion, Instant aNow)
{
  busy_ = false;
  row_.record_ = wanted_;
  row_.version_ = aVersion;
  unchangedSince_ = aNow;
  yieldedVersion_ = 0;
  holds_ = IsOwn(wanted_);
  if (!holds_) {
    steppedDown_ = true;
    return;
  }
  deadline_ = sentAt_ + kLeaderLease;
  nextAt_ = stepDown_ ? aNow : sentAt_ + kLeaderRenewal;
}

void
LeaderLease::RequireRead(Instant aNow)
{
  busy_ = false;
  outcomeUnknown_ = true;
  nextAt_ = aNow;
}

void
LeaderLease::OnConflict(Instant aNow)
{
  RequireRead(aNow);
}

void
LeaderLease::OnUnknownOutcome(Instant aNow)
{
  RequireRead(aNow);
  nextAt_ = aNow + kRetry;
}

void
LeaderLease::OnNotWritten(Instant aNow)
{
  busy_ = false;
  nextAt_ = aNow + kRetry;
}

void
LeaderLease::Yield(Instant aNow)
{
  // A repeated yield must not postpone the next renewal again.
  if (aNow >= deadline_) {
    return;
  }
  deadline_ = aNow;
  nextAt_ = aNow + kYieldDelay;
}

void
LeaderLease::OnYield(std::uint64_t aVersion, Instant aNow)
{
  if (holds_) {
    return;
  }
  yieldedVersion_ = aVersion;
  nextAt_ = aNow;
}

void
LeaderLease::StepDown()
{
  stepDown_ = true;
  nextAt_ = Instant();
}

}
