#pragma once

#include "Request/Verdict.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

namespace cactusrail {

/** What kind of thing went wrong, for exit codes, HTTP statuses and counts. */
enum class FailureKind : std::uint8_t
{
  BadInput = 0,
  NotFound = 1,
  Conflict = 2,
  Refused = 3,
  Unreachable = 4,
  TimedOut = 5,
  Broken = 6,
};

/** An error: a whole sentence, and whether the work may have run. */
struct Failure
{
  FailureKind kind_ = FailureKind::Broken;
  Verdict verdict_ = Verdict::MayHaveRun;
  std::string message_;
  /** How long the caller should wait before it asks again; zero if never. */
  std::chrono::milliseconds retryAfter_{ 0 };
};

/** A value or the reason why there is none. */
template<typename Value>
using Result = std::variant<Value, Failure>;

template<typename Value>
bool
Succeeded(const Result<Value>& aResult)
{
  return std::holds_alternative<Value>(aResult);
}

/** A failure before anything was sent: the work did not run. */
inline Failure
NotRun(FailureKind aKind, std::string aMessage)
{
  return Failure{
    aKind, Verdict::DidNotRun, std::move(aMessage), std::chrono::milliseconds(0)
  };
}

}
