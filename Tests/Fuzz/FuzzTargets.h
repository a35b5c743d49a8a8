#pragma once

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail::fuzz {

/**
 * A decoder of untrusted bytes. For any input it must return a value or a
 * Failure, with memory use bounded by the size of the input.
 */
struct FuzzTarget
{
  std::string_view name_;
  void (*run_)(std::string_view aInput);
  /** Returns valid inputs as seeds for mutations. */
  std::vector<std::string> (*seeds_)();
};

/** Returns all targets, in a stable order. */
std::span<const FuzzTarget>
Targets();

}
