#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cactusrail {

/** Identifies a task of an occurrence of a job. */
struct TaskKey
{
  std::string job_;
  std::uint32_t occurrence_ = 0;
  std::uint32_t step_ = 0;
  std::uint32_t index_ = 0;

  bool operator==(const TaskKey&) const = default;

  /** Returns "JOB.OCCURRENCE.STEP.INDEX". */
  std::string Text() const;

  /** Parses the form that Text() returns; none for any other text. */
  static std::optional<TaskKey> Parse(std::string_view aText);
};

}
