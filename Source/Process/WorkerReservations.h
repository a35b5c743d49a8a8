#pragma once

#include "Version/Instant.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace cactusrail {

/**
 * Reservations of workers for a job until enough of their capacity is free.
 * Owned by FleetScheduler. Pure.
 *
 * A reservation expires after a short time and is renewed in each placement
 * pass, so that none outlives the need of its job.
 */
class WorkerReservations
{
public:
  /** Reserves a worker for a job until shortly after aNow. */
  void Reserve(const std::string& aNode, std::string_view aJob, Instant aNow);

  /** Whether the worker is reserved for a job other than this one. */
  bool IsReservedFrom(std::string_view aJob,
                      std::string_view aNode,
                      Instant aNow) const;

  /** Returns the worker that is reserved for the job; empty for none. */
  std::string_view NodeOf(std::string_view aJob, Instant aNow) const;

  std::size_t Count(Instant aNow) const;

private:
  struct Reservation
  {
    std::string job_;
    Instant until_;
  };

  /** Reservations by the worker's side. */
  std::map<std::string, Reservation, std::less<>> reservations_;
};

}
