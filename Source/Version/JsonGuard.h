#pragma once

#include <string>
#include <string_view>

namespace cactusrail {

/**
 * What in a text would harm the JSON library; empty if nothing would.
 *
 * A number of some hundred digits makes the library's number reader read beyond
 * its tables, and a text of nothing but opening brackets overflows the stack.
 * So numbers of more than 32 characters and nesting deeper than 16 are refused
 * before the library sees them.
 */
std::string
FindJsonHazard(std::string_view aText);

}
