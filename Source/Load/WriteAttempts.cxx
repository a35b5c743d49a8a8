#include "Load/WriteAttempts.h"

namespace cactusrail {

namespace {

/** Longer than callers repeat a request, and than the store takes to apply a
 * write whose answer was lost. */
constexpr Millis kRetention{ 120000 };
constexpr Millis kSweepInterval{ 10000 };

}

void
WriteAttempts::OnBegin(std::string_view aRow)
{
  ++inProgress_[std::string(aRow)];
}

void
WriteAttempts::OnEnd(std::string_view aRow, bool aOutcomeUnknown, Instant aNow)
{
  const auto found = inProgress_.find(aRow);
  if (found != inProgress_.end() && --found->second == 0) {
    inProgress_.erase(found);
  }
  if (aOutcomeUnknown) {
    OnUnknown(aRow, aNow);
  }
}

void
WriteAttempts::OnUnknown(std::string_view aRow, Instant aNow)
{
  unknown_[std::string(aRow)] = aNow + kRetention;
  if (aNow >= nextSweepAt_) {
    nextSweepAt_ = aNow + kSweepInterval;
    std::erase_if(unknown_,
                  [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  }
}

std::uint32_t
WriteAttempts::InProgress(std::string_view aRow) const
{
  const auto found = inProgress_.find(aRow);
  return found == inProgress_.end() ? 0 : found->second;
}

bool
WriteAttempts::IsUnknown(std::string_view aRow, Instant aNow) const
{
  const auto found = unknown_.find(aRow);
  return found != unknown_.end() && aNow < found->second;
}

bool
WriteAttempts::MayBeStored(std::string_view aRow, Instant aNow) const
{
  return inProgress_.contains(aRow) || IsUnknown(aRow, aNow);
}

}
