#pragma once

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactusrail::fuzz {

/**
 * One decoder that meets bytes from outside. It must end in a value or a
 * Failure for any input, within memory bounded by the input's size.
 */
struct FuzzTarget
{
  std::string_view name_;
  void (*run_)(std::string_view aInput);
  /** Valid inputs, from which mutations start. */
  std::vector<std::string> (*seeds_)();
};

/** All targets, in a stable order. */
std::span<const FuzzTarget>
Targets();

}
