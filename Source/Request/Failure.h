#pragma once

#include "Request/Verdict.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

namespace cactusrail {

/** Category of an error, for exit codes, HTTP statuses and counters. */
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

/** An error: a complete sentence, and whether the work may have run. */
struct Failure
{
  FailureKind kind_ = FailureKind::Broken;
  Verdict verdict_ = Verdict::MayHaveRun;
  std::string message_;
  /** Delay before the caller should retry; zero if it should not. */
  std::chrono::milliseconds retryAfter_{ 0 };
};

/** A value, or the error that prevented it. */
template<typename Value>
using Result = std::variant<Value, Failure>;

template<typename Value>
bool
Succeeded(const Result<Value>& aResult)
{
  return std::holds_alternative<Value>(aResult);
}

/** Returns a failure that occurred before anything was sent. */
inline Failure
NotRun(FailureKind aKind, std::string aMessage)
{
  return Failure{
    aKind, Verdict::DidNotRun, std::move(aMessage), std::chrono::milliseconds(0)
  };
}

}
