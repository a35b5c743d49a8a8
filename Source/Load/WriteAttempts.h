#pragma once

#include "Version/Instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cactusrail {

/**
 * Rows that writes of this process may have stored: those whose write is in
 * progress, and those whose last write had an unknown outcome.
 *
 * A request for such a row must not be answered as "not run". Performs no I/O
 * and reads no clock.
 */
class WriteAttempts
{
public:
  void OnBegin(std::string_view aRow);
  /** Handles the end of a write that was reported with OnBegin(). */
  void OnEnd(std::string_view aRow, bool aOutcomeUnknown, Instant aNow);
  /** Handles a write of unknown outcome that another process made on behalf of
   * this one. */
  void OnUnknown(std::string_view aRow, Instant aNow);

  /** Number of writes in progress. */
  std::uint32_t InProgress(std::string_view aRow) const;
  /** Returns whether a write had an unknown outcome lately. */
  bool IsUnknown(std::string_view aRow, Instant aNow) const;
  /** Returns whether an attempt may have stored the row or may still do so. */
  bool MayBeStored(std::string_view aRow, Instant aNow) const;

private:
  std::map<std::string, std::uint32_t, std::less<>> inProgress_;
  /** Times until which rows of unknown outcome are kept. */
  std::map<std::string, Instant, std::less<>> unknown_;
  Instant nextSweepAt_;
};

}
