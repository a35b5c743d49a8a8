#pragma once

#include "Version/WorkRows.h"

#include <optional>
#include <string_view>

namespace cactusrail {

/**
 * The reservations of a cell. Performs no I/O; used to prepare the next write
 * of the row. This class enforces promise 1: a reservation is added only if it
 * fits in addition to all others, and removed only for one start of one task.
 */
class CellLedger
{
public:
  explicit CellLedger(CellRow aRow);

  const CellRow& Row() const { return row_; }
  CellRow& Row() { return row_; }

  /** Returns the sum of all reservations on a worker. */
  Resources ReservedOn(std::string_view aWorkerId) const;

  /** Adds the reservation if it fits and its task has no reservation yet.
   * Returns whether it was added. */
  bool Reserve(const Reservation& aReservation, const Resources& aCapacity);

  /** Removes and returns the task's reservation of this epoch, if any. */
  std::optional<Reservation> Release(std::string_view aJobId,
                                     std::uint32_t aIndex,
                                     std::uint64_t aEpoch);

private:
  CellRow row_;
};

}
