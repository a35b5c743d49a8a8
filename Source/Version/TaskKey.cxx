#include "Version/TaskKey.h"

#include <array>
#include <charconv>

namespace cactusrail {

std::string
TaskKey::Text() const
{
  return job_ + "." + std::to_string(occurrence_) + "." +
         std::to_string(step_) + "." + std::to_string(index_);
}

std::optional<TaskKey>
TaskKey::Parse(std::string_view aText)
{
  constexpr std::size_t kNumbers = 3;
  std::array<std::uint32_t, kNumbers> numbers{};
  for (std::size_t i = kNumbers; i-- > 0;) {
    const std::size_t dot = aText.rfind('.');
    if (dot == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view digits = aText.substr(dot + 1);
    const char* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, numbers.at(i));
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      return std::nullopt;
    }
    aText = aText.substr(0, dot);
  }
  if (aText.empty()) {
    return std::nullopt;
  }
  return TaskKey{ std::string(aText), numbers[0], numbers[1], numbers[2] };
}

}
