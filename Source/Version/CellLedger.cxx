#include "Version/CellLedger.h"

#include <algorithm>
#include <utility>

namespace cactusrail {

CellLedger::CellLedger(CellRow aRow)
  : row_(std::move(aRow))
{
}

Resources
CellLedger::ReservedOn(std::string_view aWorkerId) const
{
  Resources taken;
  for (const Reservation& reservation : row_.reservations_) {
    if (reservation.workerId_ == aWorkerId) {
      taken += reservation.resources_;
    }
  }
  return taken;
}

bool
CellLedger::Reserve(const Reservation& aReservation, const Resources& aCapacity)
{
  // Every reservation counts, whether its task has started, has not started or
  // has an unknown outcome. If only running tasks counted, two placements could
  // overcommit a worker.
  if (!aReservation.resources_.FitsIn(aCapacity,
                                      ReservedOn(aReservation.workerId_))) {
    return false;
  }
  const bool held = std::any_of(row_.reservations_.begin(),
                                row_.reservations_.end(),
                                [&aReservation](const Reservation& aOther) {
                                  return aOther.jobId_ == aReservation.jobId_ &&
                                         aOther.index_ == aReservation.index_;
                                });
  if (held) {
    return false;
  }
  row_.reservations_.push_back(aReservation);
  return true;
}

std::optional<Reservation>
CellLedger::Release(std::string_view aJobId,
                    std::uint32_t aIndex,
                    std::uint64_t aEpoch)
{
  const auto found = std::find_if(row_.reservations_.begin(),
                                  row_.reservations_.end(),
                                  [&](const Reservation& aOther) {
                                    return aOther.jobId_ == aJobId &&
                                           aOther.index_ == aIndex &&
                                           aOther.epoch_ == aEpoch;
                                  });
  if (found == row_.reservations_.end()) {
    return std::nullopt;
  }
  Reservation released = std::move(*found);
  row_.reservations_.erase(found);
  return released;
}

}
