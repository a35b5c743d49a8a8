#pragma once

#include "Process/Instant.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace cactusrail {

/**
 * Workers on which room is kept for a job until enough of it is free. Owned by
 * FleetScheduler. Pure.
 *
 * A reservation lasts for a moment only and is renewed with each pass of
 * placing, so one whose job needs it no more is never left behind.
 */
class RoomReservations
{
public:
  /** Keeps a worker for a job until shortly after aNow. */
  void Keep(const std::string& aNode, std::string_view aJob, Instant aNow);

  /** Whether the worker is kept for another job than this one. */
  bool IsKeptFrom(std::string_view aJob,
                  std::string_view aNode,
                  Instant aNow) const;

  /** The worker that is kept for the job; empty for none. */
  std::string_view NodeOf(std::string_view aJob, Instant aNow) const;

  std::size_t Count(Instant aNow) const;

private:
  struct Reservation
  {
    std::string job_;
    Instant until_;
  };

  /** By the worker's side. */
  std::map<std::string, Reservation, std::less<>> kept_;
};

}
