#include "Version/CellLease.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

namespace {

constexpr Millis kInitialBackoff{ 250 };
constexpr std::uint32_t kMaxBackoffDoublings = 4;

}

CellLease::CellLease(EntryIdentity aSelf, const WorkTimings& aTimings)
  : self_(std::move(aSelf))
  , timings_(aTimings)
{
}

bool
CellLease::IsMine(const CellRow& aRow) const
{
  return aRow.owner_ == self_.name_ &&
         aRow.ownerIncarnation_ == self_.incarnation_;
}

bool
CellLease::MayAct(Instant aNow) const
{
  return owned_ && aNow < deadline_;
}

bool
CellLease::MayTake(std::size_t aRank, Instant aNow) const
{
  if (!seen_ || owned_ || !MayWrite(aNow)) {
    return false;
  }
  const Micros wait = timings_.rankDelay_ * static_cast<std::int64_t>(aRank);
  if (row_.owner_.empty()) {
    return aNow >= unchangedSince_ + wait;
  }
  // The owner measures its lease from the time it sent the write, which is
  // before this entry observed it. The lease has therefore expired after this
  // wait, whatever the two clocks show. Taking the cell earlier could leave two
  // entries acting for it.
  return aNow >=
         unchangedSince_ + timings_.cellLease_ + timings_.margin_ + wait;
}

bool
CellLease::MayWrite(Instant aNow) const
{
  return !writing_ && aNow >= writeAfter_;
}

bool
CellLease::BeatDue(Instant aNow) const
{
  return aNow >= beatDueAt_ || InDoubt();
}

CellRow
CellLease::Stamp(CellRow aRow, bool aTake)
{
  aRow.owner_ = self_.name_;
  aRow.ownerIncarnation_ = self_.incarnation_;
  if (aTake) {
    ++aRow.epoch_;
  }
  // The beat is unique among this owner's writes, so that the row identifies
  // the write that applied.
  nextBeat_ = std::max(nextBeat_, aRow.beat_) + 1;
  aRow.beat_ = nextBeat_;
  return aRow;
}

void
CellLease::WriteSent(const CellRow&, Instant aNow)
{
  writing_ = true;
  beatDueAt_ = aNow + timings_.beatEvery_;
}

void
CellLease::ReplaceRow(const CellRow& aRow,
                      std::uint64_t aRevision,
                      Instant aNow)
{
  row_ = aRow;
  revision_ = aRevision;
  seen_ = true;
  unchangedSince_ = aNow;
  unresolvedWrites_.clear();
}

void
CellLease::WriteApplied(const CellRow& aRow,
                        std::uint64_t aRevision,
                        Instant aSentAt,
                        Instant aNow)
{
  writing_ = false;
  failures_ = 0;
  if (aRevision < revision_) {
    return;
  }
  ReplaceRow(aRow, aRevision, aNow);
  owned_ = IsMine(aRow);
  deadline_ = aSentAt + timings_.cellLease_;
}

void
CellLease::BackOffWrites(Instant aNow)
{
  writing_ = false;
  const std::uint32_t doublings = std::min(failures_, kMaxBackoffDoublings);
  writeAfter_ = aNow + kInitialBackoff * (1U << doublings);
  beatDueAt_ = aNow;
  ++failures_;
}

void
CellLease::WriteRefused(Instant aNow)
{
  writing_ = false;
  beatDueAt_ = aNow;
}

void
CellLease::WriteFailed(Instant aNow)
{
  BackOffWrites(aNow);
}

void
CellLease::WriteDoubtful(const CellRow& aRow, Instant aSentAt, Instant aNow)
{
  BackOffWrites(aNow);
  if (IsMine(row_) && row_.beat_ == aRow.beat_) {
    // A read returned the written row before the write timed out.
    owned_ = true;
    deadline_ = aSentAt + timings_.cellLease_;
    return;
  }
  unresolvedWrites_.push_back({ aRow.beat_, aSentAt });
}

bool
CellLease::Observe(const CellRow& aRow,
                   std::uint64_t aRevision,
                   bool aCertain,
                   Instant aNow)
{
  // A read may return stale data: only a refused write is reliable evidence of
  // a lower revision. A read that returns the known revision proves nothing
  // about a write with an unknown outcome, which may still be in flight.
  if (seen_ && aRevision <= revision_ &&
      !(aCertain && aRevision != revision_)) {
    return false;
  }
  const bool mine = IsMine(aRow);
  for (const UnresolvedWrite& write : unresolvedWrites_) {
    if (mine && write.beat_ == aRow.beat_) {
      deadline_ = write.sentAt_ + timings_.cellLease_;
    }
  }
  // Only a write of this incarnation makes it the owner. A row written by
  // another incarnation of the same name, or a restored row, does not.
  owned_ = mine && (owned_ || InDoubt());
  ReplaceRow(aRow, aRevision, aNow);
  return true;
}

void
CellLease::ObserveAbsent(Instant aNow)
{
  if (!seen_) {
    seen_ = true;
    unchangedSince_ = aNow;
  }
}

void
CellLease::RestartWatch(Instant aNow)
{
  if (!row_.owner_.empty()) {
    unchangedSince_ = aNow;
  }
}

void
CellLease::Fenced(Instant aNow)
{
  owned_ = false;
  unchangedSince_ = aNow;
}

}
