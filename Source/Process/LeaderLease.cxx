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
/** Bandwidth that is sufficient for a leader, which exchanges reports and
 * orders with every side. */
constexpr double kSufficientMbps = 25;
/** Largest clock difference between two hosts over
 * LeaderEvidence::kRowUnchanged, with a drift of 2 % each. */
constexpr Millis kEvidenceSlack{ 50 };
/** Smallest step past a deadline. */
constexpr Millis kPastExpiry{ 1 };
/** Delay before a leader that yielded renews, which lets the other entry take
 * over. */
constexpr Millis kYieldDelay{ 1500 };

/** Returns the delay of a host that has aHas of the aSufficient that a leader
 * needs. */
Millis
DelayOf(double aHas, double aSufficient)
{
  const double times = aSufficient / std::max(aHas, 0.01) - 1;
  const auto delay = std::chrono::duration_cast<Millis>(std::max(times, 0.0) *
                                                        kAcquisitionDelayStep);
  return std::min(delay, kMaxAcquisitionDelay);
}

/** A bandwidth that is not known counts as sufficient. */
double
LinkOf(double aLinkMbps)
{
  return aLinkMbps > 0 ? aLinkMbps : kSufficientMbps;
}

/** Returns whether a value below aSufficient is exceeded by the ratio that is
 * worth a handover. */
bool
IsMuchBetter(double aOther, double aOwn, double aSufficient)
{
  return aOwn < aSufficient && aOther >= kMinHandoverRatio * aOwn;
}

bool
IsWorse(double aOther, double aOwn, double aSufficient)
{
  return std::min(aOther, aSufficient) < std::min(aOwn, aSufficient);
}

Millis
RoundedUp(Micros aTime)
{
  return std::chrono::ceil<Millis>(std::max(aTime, Micros(0)));
}

}

std::string_view
LeaseTakeoverText(LeaseTakeover aKind)
{
  switch (aKind) {
    case LeaseTakeover::Free:
      return "free";
    case LeaseTakeover::Expired:
      return "expired";
    case LeaseTakeover::Yielded:
      return "yielded";
    case LeaseTakeover::OwnAddress:
      return "own-address";
    case LeaseTakeover::Early:
      return "early";
  }
  return "unknown";
}

Millis
LeaderLease::AcquisitionDelay(double aProcessors, double aLinkMbps)
{
  return std::max(DelayOf(aProcessors, kSufficientProcessors),
                  DelayOf(LinkOf(aLinkMbps), kSufficientMbps));
}

LeaderLease::LeaderLease(Identity aSelf)
  : self_(std::move(aSelf))
  , acquisitionDelay_(AcquisitionDelay(self_.processors_, self_.linkMbps_))
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
  wanted_.formerLeaseMs_ =
    static_cast<std::uint32_t>(RoundedUp(formerLeaseEnd_ - aNow).count());
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
  return TakeoverReason(aNow).has_value();
}

std::optional<LeaseTakeover>
LeaderLease::TakeoverReason(Instant aNow) const
{
  const LeaderRecord& leader = row_.record_;
  if (row_.version_ == 0 || leader.node_.empty()) {
    return aNow - unchangedSince_ >= acquisitionDelay_
             ? std::optional(LeaseTakeover::Free)
             : std::nullopt;
  }
  // The holder listened at the address that this process listens at now, so the
  // holder no longer runs.
  if (leader.address_ == self_.address_ &&
      leader.incarnation_ != self_.incarnation_) {
    return LeaseTakeover::OwnAddress;
  }
  if (row_.version_ == yieldedVersion_) {
    return LeaseTakeover::Yielded;
  }
  if (aNow > ExpiresAt()) {
    return LeaseTakeover::Expired;
  }
  if (EarlyTakeoverEnabled() && !IsOwn(leader) &&
      evidence_.IsLost(aNow, acquisitionDelay_)) {
    return LeaseTakeover::Early;
  }
  return std::nullopt;
}

bool
LeaderLease::EarlyTakeoverEnabled() const
{
  return rowKnown_ &&
         IsEnabled(self_.earlyTakeover_, row_.record_.workerProtocol_);
}

Instant
LeaderLease::ExpiresAt() const
{
  return unchangedSince_ +
         (kLeaderLease + kLeaderLeaseSlack + acquisitionDelay_);
}

bool
LeaderLease::ShouldYieldTo(double aProcessors, double aLinkMbps) const
{
  const double link = LinkOf(aLinkMbps);
  const double ownLink = LinkOf(self_.linkMbps_);
  const bool processors =
    IsMuchBetter(aProcessors, self_.processors_, kSufficientProcessors) &&
    !IsWorse(link, ownLink, kSufficientMbps);
  const bool bandwidth =
    aLinkMbps > 0 && IsMuchBetter(link, ownLink, kSufficientMbps) &&
    !IsWorse(aProcessors, self_.processors_, kSufficientProcessors);
  return holds_ && !stepDown_ && (processors || bandwidth);
}

Instant
LeaderLease::OnlyLeaderUntil() const
{
  // Followers may have read a protocol whose write has not been answered yet.
  const WorkerProtocol wanted =
    workerProtocol_.value_or(row_.record_.workerProtocol_);
  return EarlyTakeoverEnabled() || IsEnabled(self_.earlyTakeover_, wanted)
           ? renewedAt_ + (LeaderEvidence::kRowUnchanged - kEvidenceSlack)
           : Instant::max();
}

LeaseStep
LeaderLease::NextWhileFollowing(Instant aNow)
{
  if (stepDown_) {
    steppedDown_ = true;
    return LeaseStep::Nothing;
  }
  if (const auto reason = TakeoverReason(aNow)) {
    return TakeOver(*reason, aNow);
  }
  busy_ = true;
  sentAt_ = aNow;
  return LeaseStep::Read;
}

LeaseStep
LeaderLease::TakeOver(LeaseTakeover aKind, Instant aNow)
{
  takeover_ = aKind;
  formerLeaderSeenAt_ = std::max(unchangedSince_, evidence_.LastSign());
  formerLeaseEnd_ = aNow;
  if (aKind == LeaseTakeover::Early) {
    formerLeaseEnd_ = unchangedSince_ + (kLeaderLease + kLeaderLeaseSlack);
  }
  if (row_.record_.formerLeaseMs_ > 0) {
    formerLeaseEnd_ =
      std::max(formerLeaseEnd_,
               unchangedSince_ +
                 (Millis(row_.record_.formerLeaseMs_) + kLeaderLeaseSlack));
  }
  wanted_ = { row_.record_.epoch_ + 1,      self_.node_,
              self_.incarnation_,           self_.address_,
              row_.record_.workerProtocol_, 0 };
  workerProtocol_.reset();
  return Write(aNow);
}

void
LeaderLease::OnRead(const LeaderRow& aRow, Instant aSentAt, Instant aNow)
{
  busy_ = false;
  outcomeUnknown_ = false;
  const bool changed = !rowKnown_ || row_.version_ != aRow.version_;
  if (!rowKnown_ || row_.record_.epoch_ != aRow.record_.epoch_ ||
      row_.record_.incarnation_ != aRow.record_.incarnation_) {
    evidence_.OnLeader(aNow);
  }
  evidence_.OnRowRead(aRow.version_, aSentAt, aNow);
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
  nextAt_ = own || IsFree(aNow) ? aNow : NextCheck(aNow);
  if (row_.record_.node_.empty()) {
    nextAt_ = std::max(aNow, unchangedSince_ + acquisitionDelay_);
  }
}

Instant
LeaderLease::NextCheck(Instant aNow) const
{
  const Instant next =
    std::min(aNow + (EarlyTakeoverEnabled() ? kEarlyLeaderCheckPeriod
                                            : kLeaderCheckPeriod),
             ExpiresAt() + kPastExpiry);
  // The read that can complete the evidence takes place as soon as it can.
  const Instant complete =
    unchangedSince_ + (LeaderEvidence::kRowUnchanged + acquisitionDelay_);
  return EarlyTakeoverEnabled() && complete > aNow ? std::min(next, complete)
                                                   : next;
}

void
LeaderLease::OnReadFailed(Instant aNow)
{
  busy_ = false;
  evidence_.OnRowReadFailed();
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
  renewedAt_ = sentAt_;
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
