#include "Load/LeaderEvidence.h"

#include <algorithm>

namespace cactusrail {

void
LeaderEvidence::OnLeader(Instant aNow)
{
  *this = LeaderEvidence();
  linkAnsweredAt_ = aNow;
}

void
LeaderEvidence::OnRowRead(std::uint64_t aVersion, Instant aSentAt, Instant aNow)
{
  if (!firstSeenAt_.has_value() || version_ != aVersion) {
    version_ = aVersion;
    firstSeenAt_ = aNow;
  }
  lastReadSentAt_ = aSentAt;
}

void
LeaderEvidence::OnRowReadFailed()
{
  lastReadSentAt_.reset();
}

void
LeaderEvidence::OnLinkAnswer(Instant aNow)
{
  linkAnsweredAt_ = aNow;
  linkNotOpened_ = false;
}

std::optional<Millis>
LeaderEvidence::RowAge() const
{
  if (!firstSeenAt_.has_value() || !lastReadSentAt_.has_value()) {
    return std::nullopt;
  }
  return std::max(
    Millis(0),
    std::chrono::duration_cast<Millis>(*lastReadSentAt_ - *firstSeenAt_));
}

Millis
LeaderEvidence::LinkAge(Instant aNow) const
{
  return std::chrono::duration_cast<Millis>(aNow - linkAnsweredAt_);
}

bool
LeaderEvidence::IsLost(Instant aNow, Millis aDelay) const
{
  const std::optional<Millis> rowAge = RowAge();
  return rowAge.has_value() && *rowAge >= kRowUnchanged + aDelay &&
         (linkNotOpened_ || LinkAge(aNow) >= kLinkSilent);
}

Instant
LeaderEvidence::LastSign() const
{
  return std::max(firstSeenAt_.value_or(Instant()), linkAnsweredAt_);
}

}
