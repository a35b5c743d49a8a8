#include "Process/WorkerReservations.h"

#include <algorithm>

namespace cactusrail {

namespace {

/** Lifetime of a reservation. Placement passes are 10 to 50 ms apart, and
 * further apart on an overloaded host. */
constexpr Millis kLifetime{ 500 };

}

void
WorkerReservations::Reserve(const std::string& aNode,
                            std::string_view aJob,
                            Instant aNow)
{
  std::erase_if(reservations_, [aNow](const auto& aEntry) {
    return aNow >= aEntry.second.until_;
  });
  reservations_[aNode] = { std::string(aJob), aNow + kLifetime };
}

bool
WorkerReservations::IsReservedFrom(std::string_view aJob,
                                   std::string_view aNode,
                                   Instant aNow) const
{
  const auto found = reservations_.find(aNode);
  return found != reservations_.end() && aNow < found->second.until_ &&
         found->second.job_ != aJob;
}

std::string_view
WorkerReservations::NodeOf(std::string_view aJob, Instant aNow) const
{
  for (const auto& [node, reservation] : reservations_) {
    if (reservation.job_ == aJob && aNow < reservation.until_) {
      return node;
    }
  }
  return {};
}

std::size_t
WorkerReservations::Count(Instant aNow) const
{
  return static_cast<std::size_t>(std::count_if(
    reservations_.begin(), reservations_.end(), [aNow](const auto& aEntry) {
      return aNow < aEntry.second.until_;
    }));
}

}
