#pragma once

#include "Version/WorkRows.h"

#include <optional>
#include <string_view>

namespace cactusrail {

/**
 * The reservations of a cell. Pure; owned by whoever prepares the next write
 * of the row. Promise 1 rests here: a reservation is added only where it fits
 * beside all others, and taken off only for one start of one task.
 */
class CellLedger
{
public:
  explicit CellLedger(CellRow aRow);

  const CellRow& Row() const { return row_; }
  CellRow& Row() { return row_; }

  /** What all reservations on a worker take together. */
  Resources Taken(std::string_view aWorkerId) const;

  /** Adds it if it fits, and if its task is not held already; says if so. */
  bool Reserve(const Reservation& aReservation, const Resources& aCapacity);

  /** Takes off the reservation of this very epoch, if there is one. */
  std::optional<Reservation> Release(std::string_view aJobId,
                                     std::uint32_t aIndex,
                                     std::uint64_t aEpoch);

private:
  CellRow row_;
};

}
