#pragma once

#include <string>
#include <string_view>

namespace cactusrail {

/**
 * Returns a description of input that is unsafe for the JSON library; empty if
 * the text is safe.
 *
 * A number of several hundred digits makes the library's number parser read
 * beyond its tables, and a text of only opening brackets overflows the stack.
 * Numbers of more than 32 characters and nesting deeper than 16 levels are
 * therefore refused before the text is parsed.
 */
std::string
FindUnsafeJson(std::string_view aText);

}
