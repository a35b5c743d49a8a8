#include "Version/JsonGuard.h"

#include <cstddef>

namespace cactusrail {

namespace {

constexpr std::size_t kMaxNumberLength = 32;
constexpr std::size_t kMaxDepth = 16;
constexpr std::string_view kNumberCharacters = "0123456789+-.eE";

/** Returns the position after the closing quote of the string whose opening
 * quote is at aStart. */
std::size_t
EndOfString(std::string_view aText, std::size_t aStart)
{
  std::size_t position = aStart + 1;
  while (position < aText.size() && aText[position] != '"') {
    position += aText[position] == '\\' ? 2 : 1;
  }
  return position + 1;
}

}

std::string
FindUnsafeJson(std::string_view aText)
{
  std::size_t depth = 0;
  std::size_t position = 0;
  while (position < aText.size()) {
    const char character = aText[position];
    if (character == '"') {
      position = EndOfString(aText, position);
      continue;
    }
    if (kNumberCharacters.find(character) != std::string_view::npos) {
      const std::size_t end =
        aText.find_first_not_of(kNumberCharacters, position);
      const std::size_t stop =
        end == std::string_view::npos ? aText.size() : end;
      if (stop - position > kMaxNumberLength) {
        return "it contains a number of more than 32 characters.";
      }
      position = stop;
      continue;
    }
    if (character == '[' || character == '{') {
      ++depth;
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
    if (depth > kMaxDepth) {
      return "it is nested more than 16 levels deep.";
    }
    ++position;
  }
  return {};
}

}
