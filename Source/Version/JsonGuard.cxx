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
  std::size_t at = aStart + 1;
  while (at < aText.size() && aText[at] != '"') {
    at += aText[at] == '\\' ? 2 : 1;
  }
  return at + 1;
}

}

std::string
FindJsonHazard(std::string_view aText)
{
  std::size_t depth = 0;
  std::size_t at = 0;
  while (at < aText.size()) {
    const char character = aText[at];
    if (character == '"') {
      at = EndOfString(aText, at);
      continue;
    }
    if (kNumberCharacters.find(character) != std::string_view::npos) {
      const std::size_t end = aText.find_first_not_of(kNumberCharacters, at);
      const std::size_t stop =
        end == std::string_view::npos ? aText.size() : end;
      if (stop - at > kMaxNumberLength) {
        return "it contains a number of more than 32 characters.";
      }
      at = stop;
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
    ++at;
  }
  return {};
}

}
